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

// fetcher is one attempt to complete a set; its goroutine owns it.
type fetcher struct {
	s       *Stager
	g       goal
	set     *pieceSet
	servers []*fleet.BackendServer
	// zoneServers are the servers in this agent's zone, zonePeers the addresses of their agents.
	zoneServers []*fleet.BackendServer
	zonePeers   map[string]bool
	// ranking and zoneRanking rank the agents of servers and zoneServers; nil until first used.
	ranking, zoneRanking *pieceRanks
	began                time.Time
	// refreshed is when servers was last updated; refused is when each agent last refused
	// a connection.
	refreshed time.Time
	refused   map[string]time.Time
	// holders are the pieces that each peer has announced.
	holders map[string]map[int]bool
	// peerCount is the number of peers that have announced each piece.
	peerCount map[int]int
	// announcedAt is when a peer first announced each piece.
	announcedAt map[int]time.Time
	// idleSince is when the last fetch in flight ended; zero while one is in flight.
	idleSince     time.Time
	inFlight      map[int]bool
	busy          map[string]bool
	backoffUntil  map[string]time.Time
	downloads     int
	originFetches int
	// directRequests is the number of direct requests in flight to the agents that are first to
	// fetch a piece from the origin; askedDirectly are the pieces requested so.
	directRequests int
	// schedule determines when pieces are requested from the origin in a large swarm; nil
	// until first used, and after the origin failed.
	schedule      *originSchedule
	askedDirectly map[int]bool
	// link estimates whether the VM's link is narrow.
	link    linkState
	results chan fetchResult
	updates chan peerUpdate
}

// peerUpdate is an update of the pieces that a peer has.
type peerUpdate struct {
	peer   string
	pieces []uint32
}

// fetch fetches the missing pieces of a set.
func (s *Stager) fetch(ctx context.Context, g goal, set *pieceSet) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &fetcher{
		s: s, g: g, set: set, began: clock.Now(),
		holders: map[string]map[int]bool{}, peerCount: map[int]int{}, announcedAt: map[int]time.Time{}, askedDirectly: map[int]bool{}, inFlight: map[int]bool{}, busy: map[string]bool{},
		backoffUntil: map[string]time.Time{}, refused: map[string]time.Time{}, results: make(chan fetchResult), updates: make(chan peerUpdate),
	}
	f.refresh(f.began)
	for _, peer := range f.watchedPeers() {
		go f.watchPeer(ctx, peer)
	}
	ticker := time.NewTicker(fetchTick)
	defer ticker.Stop()
	due := true
	for {
		missing := set.missing()
		if len(missing) == 0 {
			s.log.Info().Uint64("version", g.version).Dur("took_ms", clock.Since(f.began)).
				Func(g.logAge).Msg("weights are complete")
			return nil
		}
		if s.engineVersion.Load() >= g.version {
			return errAlreadyLoaded
		}
		if s.superseded(g) {
			return errSuperseded
		}
		f.refresh(clock.Now())
		f.recheckDigests(ctx, clock.Now())
		if due {
			f.startFetches(ctx, missing)
		}
		select {
		case r := <-f.results:
			f.handleResult(r)
			due = true
		case t := <-f.updates:
			f.handleUpdate(t)
			due = len(f.inFlight) == 0 // other updates wait for the next tick
		case <-ticker.C:
			due = true
		case <-ctx.Done():
			return fmt.Errorf("%d pieces are missing: %w", len(missing), ctx.Err())
		}
	}
}

func (f *fetcher) handleUpdate(t peerUpdate) {
	if f.holders[t.peer] == nil {
		f.holders[t.peer] = map[int]bool{}
	}
	for _, piece := range t.pieces {
		if !f.holders[t.peer][int(piece)] {
			f.holders[t.peer][int(piece)] = true
			f.peerCount[int(piece)]++
		}
		if f.announcedAt[int(piece)].IsZero() {
			f.announcedAt[int(piece)] = clock.Now()
			if f.set.addPeerPiece(int(piece)) {
				f.s.recordOriginServes(clock.Now())
			}
		}
	}
}

// startFetches starts fetches of missing pieces, rarest first.
func (f *fetcher) startFetches(ctx context.Context, missing []int) {
	now := clock.Now()
	count := f.peerCount
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	slices.SortStableFunc(missing, func(a, b int) int { return count[a] - count[b] })
	for _, piece := range missing {
		if f.inFlight[piece] || !f.set.mayRequest(piece, now) {
			continue
		}
		if f.large() && f.directRequests < maxDirect && !f.askedDirectly[piece] && count[piece] == 0 && f.zoneRank(piece) == 0 {
			f.fromFirstAgent(ctx, piece)
		}
		if f.inFlight[piece] {
			continue
		}
		if count[piece] > 0 && f.downloads < f.downloadLimit() {
			f.fromPeer(ctx, piece, now)
		}
		if f.originDue(piece, count[piece], now) {
			f.fromOrigin(ctx, piece)
		}
	}
	f.updateIdle(now)
}

func (f *fetcher) downloadLimit() int {
	if f.link.narrow() {
		return 1 - f.originFetches
	}
	if f.s.engineVersion.Load() == 0 {
		return maxDownloadsIdle
	}
	return maxDownloads
}

func (f *fetcher) updateIdle(now time.Time) {
	switch {
	case len(f.inFlight) > 0:
		f.idleSince = time.Time{}
	case f.idleSince.IsZero():
		f.idleSince = now
	}
}

// watchPeer watches which pieces a peer has until it has all.
func (f *fetcher) watchPeer(ctx context.Context, peer string) {
	known := map[uint32]bool{}
	for ctx.Err() == nil && len(known) < f.g.engine.Pieces {
		if f.watchPeerOnce(ctx, peer, known) {
			continue
		}
		pause.For(ctx, peerBackoff)
	}
}

// watchPeerOnce watches until the stream ends or brings no update for updateTimeout, and
// reports whether it timed out. The caller then opens a new stream: the peer may have no
// new pieces, or the connection may be dead.
func (f *fetcher) watchPeerOnce(ctx context.Context, peer string, known map[uint32]bool) (silent bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var ended atomic.Bool
	watchdog := time.AfterFunc(updateTimeout, func() {
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
		watchdog.Reset(updateTimeout)
		for _, piece := range u.Added {
			known[piece] = true
		}
		select {
		case f.updates <- peerUpdate{peer: peer, pieces: u.Added}:
		case <-ctx.Done():
		}
	}
	return ended.Load()
}
