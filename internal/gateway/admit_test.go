package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/quarantine"
)

// endsUnder crashes its server under requests to this path: the listener is closed, and so
// are all connections.
func endsUnder(t testing.TB, id, path string) *backend {
	var b *backend
	ready := make(chan struct{})
	b = newBackend(t, id, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			events(0)(w, r)
			return
		}
		<-ready
		_ = b.Listener.Close()
		b.CloseClientConnections()
	})
	close(ready)
	return b
}

func (e *entry) contentOf(path string) quarantine.Digest {
	return quarantine.DigestOf("org", http.MethodPost, "h", path, []byte("body"))
}

func (e *entry) holdBack(path string) {
	now := time.Now()
	e.Suspected([]quarantine.News{{Digest: e.contentOf(path), Server: "s-1", At: now}, {Digest: e.contentOf(path), At: now}})
}

func TestWorkThatIsHeldGetsItsFinalAnswerAtOnce(t *testing.T) {
	b := newBackend(t, "b-1", good)
	e := newEntry(t, b)
	e.holdBack("/unsafe/x")
	began := time.Now()
	a := e.ask(t, http.MethodPost, "/unsafe/x")
	assert.Less(t, time.Since(began), 100*time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, a.status, "it has not run")
	assert.Empty(t, a.head.Get("Retry-After"), "it is not asked to come again")
	assert.Contains(t, a.body, heldReasons[quarantine.Held])
	assert.Empty(t, b.requests())
	assert.Contains(t, e.logs.String(), `"ended_servers":["s-1"]`)
	assert.Equal(t, http.StatusOK, e.ask(t, http.MethodPost, "/unsafe/y").status, "other work is served")
	other := e.ask(t, http.MethodPost, "/unsafe/x", func(r *http.Request) {
		r.Body, r.ContentLength = http.NoBody, 0
	})
	assert.Equal(t, http.StatusOK, other.status, "another body is other work")
}

// TestRequestThatEndsThreeServersIsHeld sends it to servers that end under it: the third end is
// the last one.
func TestRequestThatEndsThreeServersIsHeld(t *testing.T) {
	var backends []*backend
	for _, id := range []string{"b-1", "b-2", "b-3", "b-4", "b-5"} {
		backends = append(backends, endsUnder(t, id, "/stream/x"))
	}
	e := newEntry(t, backends...)
	e.onlyEngines()
	var told []quarantine.News
	var mu sync.Mutex
	e.suspects.tell = func(news []quarantine.News) {
		mu.Lock()
		defer mu.Unlock()
		told = append(told, news...)
	}
	first := e.ask(t, http.MethodPost, "/stream/x")
	assert.Equal(t, http.StatusBadGateway, first.status, "it may have run")
	for range 4 {
		e.ask(t, http.MethodPost, "/stream/x")
	}
	reached := 0
	for _, b := range backends {
		reached += len(b.requests())
	}
	assert.Equal(t, 3, reached)
	mu.Lock()
	defer mu.Unlock()
	assert.Len(t, told, 3, "each end is told once")
	a := e.ask(t, http.MethodPost, "/stream/y")
	assert.Equal(t, wholeStream, a.body, "other work is served by those that are left")
}

// TestBrokenConnectionIsNoEnd: the server is there, only its connections break.
func TestBrokenConnectionIsNoEnd(t *testing.T) {
	e := newEntry(t, newBackend(t, "b-1", cut), newBackend(t, "b-2", cut))
	for range 4 {
		e.ask(t, http.MethodPost, "/safe/x")
	}
	assert.Zero(t, e.suspects.count())
}

// TestServerThatLeavesEndsByItself: its end says nothing about what it ran.
func TestServerThatLeavesEndsByItself(t *testing.T) {
	b := endsUnder(t, "b-1", "/stream/x")
	e := newEntry(t, b)
	e.onlyEngines()
	serve := b.Config.Handler
	b.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		view := *e.view.Load()
		record := *view.Servers["engine"][0]
		record.State = fleet.StateDraining
		view.Servers = map[string][]*fleet.BackendServer{"engine": {&record}}
		e.SetView(&view)
		serve.ServeHTTP(w, r)
	})
	e.ask(t, http.MethodPost, "/stream/x")
	assert.Empty(t, e.Suspicions())
}

// TestAnswerInFullClearsTheWork: a request that stood beside the one at fault.
func TestAnswerInFullClearsTheWork(t *testing.T) {
	e := newEntry(t, endsUnder(t, "b-1", "/stream/x"), newBackend(t, "b-2", events(0)))
	e.onlyEngines()
	a := e.ask(t, http.MethodPost, "/stream/x")
	require.Equal(t, wholeStream, a.body)
	assert.Equal(t, 1, e.suspects.count(), "the end was seen")
	assert.Empty(t, e.Suspicions())
	verdict, _ := e.suspects.verdict(time.Now(), e.contentOf("/stream/x"))
	assert.Equal(t, quarantine.Free, verdict)
}

// TestSuspectWorkRunsOnceAtATime: a second copy waits until the first one has been answered.
func TestSuspectWorkRunsOnceAtATime(t *testing.T) {
	var mu sync.Mutex
	running, most := 0, 0
	b := newBackend(t, "b-1", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		running++
		most = max(most, running)
		mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		mu.Lock()
		running--
		mu.Unlock()
		good(w, r)
	})
	e := newEntry(t, b)
	e.Suspected([]quarantine.News{{Digest: e.contentOf("/unsafe/x"), Server: "s-1", At: time.Now()}})
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() { assert.Equal(t, http.StatusOK, e.ask(t, http.MethodPost, "/unsafe/x").status) })
	}
	time.Sleep(20 * time.Millisecond)
	mu.Lock()
	assert.Equal(t, 1, most)
	mu.Unlock()
	group.Wait()
}

func TestEndIsTakenFromARefusedConnectionOnly(t *testing.T) {
	b := newBackend(t, "b-1", good)
	e := newEntry(t, b)
	choice, _ := e.balancer.Pick(time.Now(), balance.Want{Service: "engine"})
	require.NotNil(t, choice.Server)
	assert.False(t, e.suspects.hasEnded(choice.Server), "it is there")
	b.Close()
	assert.True(t, e.suspects.hasEnded(choice.Server))
}
