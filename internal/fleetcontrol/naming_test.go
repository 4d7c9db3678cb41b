package fleetcontrol

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

func nameVersion(t *testing.T, h *hub, version uint64) {
	t.Helper()
	data, err := proto.Marshal(&rpc.FleetCommand{Model: "m", Version: version})
	require.NoError(t, err)
	h.ledger.Apply(version, data)
}

func naming(version uint64, age time.Duration) *rpc.FleetUpdate {
	return &rpc.FleetUpdate{Versions: []*rpc.ModelVersion{{Model: "m", Version: version, AgeMs: age.Milliseconds()}}}
}

// sentAges returns the ages of the namings in the next update to f by version, in seconds.
func sentAges(h *hub, f *follower) map[uint64]float64 {
	ages := map[uint64]float64{}
	for _, m := range h.next(f).GetVersions() {
		ages[m.Version] = max(ages[m.Version], float64(m.AgeMs)/1000) // the earliest of several control servers counts
	}
	return ages
}

// tolerance of ages, in seconds.
const tolerance = 0.5

func TestControlServerSendsNoLaterTimeOfNamingThanItsPeersKnow(t *testing.T) {
	h := testHub()
	nameVersion(t, h, 2)
	early := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	first := sentAges(h, early)
	assert.Contains(t, first, uint64(2))
	assert.Less(t, first[2], tolerance)
	h.mergePeerUpdate("c-2", naming(2, 6*time.Second), follow.Received(clock.Now()))
	assert.InDelta(t, 6, sentAges(h, early)[2], tolerance, "sent again")
	assert.Empty(t, sentAges(h, early))
	h.mergePeerUpdate("c-3", naming(2, 3*time.Second), follow.Received(clock.Now()))
	assert.Empty(t, sentAges(h, early), "never later")
	joined := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleAgent})
	assert.InDelta(t, 6, sentAges(h, joined)[2], tolerance)
}

func TestControlServerUsesTimeOfNamingThatItAppliesAfterItsPeers(t *testing.T) {
	h := testHub()
	h.mergePeerUpdate("c-2", naming(2, 6*time.Second), follow.Received(clock.Now()))
	f := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	assert.Empty(t, sentAges(h, f), "not committed as far as this server knows")
	nameVersion(t, h, 2)
	assert.InDelta(t, 6, sentAges(h, f)[2], tolerance)
	nameVersion(t, h, 3)
	h.mergePeerUpdate("c-2", naming(3, time.Second), follow.Received(clock.Now()))
	assert.Equal(t, []uint64{2, 3}, numbers(h))
	ages := sentAges(h, f)
	assert.InDelta(t, 1, ages[3], tolerance)
	assert.NotContains(t, ages, uint64(2), "each version has its own time")
}

func numbers(h *hub) (out []uint64) {
	for _, v := range h.ledger.State().Versions["m"].History() {
		out = append(out, v.Number)
	}
	return out
}

func TestControlServersReceiveNamingsFromEachOther(t *testing.T) {
	h := testHub()
	peer := h.join(&rpc.FollowerMessage{Name: "c-2", Role: RoleControl})
	h.next(peer)
	nameVersion(t, h, 2)
	u := h.next(peer)
	require.NotNil(t, u)
	require.Len(t, u.Versions, 1)
	assert.EqualValues(t, 2, u.Versions[0].Version)
	assert.Zero(t, u.ConfigVersion)
}

// Guards against an age that is too low because its only message waited on its way.
func TestNamingIsRepeatedUntilTheBoundOnOldWeightsHasPassed(t *testing.T) {
	const bound = 10 * time.Second
	for _, role := range []string{RoleEntry, RoleAgent, RoleControl} {
		h := testHub()
		h.versionBound = bound
		nameVersion(t, h, 2)
		f := h.join(&rpc.FollowerMessage{Name: "f", Role: role})
		assert.Len(t, sentAges(h, f), 1)
		assert.Empty(t, sentAges(h, f), "not again at once")
		f.namingsAt = f.namingsAt.Add(-namingRepeatInterval)
		assert.Len(t, sentAges(h, f), 1, role)
		assert.True(t, h.namedWithinBound(clock.Now()))
		h.mergePeerUpdate("c-2", naming(2, bound+time.Second), follow.Received(clock.Now()))
		assert.Len(t, sentAges(h, f), 1, "corrected")
		f.namingsAt = f.namingsAt.Add(-namingRepeatInterval)
		assert.Empty(t, sentAges(h, f), "the bound has passed")
		assert.False(t, h.namedWithinBound(clock.Now()))
	}
}

// Guards against repetitions that are due but not sent, as nothing else wakes the follower.
func TestFollowerWithoutOtherUpdatesReceivesRepeatedNamings(t *testing.T) {
	h := testHub()
	h.versionBound = time.Minute
	nameVersion(t, h, 2)
	f := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleAgent})
	h.next(f)
	f.namingsAt = f.namingsAt.Add(-namingRepeatInterval)
	go h.run(t.Context())
	select {
	case <-f.wake:
	case <-time.After(10 * time.Second):
		t.Fatal("not woken")
	}
	assert.Len(t, sentAges(h, f), 1)
}

func TestRestartedControlServersLearnTheTimesOfNamingsFromRunningFollowers(t *testing.T) {
	for _, role := range []string{RoleEntry, RoleAgent} {
		h := testHub()
		h.ledger.BeginReplay()
		nameVersion(t, h, 2)
		nameVersion(t, h, 3)
		nameVersion(t, h, 4)
		addr := serveHub(t, h)

		running := follow.NewViewer(nil, nil, time.Second, zerolog.Nop())
		running.Update("before", naming(2, 6*time.Second), follow.Received(clock.Now()))
		running.Update("before", naming(3, 4*time.Second), follow.Received(clock.Now()))
		client := follow.New(follow.Config{
			Name: "f", Role: role, Seeds: func() []string { return []string{addr} }, Logger: zerolog.Nop(),
			Versions: func() map[string]ledger.Version { return running.View().Versions },
			Update:   running.Update, Lost: running.Lost,
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- client.Run(ctx) }()
		known := func() bool {
			v, _ := h.ledger.State().Versions["m"].Find(3)
			return !v.TimeUnknown
		}
		require.Eventually(t, known, 10*time.Second, time.Millisecond, role)
		fresh := follow.NewViewer(nil, nil, time.Second, zerolog.Nop())
		fresh.Update("c", h.next(h.join(&rpc.FollowerMessage{Name: "fresh", Role: RoleEntry})), follow.Received(clock.Now()))
		two, _ := fresh.View().Versions["m"].Find(2)
		three, _ := fresh.View().Versions["m"].Find(3)
		assert.InDelta(t, 6, clock.Since(two.AppliedAt).Seconds(), 2)
		assert.InDelta(t, 2, three.AppliedAt.Sub(two.AppliedAt).Seconds(), tolerance, "separate times")
		assert.True(t, fresh.View().Versions["m"].TimeUnknown, "nobody knows when version 4 was named")
		cancel()
		<-ended
	}
}

// serveHub serves a hub's followers and returns its address.
func serveHub(t *testing.T, h *hub) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.controlAddrs = func() []string { return []string{lis.Addr().String()} }
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterFleet(mux, &service{server: &Server{hub: h}}))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- rpcconn.Serve(ctx, lis, mux) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-served)
	})
	return lis.Addr().String()
}
