package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/standstill"
)

// Guards against callers that wait for the rest of a stream which no engine may write any more.
func TestCallerLearnsAtOnceThatTheRestOfAStreamHasExpired(t *testing.T) {
	standstill.Run(t, testCallerLearnsAtOnceThatTheRestHasExpired)
}

func testCallerLearnsAtOnceThatTheRestHasExpired(t testing.TB) {
	brokenAt := make(chan time.Time, 1)
	breaks := newBackend(t, "b-breaks", func(w http.ResponseWriter, r *http.Request) {
		slowEvents(15, 100*time.Millisecond)(w, r)
		brokenAt <- time.Now()
		panic(http.ErrAbortHandler)
	})
	full := newBackend(t, "b-full", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	e := newEntry(t, breaks, full)
	e.onlyEngines()
	e.setRoutes(func(r *fleet.Route) { r.Timeout = 6 * time.Second })
	e.report(t, breaks, false, 7)
	e.report(t, full, false, 7)
	e.expireWeightsIn(1500*time.Millisecond + balance.CancelMargin/2)
	a := e.ask(t, http.MethodPost, "/stream/x", func(r *http.Request) { r.Header.Set(headers.DeadlineMs, "5000") })
	assert.Error(t, a.err)
	require.Len(t, brokenAt, 1)
	assert.Less(t, time.Since(<-brokenAt), 100*time.Millisecond)
	assert.Contains(t, e.logs.String(), reasonRestExpired)
}
