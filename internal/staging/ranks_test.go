package staging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
)

func TestOnlyLatestIncarnationAtAddressIsRanked(t *testing.T) {
	const service = "drafts"
	now := time.Unix(1000, 0)
	dead := &fleet.BackendServer{ID: "1", Service: service, Addr: "10.0.0.1:1", Zone: "old", StartedAt: now, SeenAt: now.Add(time.Minute)}
	alive := &fleet.BackendServer{ID: "2", Service: service, Addr: "10.0.0.1:1", Zone: "new", StartedAt: now.Add(30 * time.Second), SeenAt: now.Add(50 * time.Second)}
	other := &fleet.BackendServer{ID: "3", Service: service, Addr: "10.0.0.2:1", StartedAt: now}
	servers := map[string][]*fleet.BackendServer{service: {dead, alive, other}}
	assert.Equal(t, []*fleet.BackendServer{alive, other}, activeServers(servers, service), "the crashed one's announcement arrived late, so it was seen last")
	alive.State = fleet.StateGone
	assert.Equal(t, []*fleet.BackendServer{other}, activeServers(servers, service), "when it leaves, the previous incarnation does not return")
	alive.State, alive.Service = fleet.StateReady, "plain"
	servers = map[string][]*fleet.BackendServer{service: {dead, other}, "plain": {alive}}
	assert.Equal(t, []*fleet.BackendServer{other}, activeServers(servers, service), "the address is used by another service now")
}

func TestServersOfUnknownServiceAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	real := &fleet.BackendServer{ID: "1", Service: "drafts", Addr: "10.0.0.1:1", StartedAt: now}
	other := &fleet.BackendServer{ID: "2", Service: "unknown", Addr: "10.0.0.1:1", StartedAt: now.Add(time.Minute)}
	servers := map[string][]*fleet.BackendServer{"drafts": {real}, "unknown": {other}}
	table := fleet.NewTable(&fleet.Config{Services: []fleet.Service{{Name: "drafts"}}})
	assert.Equal(t, []*fleet.BackendServer{real}, activeServers(declared(servers, table), "drafts"))
	assert.Empty(t, activeServers(declared(servers, nil), "drafts"), "without a configuration")
}
