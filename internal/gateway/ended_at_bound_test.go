package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/standstill"
)

// stalling writes 5 events 20 ms apart, but is silent for pause after the second one. It ends its answer properly at its deadline.
func stalling(pause time.Duration) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.Signature, "signed")
		w.Header().Set(headers.Version, "7")
		_, _ = io.Copy(io.Discard, r.Body)
		ms, _ := strconv.Atoi(r.Header.Get(headers.DeadlineMs))
		deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
		last, _ := strconv.Atoi(r.Header.Get(headers.ResumeAfter))
		for i := last + 1; i <= 5; i++ {
			if time.Now().After(deadline) {
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			if i == 2 {
				time.Sleep(pause)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func TestStreamThatEndsAtTheBoundIsNotForwardedAsComplete(t *testing.T) {
	standstill.Run(t, testStreamThatEndsAtTheBoundIsNotForwardedAsComplete)
}

// Guards against a part of a stream, which its engine ends at the bound, being forwarded as a complete answer.
func testStreamThatEndsAtTheBoundIsNotForwardedAsComplete(t testing.TB) {
	for _, route := range []string{"/once/x", "/stream/x"} {
		b := newBackend(t, "b-1", stalling(time.Second))
		e := newEntry(t, b)
		e.onlyEngines()
		e.setRoutes(func(r *fleet.Route) { r.Timeout = 6 * time.Second })
		e.expireWeightsIn(1400 * time.Millisecond)
		e.report(t, b, false, 7)
		time.Sleep(250 * time.Millisecond)
		a := e.ask(t, http.MethodPost, route, func(r *http.Request) { r.Header.Set(headers.DeadlineMs, "5000") })
		require.NotEmpty(t, b.requests())
		if a.body != wholeStream {
			assert.Error(t, a.err, "%s: a part looks complete: %q", route, a.body)
		}
		assert.Contains(t, e.logs.String(), `"ended_by":"server: its weights are over"`)
		e.assertNothingInFlight(t)
	}
}
