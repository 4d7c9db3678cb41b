package staging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
)

func TestTurnsAreOfTheStartsThatAreThere(t *testing.T) {
	const service = "drafts"
	now := time.Unix(1000, 0)
	dead := &fleet.BackendServer{ID: "1", Service: service, Addr: "10.0.0.1:1", Zone: "old", StartedAt: now, SeenAt: now.Add(time.Minute)}
	alive := &fleet.BackendServer{ID: "2", Service: service, Addr: "10.0.0.1:1", Zone: "new", StartedAt: now.Add(30 * time.Second), SeenAt: now.Add(50 * time.Second)}
	other := &fleet.BackendServer{ID: "3", Service: service, Addr: "10.0.0.2:1", StartedAt: now}
	servers := map[string][]*fleet.BackendServer{service: {dead, alive, other}}
	assert.Equal(t, []*fleet.BackendServer{alive, other}, present(servers, service), "the dead one was heard last, since its announcement came late")
	alive.State = fleet.StateGone
	assert.Equal(t, []*fleet.BackendServer{other}, present(servers, service), "its leave doesn't bring the one before back")
	alive.State, alive.Service = fleet.StateReady, "plain"
	servers = map[string][]*fleet.BackendServer{service: {dead, other}, "plain": {alive}}
	assert.Equal(t, []*fleet.BackendServer{other}, present(servers, service), "the address belongs to another service now")
}

func TestServersOfAnUnknownServiceTakeNoTurns(t *testing.T) {
	now := time.Unix(1000, 0)
	real := &fleet.BackendServer{ID: "1", Service: "drafts", Addr: "10.0.0.1:1", StartedAt: now}
	other := &fleet.BackendServer{ID: "2", Service: "unknown", Addr: "10.0.0.1:1", StartedAt: now.Add(time.Minute)}
	servers := map[string][]*fleet.BackendServer{"drafts": {real}, "unknown": {other}}
	table := fleet.NewTable(&fleet.Config{Services: []fleet.Service{{Name: "drafts"}}})
	assert.Equal(t, []*fleet.BackendServer{real}, present(declared(servers, table), "drafts"))
	assert.Empty(t, present(declared(servers, nil), "drafts"), "while it is not known which services there are")
}
