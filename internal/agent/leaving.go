package agent

import (
	"net/http"
	"strconv"
	"time"
)

// headerLeaving is set in the answers of a backend server that takes no new requests.
const headerLeaving = "Server-Leaving"

// leavingHold is for how long a backend server that has said that it leaves gets nothing, unless its
// end is seen before: one that starts again within the time between two checks is not seen to end.
const leavingHold = time.Minute

// hearLeaving takes a backend server's signal that it leaves. Entries hear of it on their watches;
// the agent itself stays.
func (a *Agent) hearLeaving(resp *http.Response) {
	leaves, err := strconv.ParseBool(resp.Header.Get(headerLeaving))
	if err != nil || !leaves || !a.gate.setBackendLeaves(true) {
		return
	}
	a.log.Info().Msg("backend server signals that it leaves")
	time.AfterFunc(leavingHold, a.backendEnded)
}

// backendEnded ends what the backend server said of its leaving: it is not there, so that the next
// one is another start.
func (a *Agent) backendEnded() {
	if a.gate.setBackendLeaves(false) {
		a.log.Info().Msg("backend server that was to leave has ended, or is taken to have")
	}
}
