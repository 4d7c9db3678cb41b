package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// What users saw: while entries were being stopped under load and engines rolled to
// new weights, callers' connections were closed in the middle of their streams.
//
// Order of events: an engine with running streams is told to load new weights and
// waits for them to end; the entry takes a stream from it, since another engine is
// predicted to have room; that engine refuses, for the reports behind the
// prediction are 0.1 to 0.3 s old; the other ones load, or hold the new weights
// already, which the begun stream may not be continued on; after some refusals
// the entry closes the caller's connection.
//
// Cause: the running stream was given up before its next place was certain.
//
// Evidence: for each cut stream of three played days the entry's lines read
// ended_by "entry: moved to another server", one to three times "backend server did
// not run it: 503" within 0.5 s, then "no backend server can take it" or "all
// attempts are used". The engine that the stream was taken from was sound.

// slowEvents writes n events with a pause between them.
func slowEvents(n int, pause time.Duration) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.Signature, "signed")
		w.Header().Set(headers.Version, "7")
		last, _ := strconv.Atoi(r.Header.Get(headers.ResumeAfter))
		for i := last + 1; i <= n; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
		}
	}
}

func slowStream(n int) string {
	var all strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&all, "id: %d\ndata: %d\n\n", i, i)
	}
	return all.String()
}

// report tells the entry what a backend holds and whether it is about to load, until
// the test ends.
func (e *entry) report(t *testing.T, b *backend, loading bool, version uint64) {
	t.Helper()
	tell := func() {
		e.balancer.Reported(time.Now(), strings.TrimPrefix(b.URL, "http://"), loading, []fleet.Loaded{{Model: "m", Version: version}}, 0, 0)
	}
	tell()
	ticker, done := time.NewTicker(50*time.Millisecond), make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				tell()
			case <-done:
				return
			}
		}
	}()
}

// onlyEngines leaves the backends as servers of the service engine only.
func (e *entry) onlyEngines() {
	view := *e.view.Load()
	view.Servers = map[string][]*fleet.BackendServer{"engine": view.Servers["engine"]}
	e.SetView(&view)
}

func TestRunningStreamIsKeptUntilAnotherServerGoesOnWithIt(t *testing.T) {
	const count, pause = 15, 100 * time.Millisecond
	loads := newBackend(t, "b-loads", slowEvents(count, pause))
	full := newBackend(t, "b-full", notRun)
	rolled := newBackend(t, "b-rolled", events(0))
	e := newEntry(t, loads, full, rolled)
	e.onlyEngines()
	e.report(t, rolled, false, 8)
	time.AfterFunc(pause, func() { e.report(t, loads, true, 7) })

	a := e.ask(t, http.MethodPost, "/stream/x")
	require.NoError(t, a.err, e.logs.String())
	assert.Equal(t, slowStream(count), a.body)
	assert.NotEmpty(t, full.requests(), "another server was asked to go on")
	assert.Empty(t, rolled.requests(), "a begun stream stays on its version")
}
