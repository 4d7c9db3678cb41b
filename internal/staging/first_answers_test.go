package staging

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
)

// Guards against an agent that confirms its digests by its own answer, since a record of its engine at an earlier port is still there.
func TestFirstAnswerIsNotConfirmedByTheAgentItself(t *testing.T) {
	o := &answeringOrigin{answers: [][]Digest{digestsOf("a", "b")}}
	stagers, g := confirmingFleet(t, 1, o, "a", "b")
	s := stagers[0]
	own := s.cfg.EngineAddr
	view := &follow.View{Servers: map[string][]*fleet.BackendServer{"s": {
		{ID: "1", Addr: own, Service: "s", StartedAt: time.Now()}, {ID: "0", Addr: "127.0.0.1:1", Service: "s"},
	}}}
	s.cfg.View, s.cfg.PeerAddr = func() *follow.View { return view }, func(string) string { return own }
	set, err := s.openSet(t.Context(), g)
	require.NoError(t, err)
	require.True(t, set.askedOrigin.Load())
	require.True(t, set.put(0, []byte("a"), true))
	o.err = errors.New("connection refused")
	for range 20 {
		s.confirm(t.Context(), g, set, time.Now())
	}
	assert.False(t, set.loadable())
}

// Guards against digests that two of many agents received wrongly, and that replace those of all others, since the two heard only each other.
func TestFirstAnswersThatTwoAgentsOfManyShareReplaceNoOthers(t *testing.T) {
	const agents, rounds = 6, 20
	wrong := 0
	for range rounds {
		o := &answeringOrigin{err: errors.New("connection refused")}
		stagers, g := confirmingFleet(t, agents, o, "a", "old")
		first := newPieceRanks(stagers[0].cfg.EngineAddr, stagers[0].confirmers(stagers[0].servers())).first(rankForConfirmation).Addr
		var confused []*Stager
		for _, s := range stagers {
			digests := digestsOf("a", "new")
			if s.cfg.EngineAddr == first || len(confused) == 0 || len(confused) == 1 && confused[0].cfg.EngineAddr == first {
				digests = digestsOf("a", "old")
				confused = append(confused, s)
			}
			set := s.sets.add(g.key(), digests)
			set.askedOrigin.Store(true)
			s.importStaged(t.Context(), g, set)
			require.True(t, set.put(0, []byte("a"), true))
		}
		for range 10 {
			for _, s := range stagers {
				s.confirm(t.Context(), g, s.sets.get(g.key()), time.Now())
			}
		}
		for _, s := range stagers {
			if s.sets.get(g.key()).loadable() { // with the old bytes
				wrong++
			}
		}
	}
	assert.Zero(t, wrong, "engines that load old bytes as the new version, of %d", agents*rounds)
}

// Guards against a peer's answer that confirms digests, though the origin's bytes contradict one of them there.
func TestFirstAnswerThatBytesContradictAtThePeerConfirmsNothing(t *testing.T) {
	peer, set := newPieceSet(digestsOf("a", "old")), newPieceSet(digestsOf("a", "old"))
	for _, p := range []*pieceSet{peer, set} {
		p.askedOrigin.Store(true)
		require.True(t, p.put(0, []byte("a"), true))
	}
	require.False(t, peer.put(1, []byte("new"), true))
	peer.noteMismatch(1, originPeer, []byte("new"), time.Now())
	require.False(t, peer.inDoubt(), "it is passed on")
	require.True(t, set.put(1, []byte("old"), false))
	set.adopt(peer.answer())
	assert.Zero(t, set.compareFirst(peer.answer()))
	assert.False(t, set.loadable())
}
