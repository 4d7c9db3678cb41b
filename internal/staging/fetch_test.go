package staging

import (
	"crypto/sha256"
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// testFetcher is of an agent alone in its fleet: each piece is its turn.
func testFetcher(pieces ...[]byte) *fetcher {
	var digests []Digest
	for _, p := range pieces {
		digests = append(digests, sha256.Sum256(p))
	}
	own := &fleet.BackendServer{Addr: "127.0.0.1:1", Zone: "here"}
	s := &Stager{cfg: Config{EngineAddr: own.Addr, Metrics: NewMetrics(prometheus.NewRegistry())}, log: zerolog.Nop()}
	s.reported.Store(true)
	return &fetcher{
		s: s, g: goal{engine: &fleet.Engine{}, origin: &fleet.Origin{}}, set: newPieceSet(digests),
		servers: []*fleet.BackendServer{own}, began: time.Now().Add(-time.Minute),
		holders: map[string]map[int]bool{}, heldSince: map[int]time.Time{}, asked: map[int]bool{},
		inFlight: map[int]bool{}, busy: map[string]bool{}, badUntil: map[string]time.Time{},
	}
}

func TestOriginThatFailedIsSparedForAWhile(t *testing.T) {
	f := testFetcher([]byte("a"), []byte("b"))
	now := time.Now()
	assert.True(t, f.originsTurn(0, 0, now))
	f.origins, f.inFlight[0] = 1, true
	f.take(fetched{piece: 0, peer: atOrigin, err: errors.New("connection refused")})
	now = time.Now()
	assert.False(t, f.originsTurn(0, 0, now), "at once")
	assert.False(t, f.originsTurn(1, 0, now), "for another piece")
	assert.True(t, f.originsTurn(0, 0, now.Add(originPause+1)))
}

func TestCorruptedBytesOfTheOriginAreAskedForAgainAtOnce(t *testing.T) {
	f := testFetcher([]byte("a"))
	f.origins, f.inFlight[0] = 1, true
	f.take(fetched{piece: 0, peer: atOrigin, data: []byte("b")})
	assert.Len(t, f.set.missing(), 1)
	assert.True(t, f.originsTurn(0, 0, time.Now()))
}

func TestOriginIsNotAskedBeforeTheEngineHasTold(t *testing.T) {
	f := testFetcher([]byte("a"))
	f.s.reported.Store(false)
	assert.False(t, f.originsTurn(0, 0, time.Now()), "the engine may hold it")
	f.s.reported.Store(true)
	assert.True(t, f.originsTurn(0, 0, time.Now()))
}

func TestPeerWaitsForAnUploadSlot(t *testing.T) {
	s := &server{stager: New(Config{Logger: zerolog.Nop()})}
	for range maxUploads {
		assert.True(t, s.takeSlot(t.Context(), 0))
	}
	assert.False(t, s.takeSlot(t.Context(), time.Millisecond))
	go func() { <-s.stager.slots }()
	assert.True(t, s.takeSlot(t.Context(), time.Minute))
}

func TestWhatLiesAtTheEngineIsTakenInOnce(t *testing.T) {
	set := newPieceSet(nil)
	assert.True(t, set.takeStagedNow())
	assert.False(t, set.takeStagedNow())
}
