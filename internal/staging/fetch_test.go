package staging

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
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
		holders: map[string]map[int]bool{}, count: map[int]int{}, heldSince: map[int]time.Time{}, asked: map[int]bool{},
		inFlight: map[int]bool{}, busy: map[string]bool{}, badUntil: map[string]time.Time{}, refused: map[string]time.Time{},
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

func TestTurnsOfAgentsThatAreGoneGoToOthers(t *testing.T) {
	f := testFetcher([]byte("a"))
	servers := []*fleet.BackendServer{{ID: "1", Addr: "127.0.0.1:1", Service: "s", Zone: "here"}}
	piece := 0
	for i := range 20 {
		servers = append(servers, &fleet.BackendServer{ID: fmt.Sprint("o", i), Addr: fmt.Sprint("127.0.0.2:", i), Service: "s", Zone: "here"})
	}
	f.s.cfg.Service, f.s.cfg.Zone = "s", "here"
	f.s.cfg.PeerAddr = func(addr string) string { return "peer of " + addr }
	f.s.cfg.View = func() *follow.View { return &follow.View{Servers: map[string][]*fleet.BackendServer{"s": servers}} }
	now := time.Now()
	f.refresh(now)
	for f.s.turn(f.servers, piece) == 0 {
		piece++
	}
	before := f.s.turn(f.servers, piece)
	require.Positive(t, before)
	for _, b := range servers[1:] {
		f.downs++
		f.take(fetched{piece: piece, peer: f.s.cfg.PeerAddr(b.Addr), err: fmt.Errorf("dial: %w", syscall.ECONNREFUSED)})
	}
	f.refresh(time.Now())
	assert.Zero(t, f.s.turn(f.servers, piece), "all others refuse")
	f.refresh(time.Now().Add(refusedPause + refreshInterval))
	assert.Equal(t, before, f.s.turn(f.servers, piece), "they are tried again")
}

func TestLoadsAreSpreadOverTheTimeThatIsLeft(t *testing.T) {
	const bound = 10 * time.Second
	assert.Equal(t, 3800*time.Millisecond, loadTime(bound, time.Second, 0))
	assert.Equal(t, 8700*time.Millisecond, loadTime(bound, time.Second, 1))
	assert.Equal(t, 7*time.Second, loadTime(bound, 7*time.Second, 0), "pieces that come late")
	assert.Equal(t, 7850*time.Millisecond, loadTime(bound, 7*time.Second, 0.5))
	assert.Equal(t, 8700*time.Millisecond, loadTime(bound, 7*time.Second, 1))
	assert.Equal(t, 9*time.Second, loadTime(bound, 9*time.Second, 1), "no time is left")
}

func TestCompletionIsNoted(t *testing.T) {
	f := testFetcher([]byte("a"), []byte("b"))
	f.set.put(0, []byte("a"))
	assert.True(t, f.set.completedAt().IsZero())
	f.set.put(1, []byte("b"))
	assert.False(t, f.set.completedAt().IsZero())
}
