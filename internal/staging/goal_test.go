package staging

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/ledger"
)

func TestChoiceBetweenTwoVersions(t *testing.T) {
	// A copy takes 1.7 s on the origin's link and 4 s to all agents.
	even := versionChoice{
		gap: 2 * time.Second, spread: 4 * time.Second, age: 4 * time.Second, originTime: 1700 * time.Millisecond,
		pieces: 64, newerKnown: true, olderAvailable: 64,
	}
	for name, c := range map[string]struct {
		older  bool
		change func(c *versionChoice)
	}{
		"the newer one arrives in time":                {false, func(*versionChoice) {}},
		"the older one had enough time":                {true, func(c *versionChoice) { c.gap = 4 * time.Second }},
		"origin down, more of the older one available": {true, func(c *versionChoice) { c.originDown, c.newerAvailable = true, 10 }},
		"origin down, as much of both available":       {false, func(c *versionChoice) { c.originDown, c.newerAvailable = true, 64 }},
		"digests of the newer one unknown":             {true, func(c *versionChoice) { c.newerKnown = false }},
		"and nothing of the older one available":       {false, func(c *versionChoice) { c.newerKnown, c.olderAvailable = false, 0 }},
		"most of the older one sent by the origin":     {true, func(c *versionChoice) { c.age, c.olderAvailable = 2*time.Second, 60 }},
		"as much, but the older one is overdue":        {false, func(c *versionChoice) { c.olderAvailable = 60 }},
		"little of the older one sent by the origin":   {false, func(c *versionChoice) { c.gap, c.age, c.olderAvailable = time.Second, time.Second, 20 }},
	} {
		choice := even
		c.change(&choice)
		assert.Equal(t, c.older, preferOlder(choice), name)
	}
}

func TestAvailablePiecesIncludeThoseOfPeers(t *testing.T) {
	var none *pieceSet
	assert.Zero(t, none.available())
	f := testFetcher([]byte("a"), []byte("b"), []byte("c"))
	f.set.put(0, []byte("a"), true)
	f.handleUpdate(peerUpdate{peer: "p", pieces: []uint32{0, 2}})
	assert.Equal(t, 2, f.set.available())
}

func TestOriginIsDownUntilItServesAnyAgent(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Stager{start: now.Add(-time.Minute)}
	assert.False(t, s.originDown(now))
	s.recordOrigin(errors.New("connection refused"), now)
	assert.True(t, s.originDown(now.Add(time.Second)))
	assert.False(t, s.originDown(now.Add(originDownTimeout)), "the failure is too old")
	s.recordOrigin(nil, now.Add(time.Second))
	assert.False(t, s.originDown(now.Add(time.Second)))
	s.recordOrigin(errors.New("connection refused"), now.Add(1200*time.Millisecond))
	assert.True(t, s.originDown(now.Add(1300*time.Millisecond)))
	s.recordOriginServes(now.Add(1400 * time.Millisecond))
	assert.False(t, s.originDown(now.Add(1400*time.Millisecond)), "it serves other agents")
	s.recordOrigin(context.Canceled, now.Add(1500*time.Millisecond))
	assert.False(t, s.originDown(now.Add(1600*time.Millisecond)), "cancelled by this agent")
}

// The agent that is first to fetch a piece hangs, and no peer announces the piece.
func TestNextAgentFetchesPieceOfHungAgent(t *testing.T) {
	f := testFetcher([]byte("a"))
	f.servers = append(f.servers, &fleet.BackendServer{Addr: "127.0.0.2:1", Zone: "here"})
	piece := 0
	for f.s.rankAmong(f.servers, piece) == 0 {
		piece++
	}
	f.g.origin.LinkMbps, f.g.engine.Pieces, f.g.engine.PieceBytes = 8, 10, 100_000 // 1 s for a copy
	f.g.named = ledger.Version{Number: 2, AppliedAt: f.began}
	due := f.began.Add(f.g.originTime() + lateFailoverDelay)
	assert.False(t, f.originDue(piece, 0, due.Add(-time.Millisecond)))
	assert.True(t, f.originDue(piece, 0, due.Add(peerHeadStart)))
	assert.False(t, f.originDue(piece, 1, due.Add(peerHeadStart)), "a peer has announced it")
}

// Peers get time to announce their pieces before the origin is asked, except for a version
// that was named just now.
func TestOriginIsAskedAfterPeersCouldAnnounce(t *testing.T) {
	f := testFetcher([]byte("a"))
	f.began = time.Now()
	assert.False(t, f.originDue(0, 0, f.began), "a version that was never named")
	f.g.named = ledger.Version{Number: 2, AppliedAt: f.began.Add(-time.Minute)}
	assert.False(t, f.originDue(0, 0, f.began), "named long ago")
	assert.True(t, f.originDue(0, 0, f.began.Add(peerHeadStart)))
	f.g.named.AppliedAt = f.began
	assert.True(t, f.originDue(0, 0, f.began), "named now")
}

func TestFirstAgentForPiece(t *testing.T) {
	assert.Nil(t, newPieceRanks("127.0.0.1:1", nil).first(0))
	f := testFetcher([]byte("a"))
	f.servers = append(f.servers, &fleet.BackendServer{Addr: "127.0.0.2:1"})
	for piece := range 10 {
		own := f.rank(piece) == 0
		assert.Equal(t, own, f.fleetRanks().first(piece) == f.servers[0])
		assert.Equal(t, f.s.rankAmong(f.servers, piece), f.rank(piece), "cached rank")
	}
}

// BenchmarkFetchStart measures one search for pieces to fetch by an agent among 184, of which
// it watches 20 that each have half of 96 pieces.
func BenchmarkFetchStart(b *testing.B) {
	pieces := make([][]byte, 96)
	for i := range pieces {
		pieces[i] = []byte{byte(i)}
	}
	f := testFetcher(pieces...)
	f.servers = nil
	for i := range 184 {
		f.servers = append(f.servers, &fleet.BackendServer{Addr: fmt.Sprintf("127.0.0.%d:1", i+1), Zone: fmt.Sprint(i % 5)})
	}
	f.zoneServers, f.refreshed = f.servers[:36], time.Now().Add(time.Hour)
	f.s.sets, f.s.start = newSets(nil), time.Now()
	f.downloads, f.directRequests, f.inFlight[95] = maxDownloadsIdle, maxDirect, true // no fetch from a peer may start
	f.began = time.Now().Add(time.Hour)                                               // and the origin may not be asked yet
	for peer := range 20 {
		var held []uint32
		for piece := range 48 {
			held = append(held, uint32((peer*5+piece)%96))
		}
		f.handleUpdate(peerUpdate{peer: f.servers[peer].Addr, pieces: held})
	}
	for b.Loop() {
		f.startFetches(b.Context(), f.set.missing())
	}
}
