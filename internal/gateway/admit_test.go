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

// crashesUnder returns a backend that crashes on requests to this path: it closes its listener and
// all connections.
func crashesUnder(t testing.TB, id, path string) *backend {
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

func (e *entry) quarantineContent(path string) {
	now := time.Now()
	e.MergeSuspicions([]quarantine.Update{{Digest: e.contentOf(path), Server: "s-1", At: now}, {Digest: e.contentOf(path), At: now}})
}

func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	b := newBackend(t, "b-1", good)
	e := newEntry(t, b)
	e.quarantineContent("/unsafe/x")
	began := time.Now()
	a := e.ask(t, http.MethodPost, "/unsafe/x")
	assert.Less(t, time.Since(began), 100*time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, a.status, "it has not run")
	assert.Empty(t, a.head.Get("Retry-After"), "no client retry is suggested")
	assert.Contains(t, a.body, quarantineReasons[quarantine.Quarantined])
	assert.Empty(t, b.requests())
	assert.Contains(t, e.logs.String(), `"ended_servers":["s-1"]`)
	assert.Equal(t, http.StatusOK, e.ask(t, http.MethodPost, "/unsafe/y").status, "other content is served")
	other := e.ask(t, http.MethodPost, "/unsafe/x", func(r *http.Request) {
		r.Body, r.ContentLength = http.NoBody, 0
	})
	assert.Equal(t, http.StatusOK, other.status, "another body is other content")
}

// TestRequestIsQuarantinedAfterThreeCrashes sends a request to servers that crash on it: no more than
// three may crash.
func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	var backends []*backend
	for _, id := range []string{"b-1", "b-2", "b-3", "b-4", "b-5"} {
		backends = append(backends, crashesUnder(t, id, "/stream/x"))
	}
	e := newEntry(t, backends...)
	e.onlyEngines()
	var told []quarantine.Update
	var mu sync.Mutex
	e.suspects.publish = func(updates []quarantine.Update) {
		mu.Lock()
		defer mu.Unlock()
		told = append(told, updates...)
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
	assert.Len(t, told, 3, "each crash is reported once")
	a := e.ask(t, http.MethodPost, "/stream/y")
	assert.Equal(t, wholeStream, a.body, "other content is served by the remaining servers")
}

// TestLostConnectionIsNoCrash: the server aborts connections but still accepts new ones.
func TestLostConnectionIsNoCrash(t *testing.T) {
	e := newEntry(t, newBackend(t, "b-1", cut), newBackend(t, "b-2", cut))
	for range 4 {
		e.ask(t, http.MethodPost, "/safe/x")
	}
	assert.Zero(t, e.suspects.count())
}

// TestStopOfALeavingServerIsNoCrash: the server stops after it announced that it leaves, which says
// nothing about the requests that it ran.
func TestStopOfALeavingServerIsNoCrash(t *testing.T) {
	b := crashesUnder(t, "b-1", "/stream/x")
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

// TestFullAnswerClearsSuspicion: a request that was in flight when its server crashed is answered
// by another server.
func TestFullAnswerClearsSuspicion(t *testing.T) {
	e := newEntry(t, crashesUnder(t, "b-1", "/stream/x"), newBackend(t, "b-2", events(0)))
	e.onlyEngines()
	a := e.ask(t, http.MethodPost, "/stream/x")
	require.Equal(t, wholeStream, a.body)
	assert.Equal(t, 1, e.suspects.count(), "the crash was recorded")
	assert.Empty(t, e.Suspicions())
	judgement := e.suspects.judge(time.Now(), []quarantine.Candidate{{Digest: e.contentOf("/stream/x")}})
	assert.Equal(t, quarantine.Free, judgement.Verdict)
}

// TestSuspectContentHasOneAttemptAtATime: further requests with the content wait until the first one
// has been answered.
func TestSuspectContentHasOneAttemptAtATime(t *testing.T) {
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
	e.MergeSuspicions([]quarantine.Update{{Digest: e.contentOf("/unsafe/x"), Server: "s-1", At: time.Now()}})
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

func TestCrashIsDetectedByARefusedConnectionOnly(t *testing.T) {
	b := newBackend(t, "b-1", good)
	e := newEntry(t, b)
	choice, _ := e.balancer.Pick(time.Now(), balance.Requirements{Service: "engine"})
	require.NotNil(t, choice.Server)
	assert.False(t, e.suspects.hasCrashed(choice.Server), "it accepts connections")
	b.Close()
	assert.True(t, e.suspects.hasCrashed(choice.Server))
}
