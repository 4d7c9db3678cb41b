package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/quarantine"
)

// withParts sets the parts of the prompt.
func withParts(header string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(headers.PromptParts, header) }
}

// crashesUnderPart returns a backend that crashes on requests whose prompt has this part.
func crashesUnderPart(t testing.TB, id, part string) *backend {
	var b *backend
	ready := make(chan struct{})
	b = newBackend(t, id, func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get(headers.PromptParts), part) {
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

func partOf(part string) quarantine.Digest {
	return quarantine.PartCandidates("org", "m", part)[1].Digest
}

// Guards against requests that share a crashing part and nothing else being each sent to servers.
func TestPartIsQuarantinedAfterThreeCrashes(t *testing.T) {
	var backends []*backend
	for _, id := range []string{"b-1", "b-2", "b-3", "b-4", "b-5"} {
		backends = append(backends, crashesUnderPart(t, id, "dead"))
	}
	e := newEntry(t, backends...)
	e.onlyEngines()
	require.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/sound", withParts("common:5,own:1")).body)
	time.Sleep(1100 * time.Millisecond) // a server that crashes within a second of its answer has shown nothing
	for _, name := range []string{"a", "b", "c", "d"} {
		assert.NotEqual(t, http.StatusOK, e.ask(t, http.MethodPost, "/stream/"+name, withParts("common:5,dead:7,"+name+":1")).status)
	}
	reached := 0
	for _, b := range backends {
		for _, r := range b.requests() {
			if strings.Contains(r.Header.Get(headers.PromptParts), "dead") {
				reached++
			}
		}
	}
	assert.Equal(t, 3, reached)
	a := e.ask(t, http.MethodPost, "/stream/e", withParts("common:5,dead:7,e:1"))
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Contains(t, e.logs.String(), `"part":"dead"`)
	assert.NotContains(t, e.logs.String(), `"suspect_parts":["common"`, "it was sound")
	assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/f", withParts("common:5,f:1")).body)
}

// Guards against requests that wait for a slot while their part is quarantined, and are sent all the same.
func TestRequestIsNotSentAfterItsPartWasQuarantined(t *testing.T) {
	e, b := fullEngine(t)
	ended := make(chan got, 1)
	go func() { ended <- e.ask(t, http.MethodPost, "/stream/x", withParts("dead:7,own:1")) }()
	require.Eventually(t, func() bool { return e.queues.count.Load() == 1 }, time.Second, time.Millisecond)
	now := time.Now()
	e.MergeSuspicions([]quarantine.Update{{Digest: partOf("dead"), Server: "s-1", Part: "dead", At: now}, {Digest: partOf("dead"), Part: "dead", At: now}})
	e.reportLoad(b, 0, 0)
	assert.Equal(t, http.StatusServiceUnavailable, (<-ended).status)
	assert.Empty(t, b.requests())
}

// Guards against a part that one entry takes for suspect although another one knows it as sound.
func TestEntryClearsPartsThatItKnowsAsSound(t *testing.T) {
	e := newEntry(t, newBackend(t, "b-1", events(0)))
	e.onlyEngines()
	require.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/x", withParts("common:5,own:1")).body)
	var mu sync.Mutex
	var told []quarantine.Update
	e.suspects.publish = func(updates []quarantine.Update) {
		mu.Lock()
		defer mu.Unlock()
		told = append(told, updates...)
	}
	crash := quarantine.Update{Digest: partOf("common"), Server: "s-1", Part: "common", Version: 7, At: time.Now()}
	e.MergeSuspicions([]quarantine.Update{crash})
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(told) == 1 && told[0].Cleared
	}, time.Second, time.Millisecond)
	assert.Empty(t, e.Suspicions())
	crash.Server, crash.Version = "s-2", 8
	e.MergeSuspicions([]quarantine.Update{crash})
	assert.NotEmpty(t, e.Suspicions(), "it is not known as sound on this version of the weights")
}

// Guards against parts that stay suspect until the end of long answers.
func TestPartIsSoundOnceItsServerHasWrittenForAWhile(t *testing.T) {
	b := newBackend(t, "b-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.Signature, "signed")
		for i := range 8 {
			_, _ = w.Write([]byte("id: 1\ndata: 1\n\n"))
			_ = http.NewResponseController(w).Flush()
			if i < 7 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		<-r.Context().Done()
	})
	e := newEntry(t, b)
	e.onlyEngines()
	go e.ask(t, http.MethodPost, "/stream/x", withParts("common:5,own:1"))
	require.Eventually(t, func() bool {
		e.suspects.mu.Lock()
		defer e.suspects.mu.Unlock()
		return e.suspects.table.IsSound(time.Now(), partOf("common"), 7)
	}, 5*time.Second, 10*time.Millisecond)
	assert.Equal(t, int64(1), e.InFlight())
}

// Guards against a part taken for sound since the entry stood still between two events of a server that crashed meanwhile.
func TestOnePauseIsNoTimeOfWriting(t *testing.T) {
	paused := make(chan struct{})
	b := newBackend(t, "b-1", func(w http.ResponseWriter, r *http.Request) {
		twoEvents(w)
		time.Sleep(soundAfter + 100*time.Millisecond)
		twoEvents(w)
		close(paused)
		<-r.Context().Done()
	})
	e := newEntry(t, b)
	e.onlyEngines()
	go e.ask(t, http.MethodPost, "/stream/x", withParts("common:5,own:1"))
	<-paused
	time.Sleep(50 * time.Millisecond)
	e.suspects.mu.Lock()
	defer e.suspects.mu.Unlock()
	assert.False(t, e.suspects.table.IsSound(time.Now(), partOf("common"), 7))
}
