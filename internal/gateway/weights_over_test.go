package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/standstill"
)

// overIn makes version 7 of the weights be over in d.
func (e *entry) overIn(d time.Duration) time.Time {
	const bound = 8 * time.Second
	over := time.Now().Add(d)
	view := *e.view.Load()
	view.Versions = map[string]ledger.Version{"m": ledger.Version{}.Next(8, over.Add(-bound))}
	e.SetView(&view)
	return over
}

func TestServerThatIsAskedToGoOnDoesNotBeginWhenItsWeightsAreOver(t *testing.T) {
	standstill.Judge(t, testServerThatIsAskedToGoOnDoesNotBeginWhenItsWeightsAreOver)
}

func testServerThatIsAskedToGoOnDoesNotBeginWhenItsWeightsAreOver(t testing.TB) {
	stops := newBackend(t, "b-stops", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.Signature, "signed")
		w.Header().Set(headers.Version, "7")
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, "id: 1\ndata: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	taken := make(chan time.Time, 8)
	waits := newBackend(t, "b-waits", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // only then a closed connection is noticed
		<-r.Context().Done()
		taken <- time.Now()
	})
	e := newEntry(t, stops, waits)
	e.onlyEngines()
	// The first server counts as silent after 0.6 s; the other one is asked 0.75 s
	// after the start, more than the margin of 1 s before the weights are over.
	over := e.overIn(1900 * time.Millisecond)
	e.ask(t, http.MethodPost, "/stream/x", func(r *http.Request) { r.Header.Set(headers.DeadlineMs, "5000") })
	require.NotEmpty(t, waits.requests())
	at := <-taken
	assert.True(t, at.Before(over), "taken back %v after its weights were over", at.Sub(over))
}

func TestWaitingRequestIsTakenBackAWholeGuardBeforeItsWeightsAreOver(t *testing.T) {
	standstill.Judge(t, testWaitingRequestIsTakenBackAWholeGuardBeforeItsWeightsAreOver)
}

func testWaitingRequestIsTakenBackAWholeGuardBeforeItsWeightsAreOver(t testing.TB) {
	taken := make(chan time.Time, 1)
	waits := newBackend(t, "b-waits", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // only then a closed connection is noticed
		<-r.Context().Done()
		taken <- time.Now()
	})
	e := newEntry(t, waits)
	e.onlyEngines()
	e.report(t, waits, false, 7) // it is not silent
	over := e.overIn(1170 * time.Millisecond)
	e.ask(t, http.MethodPost, "/stream/x")
	require.NotEmpty(t, waits.requests())
	left := over.Sub(<-taken)
	// With a look every 250 ms in place of one at that moment it is 0.17 s.
	assert.Greater(t, left, overGuard-150*time.Millisecond, "entries that are busy need 0.3 s")
}

func TestSafeRequestAtAnEngineIsTakenBackBeforeItsWeightsAreOver(t *testing.T) {
	standstill.Judge(t, testSafeRequestAtAnEngineIsTakenBackBeforeItsWeightsAreOver)
}

func testSafeRequestAtAnEngineIsTakenBackBeforeItsWeightsAreOver(t testing.TB) {
	taken := make(chan time.Time, 1)
	waits := newBackend(t, "b-waits", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		taken <- time.Now()
	})
	e := newEntry(t, waits)
	e.onlyEngines()
	view := *e.view.Load()
	config := *view.Table.Config
	config.Routes = append([]fleet.Route{}, config.Routes...)
	for i := range config.Routes {
		if config.Routes[i].Name == "safe" {
			config.Routes[i].Targets = []fleet.Target{{Service: "engine", Weight: 1}}
			config.Routes[i].MaxAttempts = 1
		}
	}
	view.Table = fleet.NewTable(&config)
	e.SetView(&view)
	e.report(t, waits, false, 7)
	over := e.overIn(1200 * time.Millisecond)
	e.ask(t, http.MethodPost, "/safe/x")
	require.NotEmpty(t, waits.requests())
	at := <-taken
	assert.True(t, at.Before(over), "taken back %v after its weights were over", at.Sub(over))
}
