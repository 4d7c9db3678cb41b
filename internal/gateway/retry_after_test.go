package gateway

import (
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/standstill"
)

func TestRequestIsRefusedAtOnceWhenAllServersAreFull(t *testing.T) {
	standstill.Run(t, testRequestIsRefusedAtOnceWhenAllServersAreFull)
}

func testRequestIsRefusedAtOnceWhenAllServersAreFull(t testing.TB) {
	// All four slots are reported as taken, with 300 requests waiting: a first event within 0.6
	// of the objective of 1 s is not possible, so the caller is refused at once. If it waited for a
	// slot, it would be refused after 200 ms.
	busy := newBackend(t, "b-1", good)
	e := newEntry(t, busy)
	e.onlyEngines()
	for i := range e.view.Load().Table.Config.Routes {
		e.view.Load().Table.Config.Routes[i].Objective = time.Second
	}
	for range 3 {
		e.balancer.Reported(time.Now(), balance.Report{Addr: strings.TrimPrefix(busy.URL, "http://"), Models: []fleet.Loaded{{Model: "m", Version: 7}}, Running: 4, Waiting: 300})
	}
	began := time.Now()
	a := e.ask(t, "POST", "/stream/1")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Less(t, time.Since(began), 150*time.Millisecond)
	assert.NotContains(t, e.logs.String(), "waited_ms")
	after, err := strconv.ParseFloat(a.head.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.Positive(t, after)
	assert.LessOrEqual(t, after, 2.0/3, "a third of the time left")
	assert.Empty(t, busy.requests())
	assert.Contains(t, e.logs.String(), "all backend servers are full")
}

func TestRetryAfterIsLongWhenNoServerCanBeUsed(t *testing.T) {
	empty := newBackend(t, "b-1", good)
	e := newEntry(t, empty)
	e.onlyEngines()
	e.balancer.Reported(time.Now(), balance.Report{Addr: strings.TrimPrefix(empty.URL, "http://")})
	a := e.ask(t, "POST", "/stream/1")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	after, err := strconv.ParseFloat(a.head.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.Greater(t, after, 0.45, "the deadline is 2 s")
	assert.LessOrEqual(t, after, 2.0/3)
	assert.Contains(t, e.logs.String(), "no backend server can take it")

	c := &call{route: &fleet.Route{Objective: 200 * time.Millisecond}, clientDeadline: time.Now().Add(time.Minute)}
	for range 100 {
		assert.Greater(t, c.retryAfter(), 14*time.Second, "a third of a minute, less a quarter")
	}
	c.capacity.Fit = 1
	for range 100 {
		assert.LessOrEqual(t, c.retryAfter(), time.Second, "five objectives")
	}
}

// Guards against log lines from which it cannot be told when a refused caller was told to return.
func TestLogStatesWhatARefusedCallerWasTold(t *testing.T) {
	empty := newBackend(t, "b-1", good)
	e := newEntry(t, empty)
	e.onlyEngines()
	e.balancer.Reported(time.Now(), balance.Report{Addr: strings.TrimPrefix(empty.URL, "http://")})
	a := e.ask(t, "POST", "/stream/1")
	told, err := strconv.ParseFloat(a.head.Get("Retry-After"), 64)
	require.NoError(t, err)
	found := regexp.MustCompile(`"retry_after_ms":([0-9.]+)`).FindStringSubmatch(e.logs.String())
	require.NotNil(t, found, e.logs.String())
	logged, err := strconv.ParseFloat(found[1], 64)
	require.NoError(t, err)
	assert.InDelta(t, 1000*told, logged, 1, "the header has whole milliseconds")
}
