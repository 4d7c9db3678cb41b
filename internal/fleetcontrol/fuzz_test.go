package fleetcontrol

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// maxUpdates bounds the updates that a follower that joins is sent before it is up to date.
const maxUpdates = 100

// takeAll takes all updates for a follower over, encoded and decoded.
func takeAll(t *testing.T, h *hub, f *follower, viewer *follow.Viewer) (updates []*rpc.FleetUpdate) {
	for range maxUpdates {
		u := h.next(f)
		if u == nil {
			return updates
		}
		data, err := proto.Marshal(u)
		require.NoError(t, err, "an update can't be encoded")
		var received rpc.FleetUpdate
		require.NoError(t, proto.Unmarshal(data, &received))
		require.True(t, proto.Equal(u, &received))
		viewer.Update("c", &received, follow.Received(clock.Now()))
		updates = append(updates, &received)
		h.acknowledge(f, &rpc.FollowerMessage{Acknowledged: u.Number})
	}
	require.Fail(t, "updates without end")
	return nil
}

// FuzzFollowerMessage checks that after any messages of a follower all others are sent what they carry, and that a new one can join.
func FuzzFollowerMessage(f *testing.F) {
	digest := make([]byte, 16)
	for _, m := range []*rpc.FollowerMessage{
		{Report: &rpc.AgentReport{Addr: "127.0.0.1:1", Epoch: 1, Seq: 1, Models: []*rpc.LoadedModel{{Model: "m", Version: 1, FromLayer: 1 << 31}}, Running: 1 << 31, Pace: -1}},
		{Suspicions: []*rpc.Suspicion{{Digest: digest, Server: "i", AgeMs: 1 << 62}, {Digest: digest[:3]}, {Digest: digest, AgeMs: -1}}},
		{Signals: []*rpc.ServerSignal{{Start: "i", Limited: true, Rate: -1}, {Start: "i", Leaving: true, AgeMs: 1 << 62}}},
		{Versions: []*rpc.ModelVersion{{Model: "m", Version: 3, AgeMs: 1 << 40}, {Model: "m", Version: 2, AgeMs: -1 << 62, AppliedBy: 7}}},
		{TurnWanted: digest, TurnId: 1}, {TurnEnded: digest}, {TurnWanted: digest[:1]}, {Presence: 77}, {Acknowledged: 1 << 63, ConfigVersion: 1 << 63},
		{Name: "e", Role: RoleEntry, Zone: "z", StampUs: -1 << 63, Echo: &rpc.Echo{StampUs: 1 << 62, HeldUs: -1 << 63}}, {Role: RoleControl}, {Role: "odd"},
	} {
		data, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m rpc.FollowerMessage
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		h := testHub()
		putConfig(t, h, 1)
		entry := h.join(&rpc.FollowerMessage{Name: "entry", Role: RoleEntry})
		control := h.join(&rpc.FollowerMessage{Name: "control", Role: RoleControl})
		sender := h.join(&m)
		h.handle(sender, &m)
		h.handle(sender, &m)
		late := h.join(&rpc.FollowerMessage{Name: "late", Role: RoleEntry})
		for _, f := range []*follower{entry, control, late, sender} {
			viewer := follow.NewViewer(nil, nil, time.Second, zerolog.Nop())
			takeAll(t, h, f, viewer)
			require.NotNil(t, viewer.View())
		}
		h.leave(sender)
		putConfig(t, h, 1+h.ledger.State().ConfigVersion)
		updates := takeAll(t, h, entry, follow.NewViewer(nil, nil, time.Second, zerolog.Nop()))
		require.NotEmpty(t, updates, "a follower gets no configuration any more")
	})
}

// FuzzPeerUpdate checks that what another control server sends reaches the followers of this one, and those that join.
func FuzzPeerUpdate(f *testing.F) {
	for _, u := range []*rpc.FleetUpdate{
		{Servers: []*rpc.BackendServer{{Id: "i", Service: "s", Addr: "127.0.0.1:1", Zone: "z", Slots: 1 << 31, State: 9, AgeMs: -1 << 62, ColdMs: -1 << 63, Seq: 1 << 63}}},
		{Seen: []*rpc.ServerSeen{{Id: "i", Seq: 1 << 63, Born: -1, AgeMs: 1 << 62}}, Servers: []*rpc.BackendServer{{Id: "i", Service: "s", Addr: "no address"}}},
		{Reports: []*rpc.AgentReport{{Addr: "a"}, {}}, ReportsAgeMs: 1 << 62}, {Versions: []*rpc.ModelVersion{{Model: "m", Version: 2}, {Model: "", Version: 9}}},
		{Suspicions: []*rpc.Suspicion{{Digest: make([]byte, 16), Part: "p"}}, Signals: []*rpc.ServerSignal{{Start: "i", Leaving: true}}},
	} {
		data, err := proto.Marshal(u)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var u rpc.FleetUpdate
		if proto.Unmarshal(data, &u) != nil {
			return
		}
		h := testHub()
		entry := h.join(&rpc.FollowerMessage{Name: "entry", Role: RoleEntry})
		h.mergePeerUpdate("peer", &u, follow.Received(clock.Now()))
		h.mergePeerUpdate("peer", &u, follow.Received(clock.Now()))
		late := h.join(&rpc.FollowerMessage{Name: "late", Role: RoleEntry})
		for _, f := range []*follower{entry, late} {
			takeAll(t, h, f, follow.NewViewer(nil, nil, time.Second, zerolog.Nop()))
		}
		putConfig(t, h, 1)
		require.NotEmpty(t, takeAll(t, h, entry, follow.NewViewer(nil, nil, time.Second, zerolog.Nop())))
	})
}
