package staging

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/pause"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// fetcher is one try to complete a set; its goroutine owns it.
type fetcher struct {
	s       *Stager
	g       goal
	set     *pieceSet
	servers []*fleet.BackendServer
	// near are those of the own zone, nearPeers the agents beside them.
	near      []*fleet.BackendServer
	nearPeers map[string]bool
	// allTurns and nearTurns are the orders of servers and near; nil until they are asked.
	allTurns, nearTurns *turns
	began               time.Time
	// refreshed is when servers was last made; refused is when an agent refused a
	// connection.
	refreshed time.Time
	refused   map[string]time.Time
	// holders are the pieces that peers have told to hold.
	holders map[string]map[int]bool
	// count is how many peers have told to hold each piece.
	count map[int]int
	// heldSince is when a piece was first told to be held by a peer.
	heldSince map[int]time.Time
	// idleSince is since when nothing is in flight; zero while something is.
	idleSince time.Time
	inFlight  map[int]bool
	busy      map[string]bool
	badUntil  map[string]time.Time
	downs     int
	origins   int
	// directs are the pieces asked of the agents whose turn at the origin it is;
	// asked holds all that were.
	directs int
	// schedule says when the origin is asked in a large swarm; nil until it is needed, and
	// after the origin failed.
	schedule *originSchedule
	asked    map[int]bool
	// link judges the VM's link.
	link    linkState
	results chan fetched
	told    chan heldBy
}

// heldBy is what a peer has told.
type heldBy struct {
	peer   string
	pieces []uint32
}

// fetch completes a set.
func (s *Stager) fetch(ctx context.Context, g goal, set *pieceSet) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &fetcher{
		s: s, g: g, set: set, began: clock.Now(),
		holders: map[string]map[int]bool{}, count: map[int]int{}, heldSince: map[int]time.Time{}, asked: map[int]bool{}, inFlight: map[int]bool{}, busy: map[string]bool{},
		badUntil: map[string]time.Time{}, refused: map[string]time.Time{}, results: make(chan fetched), told: make(chan heldBy),
	}
	f.refresh(f.began)
	for _, peer := range f.listened() {
		go f.listen(ctx, peer)
	}
	ticker := time.NewTicker(fetchTick)
	defer ticker.Stop()
	due := true
	for {
		missing := set.missing()
		if len(missing) == 0 {
			s.log.Info().Uint64("version", g.version).Dur("took_ms", clock.Since(f.began)).
				Dur("since_named_ms", g.age()).Msg("weights are complete")
			return nil
		}
		if s.holding.Load() >= g.version {
			return errHeld
		}
		if s.overtaken(g) {
			return errOvertaken
		}
		f.refresh(clock.Now())
		if due {
			f.start(ctx, missing)
		}
		select {
		case r := <-f.results:
			f.take(r)
			due = true
		case t := <-f.told:
			f.note(t)
			due = len(f.inFlight) == 0 // what else is told waits for the next tick
		case <-ticker.C:
			due = true
		case <-ctx.Done():
			return fmt.Errorf("%d pieces are missing: %w", len(missing), ctx.Err())
		}
	}
}

func (f *fetcher) note(t heldBy) {
	if f.holders[t.peer] == nil {
		f.holders[t.peer] = map[int]bool{}
	}
	for _, piece := range t.pieces {
		if !f.holders[t.peer][int(piece)] {
			f.holders[t.peer][int(piece)] = true
			f.count[int(piece)]++
		}
		if f.heldSince[int(piece)].IsZero() {
			f.heldSince[int(piece)] = clock.Now()
			if f.set.noteElsewhere(int(piece)) {
				f.s.noteOriginHeard(clock.Now())
			}
		}
	}
}

// start starts fetches of missing pieces, the rarest first.
func (f *fetcher) start(ctx context.Context, missing []int) {
	now := clock.Now()
	count := f.count
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	slices.SortStableFunc(missing, func(a, b int) int { return count[a] - count[b] })
	for _, piece := range missing {
		if f.inFlight[piece] {
			continue
		}
		if f.large() && f.directs < maxDirect && !f.asked[piece] && count[piece] == 0 && f.turnNear(piece) == 0 {
			f.fromFetcher(ctx, piece)
		}
		if f.inFlight[piece] {
			continue
		}
		if count[piece] > 0 && f.downs < f.mostDownloads() {
			f.fromPeer(ctx, piece, now)
		}
		if f.originsTurn(piece, count[piece], now) {
			f.fromOrigin(ctx, piece)
		}
	}
	f.noteIdle(now)
}

func (f *fetcher) mostDownloads() int {
	if f.link.narrow() {
		return 1 - f.origins
	}
	if f.s.holding.Load() == 0 {
		return maxDownloadsIdle
	}
	return maxDownloads
}

func (f *fetcher) noteIdle(now time.Time) {
	switch {
	case len(f.inFlight) > 0:
		f.idleSince = time.Time{}
	case f.idleSince.IsZero():
		f.idleSince = now
	}
}

// listen follows what a peer holds until it holds all.
func (f *fetcher) listen(ctx context.Context, peer string) {
	known := map[uint32]bool{}
	for ctx.Err() == nil && len(known) < f.g.engine.Pieces {
		if f.listenOnce(ctx, peer, known) {
			continue
		}
		pause.For(ctx, badPause)
	}
}

// listenOnce follows until the stream ends or nothing was told for heldSilence, and
// tells whether it was the latter: the peer may have nothing to tell, or the connection
// may have gone silent, and another one is tried.
func (f *fetcher) listenOnce(ctx context.Context, peer string, known map[uint32]bool) (silent bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var ended atomic.Bool
	watchdog := time.AfterFunc(heldSilence, func() {
		ended.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	stream, err := rpc.NewDRPCPiecesClient(f.s.pool.Get(ctx, peer)).Held(ctx, &rpc.HeldRequest{Model: f.g.model, Version: f.g.version})
	for err == nil && len(known) < f.g.engine.Pieces {
		var u *rpc.HeldUpdate
		u, err = stream.Recv()
		if err != nil {
			break
		}
		watchdog.Reset(heldSilence)
		for _, piece := range u.Added {
			known[piece] = true
		}
		select {
		case f.told <- heldBy{peer: peer, pieces: u.Added}:
		case <-ctx.Done():
		}
	}
	return ended.Load()
}
