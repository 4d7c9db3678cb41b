package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/standstill"
)

// limited answers with serve and states a limit in requests a second.
func limited(rate string, serve func(http.ResponseWriter, *http.Request)) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.Limit, rate)
		serve(w, r)
	}
}

func TestRetryAfterIsWhenALimitedServerIsAvailable(t *testing.T) {
	b := newBackend(t, "b-1", limited("0.5", good))
	e := newEntry(t, b)
	require.Equal(t, http.StatusOK, e.ask(t, "POST", "/unsafe/1").status)
	began := time.Now()
	a := e.ask(t, "POST", "/unsafe/2")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Less(t, time.Since(began), 50*time.Millisecond, "at once")
	after, err := strconv.ParseFloat(a.head.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.InDelta(t, 2, after, 0.3)
	assert.Len(t, b.requests(), 1)
	assert.Contains(t, e.logs.String(), "at the limits that they name")
}

func TestLimitIsLiftedByAnAnswerThatNamesNone(t *testing.T) {
	var calm atomic.Bool
	b := newBackend(t, "b-1", func(w http.ResponseWriter, r *http.Request) {
		if !calm.Load() {
			w.Header().Set(headers.Limit, "10")
		}
		good(w, r)
	})
	e := newEntry(t, b)
	require.Equal(t, http.StatusOK, e.ask(t, "POST", "/unsafe/1").status)
	require.Equal(t, http.StatusServiceUnavailable, e.ask(t, "POST", "/unsafe/2").status)
	calm.Store(true)
	time.Sleep(110 * time.Millisecond)
	for i := range 5 {
		assert.Equal(t, http.StatusOK, e.ask(t, "POST", fmt.Sprint("/unsafe/3", i)).status)
	}
}

func TestRestOfAStreamRespectsALimit(t *testing.T) {
	b1 := newBackend(t, "b-1", limited("2", events(0)))
	b2 := newBackend(t, "b-2", events(2))
	e := newEntry(t, b1, b2)
	require.Equal(t, wholeStream, e.ask(t, "POST", "/stream/1").body)
	began := time.Now()
	assert.Equal(t, wholeStream, e.ask(t, "POST", "/stream/2").body)
	assert.Greater(t, time.Since(began), 400*time.Millisecond, "the limit allows a second request after 0.5 s")
	assert.Len(t, b1.requests(), 2)
	assert.Len(t, b2.requests(), 1)
}

// The request may wait for a fifth of the objective of its route, so that a stall of the test
// process that standstill.Run does not count is no reason to refuse it.
func TestRequestWaitsForALimitedServerThatIsAvailableInTime(t *testing.T) {
	standstill.Run(t, testRequestWaitsForALimitedServerThatIsAvailableInTime)
}

func testRequestWaitsForALimitedServerThatIsAvailableInTime(t testing.TB) {
	b := newBackend(t, "b-1", limited("40", events(0)))
	e := newEntry(t, b)
	e.onlyEngines()
	for i := range e.view.Load().Table.Config.Routes {
		e.view.Load().Table.Config.Routes[i].Objective = time.Second
	}
	require.Equal(t, http.StatusOK, e.ask(t, "POST", "/stream/1").status)
	began := time.Now()
	assert.Equal(t, http.StatusOK, e.ask(t, "POST", "/stream/2").status)
	assert.Greater(t, time.Since(began), 10*time.Millisecond, "it has waited")
	assert.Len(t, b.requests(), 2)
	assert.Zero(t, e.queues.count.Load())
}
