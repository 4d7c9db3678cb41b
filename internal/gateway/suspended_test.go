package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/clock/clocktest"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// applyUpdates sets the entry's view from fleet updates by way of a viewer, as the daemon does.
func (e *entry) applyUpdates(t testing.TB, updates ...*rpc.FleetUpdate) {
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
		viewer.Update("control", u, follow.Received(clock.Now()))
	}
}

// TestWeightsExpireDuringASuspension: version 8 of the weights is announced, and the entry's VM is suspended
// until version 7 has expired. By the monotonic clock, which stops meanwhile, 7 would stay in use.
func TestWeightsExpireDuringASuspension(t *testing.T) {
	vm := clocktest.Install(t)
	b := newBackend(t, "b-1", events(0)) // has loaded version 7
	e := newEntry(t, b)
	e.onlyEngines()
	e.applyUpdates(t, &rpc.FleetUpdate{Versions: []*rpc.ModelVersion{{Model: "m", Version: 8}}})
	a := e.ask(t, http.MethodPost, "/stream/x")
	require.Equal(t, wholeStream, a.body, "version 7 may be used for 8 s")
	vm.Suspend(8 * time.Second)
	a = e.ask(t, http.MethodPost, "/stream/x")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Len(t, b.requests(), 1)
}

// TestServersExpireDuringASuspension: after a long suspension, announcements from before it are too
// old to use.
func TestServersExpireDuringASuspension(t *testing.T) {
	vm := clocktest.Install(t)
	b := newBackend(t, "b-1", events(0))
	e := newEntry(t, b)
	e.onlyEngines()
	record := follow.ServerToProto(e.view.Load().Servers["engine"][0], time.Now())
	record.AgeMs = 0
	e.applyUpdates(t, &rpc.FleetUpdate{Servers: []*rpc.BackendServer{record}})
	require.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/x").body)
	vm.Suspend(time.Minute)
	assert.Equal(t, http.StatusServiceUnavailable, e.ask(t, http.MethodPost, "/stream/x").status)
}

// TestDeadlinePassesDuringASuspension: the VM is suspended while a request waits for its server, until
// after the caller's deadline; the request must not be retried.
func TestDeadlinePassesDuringASuspension(t *testing.T) {
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
