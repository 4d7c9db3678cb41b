package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// late lets the caller wait before it serves.
func late(d time.Duration, serve func(w http.ResponseWriter, r *http.Request)) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // only then a closed connection is noticed
		select {
		case <-time.After(d):
			serve(w, r)
		case <-r.Context().Done():
		}
	}
}

func TestSilentServerIsKeptWhereNoOtherTakesTheRequest(t *testing.T) {
	const silence = 1200 * time.Millisecond
	t.Run("no other server", func(t *testing.T) {
		e := newEntry(t, newBackend(t, "b-late", late(silence, events(0))))
		e.onlyEngines()
		a := e.ask(t, http.MethodPost, "/stream/x")
		require.NoError(t, a.err)
		assert.Equal(t, wholeStream, a.body)
	})
	t.Run("the other one refuses", func(t *testing.T) {
		e := newEntry(t, newBackend(t, "b-late", late(silence, events(0))), newBackend(t, "b-full", notRun))
		e.onlyEngines()
		a := e.ask(t, http.MethodPost, "/stream/x")
		require.NoError(t, a.err)
		assert.Equal(t, wholeStream, a.body)
	})
	t.Run("rest of a stream, last attempt", func(t *testing.T) {
		e := newEntry(t, newBackend(t, "b-breaks", events(2)), newBackend(t, "b-late", late(silence, events(0))))
		e.onlyEngines()
		a := e.ask(t, http.MethodPost, "/stream/x")
		require.NoError(t, a.err)
		assert.Equal(t, wholeStream, a.body)
	})
}

func TestSlowWholeAnswerIsKeptWhereTheOtherServerRefuses(t *testing.T) {
	// 0.7 s of the 2 s that the caller has; the objective is 0.2 s.
	e := newEntry(t, newBackend(t, "b-slow", late(700*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "signed")
		fmt.Fprint(w, "answer")
	})), newBackend(t, "b-full", notRun))
	a := e.ask(t, http.MethodPost, "/safe/x")
	require.NoError(t, a.err)
	assert.Equal(t, "answer", a.body)
}
