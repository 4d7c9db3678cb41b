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
)

// setIncarnation announces a new incarnation of a backend under its id, and the models that it has
// loaded.
func (e *entry) setIncarnation(b *backend, born int64, models []fleet.Loaded) {
	view := *e.view.Load()
	records := make([]*fleet.BackendServer, 0, len(view.Servers["engine"]))
	for _, r := range view.Servers["engine"] {
		next := *r
		if r.ID == b.id {
			next.StartUnixMs, next.Models = born, models
		}
		records = append(records, &next)
	}
	view.Servers = map[string][]*fleet.BackendServer{"engine": records}
	e.SetView(&view)
}

// hanging writes nothing, or one event and then nothing, on a connection that stays open, like a
// server that crashed and restarted behind a link that lost its last packets.
func hanging(one bool) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the context ends on a closed connection only after this
		if one {
			w.Header().Set(headers.Signature, "signed")
			w.Header().Set(headers.Version, "7")
			fmt.Fprint(w, "id: 1\ndata: 1\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	}
}

// TestRequestsAtAnEarlierIncarnationAreEnded: a backend server restarts under its id while requests
// wait there.
func TestRequestsAtAnEarlierIncarnationAreEnded(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		begun      bool
		status     int
	}{
		"a stream goes on elsewhere":   {"/stream/x", wholeStream, true, http.StatusOK},
		"a request goes elsewhere":     {"/stream/x", wholeStream, false, http.StatusOK},
		"one that must not run twice":  {"/once/x", "", false, http.StatusBadGateway},
		"a stream that must not go on": {"/once/x", "id: 1\ndata: 1\n\n", true, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			former := newBackend(t, "b-1", hanging(c.begun))
			e := newEntry(t, former, newBackend(t, "b-2", events(0)))
			e.onlyEngines()
			e.setIncarnation(former, 1000, []fleet.Loaded{{Model: "m", Version: 7}})
			// Early enough that the server does not count as silent yet.
			time.AfterFunc(100*time.Millisecond, func() { e.setIncarnation(former, 2000, nil) })
			began := time.Now()
			a := e.ask(t, http.MethodPost, c.path)
			assert.Less(t, time.Since(began), 500*time.Millisecond, "at once")
			assert.Equal(t, c.status, a.status)
			if c.status == http.StatusOK {
				assert.Equal(t, c.body, a.body)
			}
			require.Len(t, former.requests(), 1)
			assert.Contains(t, e.logs.String(), "started again")
			e.assertNothingInFlight(t)
		})
	}
}
