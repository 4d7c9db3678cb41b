package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/standstill"
)

func TestCancelledHandoversThatBeganCountAsRuns(t *testing.T) {
	const count, pause = 19, 100 * time.Millisecond
	loads := newBackend(t, "b-loads", slowEvents(count, pause))
	var e *entry
	others := map[string]*backend{}
	for _, id := range []string{"b-2", "b-3"} {
		others[id] = newBackend(t, id, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headers.Signature, "signed")
			w.Header().Set(headers.Version, "7")
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprint(w, "id: 9\nda") // the server has begun, and stops in the middle of an event
			_ = http.NewResponseController(w).Flush()
			e.report(t, others[id], true, 7) // the next handover goes to the other server
			<-r.Context().Done()
		})
	}
	e = newEntry(t, loads, others["b-2"], others["b-3"])
	e.onlyEngines()
	time.AfterFunc(pause, func() { e.report(t, loads, true, 7) })
	e.ask(t, http.MethodPost, "/stream/x", func(r *http.Request) { r.Header.Set(headers.DeadlineMs, "5000") })
	assert.Len(t, append(others["b-2"].requests(), others["b-3"].requests()...), 1, "the route allows two servers")
}

// TestUnansweredHandoversCountAgainstLaterOnes: a server whose handover is cancelled before it
// answers may have begun all the same, so a loading server is no reason for a third attempt.
func TestUnansweredHandoversCountAgainstLaterOnes(t *testing.T) {
	standstill.Run(t, testUnansweredHandoversCountAgainstLaterOnes)
}

func testUnansweredHandoversCountAgainstLaterOnes(t testing.TB) {
	const count, pause = 19, 100 * time.Millisecond
	loads := newBackend(t, "b-loads", slowEvents(count, pause))
	var e *entry
	others := map[string]*backend{}
	for _, id := range []string{"b-2", "b-3"} {
		others[id] = newBackend(t, id, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			e.report(t, others[id], true, 7) // the next handover goes to the other server
			<-r.Context().Done()
		})
	}
	e = newEntry(t, loads, others["b-2"], others["b-3"])
	e.onlyEngines()
	time.AfterFunc(pause, func() { e.report(t, loads, true, 7) })
	a := e.ask(t, http.MethodPost, "/stream/x", func(r *http.Request) { r.Header.Set(headers.DeadlineMs, "5000") })
	assert.Equal(t, slowStream(count), a.body)
	assert.Len(t, append(others["b-2"].requests(), others["b-3"].requests()...), 1, "the route allows two servers")
}
