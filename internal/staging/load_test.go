package staging

import (
	"context"
	"crypto/sha256"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// stagingEngine is a fake engine with staged pieces; read is called after each read of a
// piece.
type stagingEngine struct {
	staged [][]byte
	loaded [][]byte
	read   func(piece int)
}

func (e *stagingEngine) Report(context.Context) (Report, error) { return Report{}, nil }
func (e *stagingEngine) StagedPieces(context.Context, string) ([]int, error) {
	staged := make([]int, len(e.staged))
	for i := range staged {
		staged[i] = i
	}
	return staged, nil
}

func (e *stagingEngine) Load(context.Context, Order) (bool, error) {
	e.loaded = append([][]byte(nil), e.staged...)
	return true, nil
}

func (e *stagingEngine) Get(_ context.Context, _ string, piece int) ([]byte, error) {
	data := e.staged[piece]
	e.read(piece)
	return data, nil
}

func (e *stagingEngine) Put(_ context.Context, _ string, piece int, data []byte) error {
	e.staged[piece] = data
	return nil
}

// loadingStager returns a stager that has all pieces of a version, which are also staged at
// the engine.
func loadingStager(t *testing.T, e *stagingEngine, clock *time.Time, pieces ...[]byte) (*Stager, goal, *pieceSet) {
	t.Helper()
	s := New(Config{
		Engine: e, EngineAddr: "127.0.0.1:1", Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
		Tell: func(*rpc.AgentReport, bool) {},
	})
	s.now = func() time.Time { return *clock }
	var digests []Digest
	for _, p := range pieces {
		digests = append(digests, sha256.Sum256(p))
	}
	set := newPieceSet(digests)
	for i, p := range pieces {
		require.True(t, set.put(i, p, true))
	}
	e.staged = append([][]byte(nil), pieces...)
	return s, goal{model: "m", version: 2, engine: &fleet.Engine{Pieces: len(pieces)}}, set
}

func TestStaleVerificationIsNotUsedForLoad(t *testing.T) {
	good := [][]byte{[]byte("a"), []byte("b")}
	clock := time.Unix(1000, 0)
	suspended := false
	e := &stagingEngine{}
	e.read = func(piece int) {
		if piece == 1 && !suspended {
			// The process is suspended, and a verified piece becomes corrupted.
			suspended = true
			clock = clock.Add(4 * time.Second)
			e.staged[0] = []byte("bad")
		}
	}
	s, g, set := loadingStager(t, e, &clock, good...)
	s.load(t.Context(), g, set, Report{})
	assert.Empty(t, e.loaded, "verified 4 s ago")
	assert.False(t, s.loading, "entries may send requests to the engine")
	s.load(t.Context(), g, set, Report{})
	assert.Equal(t, good, e.loaded)
	assert.True(t, s.loading)
}

func TestRecentVerificationIsReused(t *testing.T) {
	good := [][]byte{[]byte("a"), []byte("b")}
	clock := time.Unix(1000, 0)
	reads := 0
	e := &stagingEngine{read: func(int) { reads++ }}
	s, g, set := loadingStager(t, e, &clock, good...)
	s.importStaged(t.Context(), g, set) // staged before this agent started
	assert.Equal(t, 2, reads)
	s.load(t.Context(), g, set, Report{})
	assert.Equal(t, 2, reads)
	assert.Equal(t, good, e.loaded)

	clock = clock.Add(verificationReuse + time.Millisecond)
	s.orderedAt = time.Time{}
	s.load(t.Context(), g, set, Report{})
	assert.Equal(t, 4, reads, "the verification is too old")

	other := g
	other.version = 3
	s.verification.stagingBegan(other.key(), clock)
	s.orderedAt = time.Time{}
	s.load(t.Context(), g, set, Report{})
	assert.Equal(t, 6, reads, "another version was staged since")
	s.checkRestart(1000)
	s.checkRestart(2000)
	s.load(t.Context(), g, set, Report{})
	assert.Equal(t, 8, reads, "the engine has restarted")
}

func TestCorruptedPieceIsReplacedBeforeLoad(t *testing.T) {
	clock := time.Unix(1000, 0)
	e := &stagingEngine{read: func(int) {}}
	s, g, set := loadingStager(t, e, &clock, []byte("a"), []byte("b"))
	e.staged[1] = []byte("bad")
	s.importStaged(t.Context(), g, set)
	s.load(t.Context(), g, set, Report{})
	assert.Equal(t, [][]byte{[]byte("a"), []byte("b")}, e.loaded, "the corrupted piece was replaced")
}
