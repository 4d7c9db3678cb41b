package agent

import (
	"net/http"
	"strconv"
	"time"
)

// headerLeaving is set in the responses of a backend server that takes no new requests.
const headerLeaving = "Server-Leaving"

// leavingTimeout is how long a backend server gets no requests after it has signalled that it leaves,
// unless the agent finds it stopped earlier. It is needed because a server that restarts between
// two checks is never found stopped.
const leavingTimeout = time.Minute

// observeLeaving refuses new requests if a response signals that the backend server leaves. Entries
// are notified through Watch; the agent itself does not leave.
func (a *Agent) observeLeaving(resp *http.Response) {
	leaves, err := strconv.ParseBool(resp.Header.Get(headerLeaving))
	if err != nil || !leaves || !a.gate.setBackendLeaving(true) {
		return
	}
	a.log.Info().Msg("backend server signals that it leaves")
	time.AfterFunc(leavingTimeout, a.clearBackendLeaving)
}

// clearBackendLeaving clears the signal that the backend server leaves, once the server has stopped
// or leavingTimeout has passed: the next one at this address is a new incarnation.
func (a *Agent) clearBackendLeaving() {
	if a.gate.setBackendLeaving(false) {
		a.log.Info().Msg("leaving backend server has stopped or the wait for it has timed out")
	}
}
