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

// delayed waits for d before it serves the request.
func delayed(d time.Duration, serve func(w http.ResponseWriter, r *http.Request)) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the context ends on a closed connection only after this
		select {
		case <-time.After(d):
			serve(w, r)
		case <-r.Context().Done():
		}
	}
}

func TestSilentServerKeepsARequestThatNoOtherTakes(t *testing.T) {
	const silence = 1200 * time.Millisecond
	t.Run("no other server", func(t *testing.T) {
		e := newEntry(t, newBackend(t, "b-late", delayed(silence, events(0))))
		e.onlyEngines()
		a := e.ask(t, http.MethodPost, "/stream/x")
		require.NoError(t, a.err)
		assert.Equal(t, wholeStream, a.body)
	})
	t.Run("the other one refuses", func(t *testing.T) {
		e := newEntry(t, newBackend(t, "b-late", delayed(silence, events(0))), newBackend(t, "b-full", notRun))
		e.onlyEngines()
		a := e.ask(t, http.MethodPost, "/stream/x")
		require.NoError(t, a.err)
		assert.Equal(t, wholeStream, a.body)
	})
	t.Run("rest of a stream, last attempt", func(t *testing.T) {
		e := newEntry(t, newBackend(t, "b-breaks", events(2)), newBackend(t, "b-late", delayed(silence, events(0))))
		e.onlyEngines()
		a := e.ask(t, http.MethodPost, "/stream/x")
		require.NoError(t, a.err)
		assert.Equal(t, wholeStream, a.body)
	})
}

func TestSlowServerKeepsARequestThatTheOtherRefuses(t *testing.T) {
	// The answer takes 0.7 s; the caller's deadline is 2 s, the objective 0.2 s.
	e := newEntry(t, newBackend(t, "b-slow", delayed(700*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "signed")
		fmt.Fprint(w, "answer")
	})), newBackend(t, "b-full", notRun))
	a := e.ask(t, http.MethodPost, "/safe/x")
	require.NoError(t, a.err)
	assert.Equal(t, "answer", a.body)
}
