package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/standstill"
)

// fullEngine returns an entry with an engine that reports no free slots: three requests wait for its
// four slots and each takes 35 ms, so that a wait of 140 ms is predicted and 109 ms are allowed.
func fullEngine(t testing.TB) (*entry, *backend) {
	b := newBackend(t, "b-1", events(0))
	e := newEntry(t, b)
	e.onlyEngines()
	for _, r := range e.view.Load().Table.Config.Services {
		if r.Engine != nil {
			r.Engine.UsualAnswer = 100 // 35 ms for each request
		}
	}
	e.reportLoad(b, 4, 3)
	return e, b
}

func (e *entry) reportLoad(b *backend, running, waiting int) {
	e.balancer.Reported(time.Now(), balance.Report{Addr: strings.TrimPrefix(b.URL, "http://"), Models: []fleet.Loaded{{Model: "m", Version: 7}}, Running: running, Waiting: waiting})
}

func TestRequestWaitsForASlotThatIsFreedInTime(t *testing.T) {
	standstill.Run(t, testRequestWaitsForASlotThatIsFreedInTime)
}

func testRequestWaitsForASlotThatIsFreedInTime(t testing.TB) {
	e, b := fullEngine(t)
	time.AfterFunc(15*time.Millisecond, func() { e.reportLoad(b, 1, 0) })
	began := time.Now()
	a := e.ask(t, "POST", "/stream/1")
	assert.Equal(t, http.StatusOK, a.status)
	assert.GreaterOrEqual(t, time.Since(began), 15*time.Millisecond)
	assert.Zero(t, e.queues.count.Load())
}

func TestRequestIsRefusedOnceItsTimeToWaitIsOver(t *testing.T) {
	e, b := fullEngine(t)
	began := time.Now()
	a := e.ask(t, "POST", "/stream/1")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.GreaterOrEqual(t, time.Since(began), 40*time.Millisecond, "a fifth of 200 ms")
	assert.NotEmpty(t, a.head.Get("Retry-After"))
	assert.Empty(t, b.requests())
	assert.Zero(t, e.queues.count.Load())
	assert.Contains(t, e.logs.String(), `"waited_ms"`)
}

func TestSlotGoesToAFirstAttemptBeforeAClientRetry(t *testing.T) {
	e, b := fullEngine(t)
	e.queues.refused(time.Now(), "", time.Second) // after a refusal, short deadlines mark client retries
	ended := make(chan int, 2)
	ask := func(name, wait string) {
		a := e.ask(t, "POST", "/stream/"+name, func(r *http.Request) { r.Header.Set(headers.DeadlineMs, wait) })
		ended <- a.status
	}
	go ask("back", "1000")
	require.Eventually(t, func() bool { return e.queues.count.Load() == 1 }, time.Second, time.Millisecond)
	go ask("first", "2000")
	require.Eventually(t, func() bool { return e.queues.count.Load() == 2 }, time.Second, time.Millisecond)
	e.reportLoad(b, 4, 1) // frees a slot for one request
	assert.Equal(t, http.StatusOK, <-ended)
	<-ended
	assert.Equal(t, "/stream/first", b.requests()[0].URL.Path)
}
