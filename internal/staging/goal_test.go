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

func TestWhichOfTwoVersionsIsGoneFor(t *testing.T) {
	// A copy takes 1.7 s on the origin's link and 4 s to all agents.
	even := versionChoice{
		gap: 2 * time.Second, spread: 4 * time.Second, age: 4 * time.Second, originTime: 1700 * time.Millisecond,
		pieces: 64, newerKnown: true, olderAtHand: 64,
	}
	for name, c := range map[string]struct {
		older  bool
		change func(c *versionChoice)
	}{
		"the newer one comes in time":                      {false, func(*versionChoice) {}},
		"the older one had its time":                       {true, func(c *versionChoice) { c.gap = 4 * time.Second }},
		"the origin fails, the older one is nearer":        {true, func(c *versionChoice) { c.originFails, c.newerAtHand = true, 10 }},
		"the origin fails, the newer one is as near":       {false, func(c *versionChoice) { c.originFails, c.newerAtHand = true, 64 }},
		"the newer one's digests are not known":            {true, func(c *versionChoice) { c.newerKnown = false }},
		"nothing of the older one is there either":         {false, func(c *versionChoice) { c.newerKnown, c.olderAtHand = false, 0 }},
		"the older one has nearly left the origin":         {true, func(c *versionChoice) { c.age, c.olderAtHand = 2*time.Second, 60 }},
		"it should have, long ago":                         {false, func(c *versionChoice) { c.olderAtHand = 60 }},
		"the older one has hardly begun when the newer is": {false, func(c *versionChoice) { c.gap, c.age, c.olderAtHand = time.Second, time.Second, 20 }},
	} {
		choice := even
		c.change(&choice)
		assert.Equal(t, c.older, olderFirst(choice), name)
	}
}

func TestPiecesAtHandAreOwnAndThoseOfPeers(t *testing.T) {
	var none *pieceSet
	assert.Zero(t, none.atHand())
	f := testFetcher([]byte("a"), []byte("b"), []byte("c"))
	f.set.put(0, []byte("a"))
	f.note(heldBy{peer: "p", pieces: []uint32{0, 2}})
	assert.Equal(t, 2, f.set.atHand())
}

func TestOriginFailsUntilItAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Stager{start: now.Add(-time.Minute)}
	assert.False(t, s.originFails(now))
	s.noteOrigin(errors.New("connection refused"), now)
	assert.True(t, s.originFails(now.Add(time.Second)))
	assert.False(t, s.originFails(now.Add(originDownFor)), "not heard of since")
	s.noteOrigin(nil, now.Add(time.Second))
	assert.False(t, s.originFails(now.Add(time.Second)))
	s.noteOrigin(errors.New("connection refused"), now.Add(1200*time.Millisecond))
	assert.True(t, s.originFails(now.Add(1300*time.Millisecond)))
	s.noteOriginHeard(now.Add(1400 * time.Millisecond))
	assert.False(t, s.originFails(now.Add(1400*time.Millisecond)), "it answers others")
	s.noteOrigin(context.Canceled, now.Add(1500*time.Millisecond))
	assert.False(t, s.originFails(now.Add(1600*time.Millisecond)), "ended by us")
}

// TestPieceOfAnAgentThatStandsStillIsFetchedSoon: the agent whose turn it is does not
// fetch, and nobody tells to hold the piece.
func TestPieceOfAnAgentThatStandsStillIsFetchedSoon(t *testing.T) {
	f := testFetcher([]byte("a"))
	f.servers = append(f.servers, &fleet.BackendServer{Addr: "127.0.0.2:1", Zone: "here"})
	piece := 0
	for f.s.turn(f.servers, piece) == 0 {
		piece++
	}
	f.g.origin.LinkMbps, f.g.engine.Pieces, f.g.engine.PieceBytes = 8, 10, 100_000 // 1 s for a copy
	f.g.named = ledger.Version{Number: 2, AppliedAt: f.began}
	due := f.began.Add(f.g.originTime() + latePatience)
	assert.False(t, f.originsTurn(piece, 0, due.Add(-time.Millisecond)))
	assert.True(t, f.originsTurn(piece, 0, due.Add(peerHead)))
	assert.False(t, f.originsTurn(piece, 1, due.Add(peerHead)), "a peer holds it")
}

// TestOriginIsSparedForWhatPeersMayHold: peers are given time to tell what they hold, but of
// a version that was named just now.
func TestOriginIsSparedForWhatPeersMayHold(t *testing.T) {
	f := testFetcher([]byte("a"))
	f.began = time.Now()
	assert.False(t, f.originsTurn(0, 0, f.began), "a version that never was named")
	f.g.named = ledger.Version{Number: 2, AppliedAt: f.began.Add(-time.Minute)}
	assert.False(t, f.originsTurn(0, 0, f.began), "named long ago")
	assert.True(t, f.originsTurn(0, 0, f.began.Add(peerHead)))
	f.g.named.AppliedAt = f.began
	assert.True(t, f.originsTurn(0, 0, f.began), "named now")
}

func TestFirstInTurn(t *testing.T) {
	assert.Nil(t, newTurns("127.0.0.1:1", nil).first(0))
	f := testFetcher([]byte("a"))
	f.servers = append(f.servers, &fleet.BackendServer{Addr: "127.0.0.2:1"})
	for piece := range 10 {
		own := f.turn(piece) == 0
		assert.Equal(t, own, f.turns().first(piece) == f.servers[0])
		assert.Equal(t, f.s.turn(f.servers, piece), f.turn(piece), "asked again")
	}
}

// BenchmarkFetchStart is one look for pieces to fetch of an agent among 184, which hears
// from 20 others that each hold half of 96 pieces.
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
	f.near, f.refreshed = f.servers[:36], time.Now().Add(time.Hour)
	f.s.sets, f.s.start = newSets(), time.Now()
	f.downs, f.directs, f.inFlight[95] = maxDownloadsIdle, maxDirect, true // the link is taken
	f.began = time.Now().Add(time.Hour)                                    // and the origin not asked yet
	for peer := range 20 {
		var held []uint32
		for piece := range 48 {
			held = append(held, uint32((peer*5+piece)%96))
		}
		f.note(heldBy{peer: f.servers[peer].Addr, pieces: held})
	}
	for b.Loop() {
		f.start(b.Context(), f.set.missing())
	}
}
