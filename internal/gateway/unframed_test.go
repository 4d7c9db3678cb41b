package gateway

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/standstill"
)

// unframed has the handler's answer end with its connection.
func unframed(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Transfer-Encoding", "identity")
		serve(w, r)
	}
}

// twoEvents writes the first two events of a stream.
func twoEvents(w http.ResponseWriter) {
	w.Header().Set(headers.Signature, "signed")
	_, _ = w.Write([]byte("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"))
	_ = http.NewResponseController(w).Flush()
}

// crashesAfterTwoEvents returns a backend whose VM refuses connections once it has written two events. before is called ahead of that.
func crashesAfterTwoEvents(t testing.TB, id string, before func()) *backend {
	var b *backend
	ready := make(chan struct{})
	b = newBackend(t, id, unframed(func(w http.ResponseWriter, _ *http.Request) {
		<-ready
		twoEvents(w)
		before()
		_ = b.Listener.Close()
	}))
	close(ready)
	return b
}

func TestUnframedAnswerOfARunningServerIsWhole(t *testing.T) {
	b, other := newBackend(t, "b-1", unframed(events(0))), newBackend(t, "b-2", events(0))
	e := newEntry(t, b, other)
	e.onlyEngines()
	assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/x").body)
	assert.Empty(t, other.requests(), "it is not requested again")
}

// Guards against an answer that ends with its server's crash, right behind an event, being taken for a whole one, which would also clear its content.
func TestUnframedAnswerOfACrashedServerIsBroken(t *testing.T) {
	b := crashesAfterTwoEvents(t, "b-1", func() {})
	e := newEntry(t, b, newBackend(t, "b-2", events(0)))
	e.onlyEngines()
	a := e.ask(t, http.MethodPost, "/stream/x")
	assert.Equal(t, wholeStream, a.body, "the rest comes from the other server")
	assert.Contains(t, e.logs.String(), "backend server ended under work")

	b = crashesAfterTwoEvents(t, "b-1", func() {})
	e = newEntry(t, b, newBackend(t, "b-2", events(0)))
	e.onlyEngines()
	assert.Error(t, e.ask(t, http.MethodPost, "/once/x").err, "a stream that must not be resumed does not look complete")
	assert.NotEmpty(t, e.Suspicions())
}

func TestUnframedAnswerOfALeavingServerIsWhole(t *testing.T) {
	var e *entry
	b := crashesAfterTwoEvents(t, "b-1", func() {
		view := *e.view.Load()
		record := *view.Servers["engine"][0]
		record.State = fleet.StateDraining
		view.Servers = map[string][]*fleet.BackendServer{"engine": {&record}}
		e.SetView(&follow.View{Table: view.Table, Servers: view.Servers})
	})
	e = newEntry(t, b)
	e.onlyEngines()
	a := e.ask(t, http.MethodPost, "/once/x")
	assert.NoError(t, a.err)
	assert.Equal(t, http.StatusOK, a.status)
	assert.Empty(t, e.Suspicions())
}

// Guards against a large answer that is passed on while it is read, and that ends early without any sign.
func TestLargeUnframedAnswerOfACrashedServerLooksBroken(t *testing.T) {
	var b *backend
	ready := make(chan struct{})
	b = newBackend(t, "b-1", unframed(func(w http.ResponseWriter, _ *http.Request) {
		<-ready
		w.Header().Set(headers.Signature, "signed")
		_, _ = w.Write(bytes.Repeat([]byte("x"), 2*maxHeldAnswer))
		_ = b.Listener.Close()
	}))
	close(ready)
	e := newEntry(t, b)
	a := e.ask(t, http.MethodPost, "/safe/x")
	assert.Error(t, a.err)
	assert.NotContains(t, e.logs.String(), "is cleared")
}

// Guards against an answer that its server ends at its deadline, in the midst, being taken for a whole one.
func TestUnframedAnswerThatEndsAtTheDeadlineIsBroken(t *testing.T) {
	standstill.Run(t, func(t testing.TB) {
		const deadline = 300 * time.Millisecond
		b := newBackend(t, "b-1", unframed(func(w http.ResponseWriter, _ *http.Request) {
			began := time.Now()
			twoEvents(w)
			time.Sleep(time.Until(began.Add(deadline - 5*time.Millisecond)))
		}))
		e := newEntry(t, b)
		e.onlyEngines()
		a := e.ask(t, http.MethodPost, "/once/x", func(r *http.Request) { r.Header.Set(headers.DeadlineMs, "300") })
		assert.Error(t, a.err)
	})
}

// BenchmarkUnframedEnd compares answers that end with their connection with others; the difference is the check of the server.
func BenchmarkUnframedEnd(b *testing.B) {
	for name, serve := range map[string]http.HandlerFunc{"chunked": events(0), "unframed": unframed(events(0))} {
		b.Run(name, func(b *testing.B) {
			e := newEntry(b, newBackend(b, "b-1", serve))
			e.onlyEngines()
			for b.Loop() {
				if a := e.ask(b, http.MethodPost, "/stream/x"); a.body != wholeStream {
					b.Fatal(a)
				}
			}
		})
	}
}
