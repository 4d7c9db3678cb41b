package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/clock/clocktest"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// viewOf makes the entry take its view from a viewer, as the daemon does.
func (e *entry) viewOf(t testing.TB, updates ...*rpc.FleetUpdate) {
	t.Helper()
	table := e.view.Load().Table
	servers := e.view.Load().Servers
	viewer := follow.NewViewer(nil, func(v *follow.View) {
		next := *v
		next.Table = table
		if len(next.Servers) == 0 {
			next.Servers = servers
		}
		e.SetView(&next)
	}, time.Second, e.log)
	for _, u := range updates {
		viewer.Update("control", u)
	}
}

// TestWeightsThatWereOverInASuspension: version 8 of the weights is named, and the VM of the
// entry is suspended for most of the time that version 7 may still be used. By the steady clock
// version 7 is good for as long again.
func TestWeightsThatWereOverInASuspension(t *testing.T) {
	vm := clocktest.Install(t)
	b := newBackend(t, "b-1", events(0)) // holds version 7
	e := newEntry(t, b)
	e.onlyEngines()
	e.viewOf(t, &rpc.FleetUpdate{Versions: []*rpc.ModelVersion{{Model: "m", Version: 8}}})
	a := e.ask(t, http.MethodPost, "/stream/x")
	require.Equal(t, wholeStream, a.body, "version 7 may be used for 8 s")
	vm.Suspend(8 * time.Second)
	a = e.ask(t, http.MethodPost, "/stream/x")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Len(t, b.requests(), 1)
}

// TestServersNotHeardInASuspension: what was announced before a long suspension says nothing of
// who is there now.
func TestServersNotHeardInASuspension(t *testing.T) {
	vm := clocktest.Install(t)
	b := newBackend(t, "b-1", events(0))
	e := newEntry(t, b)
	e.onlyEngines()
	record := follow.ServerToProto(e.view.Load().Servers["engine"][0], time.Now())
	record.AgeMs = 0
	e.viewOf(t, &rpc.FleetUpdate{Servers: []*rpc.BackendServer{record}})
	require.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/x").body)
	vm.Suspend(time.Minute)
	assert.Equal(t, http.StatusServiceUnavailable, e.ask(t, http.MethodPost, "/stream/x").status)
}

// TestDeadlineThatWasOverInASuspension: the VM is suspended while a request waits for its
// server; the caller has given up when it goes on, and the request is not sent again.
func TestDeadlineThatWasOverInASuspension(t *testing.T) {
	vm := clocktest.Install(t)
	first := newBackend(t, "b-1", func(w http.ResponseWriter, _ *http.Request) {
		vm.Suspend(5 * time.Second) // the caller waits for 2 s
		w.WriteHeader(http.StatusInternalServerError)
	})
	second := newBackend(t, "b-2", good)
	e := newEntry(t, first, second)
	a := e.ask(t, http.MethodPost, "/safe/x")
	assert.NotEqual(t, http.StatusOK, a.status)
	assert.Empty(t, second.requests())
}
