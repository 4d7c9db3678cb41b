package staging

import (
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// answeringOrigin is a fake origin; it answers with digests in turn, the last of them again and again.
type answeringOrigin struct {
	answers [][]Digest
	err     error
	asked   int
}

func (o *answeringOrigin) Digests(context.Context, string, string, uint64) ([]Digest, error) {
	o.asked++
	if o.err != nil {
		return nil, o.err
	}
	answer := o.answers[0]
	if len(o.answers) > 1 {
		o.answers = o.answers[1:]
	}
	return answer, nil
}

func (o *answeringOrigin) Piece(context.Context, string, string, uint64, int) ([]byte, error) {
	return nil, errors.New("no piece is requested in these tests")
}

// confirmingStager returns the stager of an agent without peers whose engine has these pieces staged.
func confirmingStager(o *answeringOrigin, staged ...string) (*Stager, goal) {
	e := &stagingEngine{read: func(int) {}}
	for _, data := range staged {
		e.staged = append(e.staged, []byte(data))
	}
	s := New(Config{
		Service: "s", Engine: e, EngineAddr: "127.0.0.1:1", Origin: o, Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
		PeerAddr: func(addr string) string { return addr },
		View: func() *follow.View {
			return &follow.View{Servers: map[string][]*fleet.BackendServer{"s": {{ID: "1", Addr: "127.0.0.1:1", Service: "s"}}}}
		},
	})
	s.reported.Store(true)
	return s, goal{model: "m", version: 2, engine: &fleet.Engine{Pieces: len(staged)}, origin: &fleet.Origin{}}
}

func TestPiecesThatVersionsShareAreNotFetchedAgain(t *testing.T) {
	o := &answeringOrigin{answers: [][]Digest{digestsOf("a", "b2")}}
	s, g := confirmingStager(o, "a", "b1")
	set, err := s.openSet(t.Context(), g)
	require.NoError(t, err)
	assert.Equal(t, []int{1}, set.missing())
	require.True(t, set.put(1, []byte("b2"), true))
	assert.False(t, set.loadable())
	s.confirm(t.Context(), g, set, time.Now())
	assert.True(t, set.loadable())
	assert.Equal(t, 2, o.asked)
	_, due := set.takeConfirmation(time.Now())
	assert.False(t, due)
}

// Guards against a version that is loaded with staged pieces of the older one, since the origin fails after an answer that named them, and
// against one that is not loaded after it has recovered.
func TestStagedPiecesAreNotLoadedWhileTheOriginConfirmsNothing(t *testing.T) {
	o := &answeringOrigin{answers: [][]Digest{digestsOf("a1", "b"), digestsOf("a2", "b")}}
	s, g := confirmingStager(o, "a1", "b")
	set, err := s.openSet(t.Context(), g)
	require.NoError(t, err)
	assert.Equal(t, []int{0}, set.missing(), "all were staged")
	assert.False(t, set.put(0, []byte("a1"), false), "a staged piece is no second answer")
	require.True(t, set.put(0, []byte("a1"), true))
	o.answers = [][]Digest{digestsOf("a1", "b2")}
	o.err = errors.New("connection refused")
	began, asked := time.Now(), o.asked
	for now := began; now.Sub(began) < 10*time.Second; now = now.Add(wantedInterval) {
		if _, due := set.takeConfirmation(now); due {
			s.confirm(t.Context(), g, set, began)
		}
		assert.False(t, set.loadable())
	}
	assert.Greater(t, o.asked-asked, 4)
	assert.Less(t, o.asked-asked, 20, "the origin is asked without a pause")
	o.err = nil
	s.confirm(t.Context(), g, set, began)
	assert.Equal(t, []int{1}, set.missing())
	require.True(t, set.put(1, []byte("b2"), true))
	assert.True(t, set.loadable())
}

// Guards against a version that is never loaded beside agents of an earlier build, which confirm nothing.
func TestPiecesOfPeersThatConfirmNothingAreComparedWithTheOrigin(t *testing.T) {
	o := &answeringOrigin{answers: [][]Digest{digestsOf("a2", "b2")}}
	s, g := confirmingStager(o, "a1", "b1")
	set, err := s.openSet(t.Context(), g)
	require.NoError(t, err)
	for piece, data := range []string{"a2", "b2"} {
		require.True(t, set.put(piece, []byte(data), false))
	}
	s.confirm(t.Context(), g, set, time.Now())
	assert.Equal(t, []int{0}, set.missing())
	assert.False(t, set.put(0, []byte("a2"), false))
	require.True(t, set.put(0, []byte("a2"), true))
	s.confirm(t.Context(), g, set, time.Now())
	assert.True(t, set.loadable())
	assert.Equal(t, 2, o.asked)
}

// Guards against a load without a verification of the staged pieces, since one was made before the digests were replaced.
func TestVerificationOfPiecesUnderReplacedDigestsIsNotUsed(t *testing.T) {
	o := &answeringOrigin{answers: [][]Digest{digestsOf("a1", "b")}}
	s, g := confirmingStager(o, "a1", "older")
	set, err := s.openSet(t.Context(), g)
	require.NoError(t, err)
	require.True(t, set.put(1, []byte("b"), true))
	s.verification.record(g.key(), s.now())
	s.adopt(g, set, digestAnswer{digests: digestsOf("a2", "b"), confirmed: []bool{true, true}}, "peer")
	require.True(t, set.put(0, []byte("a2"), true))
	require.True(t, set.loadable())
	_, recent := s.verification.recent(g.key(), s.now())
	assert.False(t, recent)
}

// Guards against an agent that starts anew and does not load, or fetches again, what its engine had loaded before it crashed.
func TestStagedPiecesOfTheLoadedVersionAreProven(t *testing.T) {
	for name, c := range map[string]struct {
		version, loaded uint64
		missing         int
	}{
		"loaded": {2, 2, 0}, "the first version": {1, 0, 0}, "another one is loaded": {2, 1, 1}, "none is loaded": {2, 0, 1},
	} {
		s, g := confirmingStager(&answeringOrigin{answers: [][]Digest{digestsOf("a", "b")}}, "a", "b")
		g.version = c.version
		s.engineVersion.Store(c.loaded)
		set, err := s.openSet(t.Context(), g)
		require.NoError(t, err)
		assert.Len(t, set.missing(), c.missing, name)
		assert.Equal(t, c.missing == 0, set.loadable(), name)
	}
}

func TestAgentThatReceivedTheFirstAnswerIsTheLastToAskForASecond(t *testing.T) {
	servers := []*fleet.BackendServer{{Addr: "127.0.0.1:1"}, {Addr: "127.0.0.2:1"}, {Addr: "127.0.0.3:1"}, {Addr: "127.0.0.4:1"}}
	set := newPieceSet(nil)
	set.askedOrigin.Store(true)
	for n := 1; n <= len(servers); n++ {
		for _, own := range servers[:n] {
			s := New(Config{EngineAddr: own.Addr})
			confirmers := s.confirmers(servers[:n])
			assert.Len(t, confirmers, max(n-1, 1))
			if slices.Contains(confirmers, own) {
				assert.Equal(t, len(confirmers)-1, s.confirmationRank(confirmers, set), "of %d", n)
			} else {
				assert.Equal(t, n-1, s.confirmationRank(confirmers, set), "of %d", n)
			}
		}
	}
}

// confirmingFleet returns the stagers of n agents that serve each other, whose engines have these pieces staged.
func confirmingFleet(t *testing.T, n int, o *answeringOrigin, staged ...string) ([]*Stager, goal) {
	view := &follow.View{Servers: map[string][]*fleet.BackendServer{}}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, n)
	t.Cleanup(func() {
		cancel()
		for range n {
			assert.NoError(t, <-served)
		}
	})
	var stagers []*Stager
	var g goal
	for range n {
		var s *Stager
		s, g = confirmingStager(o, staged...)
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		mux := drpcmux.New()
		require.NoError(t, s.Register(mux))
		go func() { served <- rpcconn.Serve(ctx, lis, mux) }()
		s.cfg.EngineAddr, s.cfg.View = lis.Addr().String(), func() *follow.View { return view }
		view.Servers["s"] = append(view.Servers["s"], &fleet.BackendServer{ID: lis.Addr().String(), Addr: lis.Addr().String(), Service: "s"})
		stagers = append(stagers, s)
	}
	return stagers, g
}

// confirmUntil has an agent confirm its digests, which asks peers at random, until the condition holds.
func confirmUntil(t *testing.T, s *Stager, g goal, set *pieceSet, done func() bool) {
	for deadline := time.Now().Add(time.Minute); !done(); {
		require.True(t, time.Now().Before(deadline), "digests are not compared")
		s.confirm(t.Context(), g, set, time.Now())
	}
}

// Guards against agents that all wait for each other's turns: after a loss of all power each of them knows no other yet and asks the origin itself.
func TestAgentsThatAllReceivedTheFirstAnswerConfirmItByEachOthers(t *testing.T) {
	o := &answeringOrigin{answers: [][]Digest{digestsOf("a", "b")}}
	stagers, g := confirmingFleet(t, 6, o, "a", "b")
	for _, s := range stagers {
		set, err := s.openSet(t.Context(), g)
		require.NoError(t, err)
		set.askedOrigin.Store(true)
		require.Len(t, set.missing(), 1)
	}
	o.err = errors.New("connection refused")
	for _, s := range stagers {
		set := s.sets.get(g.key())
		for range 5 {
			s.confirm(t.Context(), g, set, time.Now())
		}
		assert.False(t, set.loadable(), "no bytes of the origin")
		require.True(t, set.put(0, []byte("a"), true))
		confirmUntil(t, s, g, set, set.loadable)
	}
}

func TestFirstAnswerThatWasPassedOnConfirmsNothing(t *testing.T) {
	for name, c := range map[string]struct{ own, peer bool }{"here": {false, true}, "at the peer": {true, false}, "at both": {false, false}} {
		o := &answeringOrigin{answers: [][]Digest{digestsOf("a", "b")}}
		stagers, g := confirmingFleet(t, 2, o, "a", "b")
		for i, s := range stagers {
			set, err := s.openSet(t.Context(), g)
			require.NoError(t, err)
			set.askedOrigin.Store([]bool{c.own, c.peer}[i])
		}
		set := stagers[0].sets.get(g.key())
		require.True(t, set.put(0, []byte("a"), true))
		o.err = errors.New("connection refused")
		for range 20 {
			stagers[0].confirm(t.Context(), g, set, time.Now())
		}
		assert.False(t, set.loadable(), name)
	}
}

func TestFirstAnswersThatDifferConfirmNothing(t *testing.T) {
	o := &answeringOrigin{err: errors.New("connection refused")}
	stagers, g := confirmingFleet(t, 2, o, "a", "b")
	for i, s := range stagers {
		set := s.sets.add(g.key(), [][]Digest{digestsOf("a", "b"), digestsOf("a", "b2")}[i])
		set.askedOrigin.Store(true)
		s.importStaged(t.Context(), g, set)
	}
	set := stagers[0].sets.get(g.key())
	require.True(t, set.put(0, []byte("a"), true))
	confirmUntil(t, stagers[0], g, set, func() bool { return len(set.missing()) > 0 })
	assert.Equal(t, []int{1}, set.missing(), "the origin's bytes decide")
	require.True(t, set.put(1, []byte("b2"), true))
	assert.True(t, set.loadable())
}

func TestFirstAnswersConfirmNoDigestThatAnotherAnswerContests(t *testing.T) {
	set := newPieceSet(digestsOf("a", "b"))
	set.askedOrigin.Store(true)
	require.True(t, set.put(0, []byte("a"), true))
	require.True(t, set.put(1, []byte("b"), false))
	other := digestAnswer{digests: digestsOf("a", "b2"), confirmed: []bool{false, false}, askedOrigin: true}
	_, contested := set.adopt(other)
	assert.Equal(t, []int{1}, contested)
	assert.Zero(t, set.compareFirst(digestAnswer{digests: digestsOf("a", "b"), confirmed: []bool{false, false}, askedOrigin: true}))
	assert.False(t, set.loadable())
}
