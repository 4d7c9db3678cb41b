package staging

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const (
	// maxDownloads is how many pieces are fetched from peers at once beside an engine
	// that serves: its requests wait behind them on the link, on which one piece of
	// 24 KB takes 27 ms at 7.3 Mbit/s.
	maxDownloads = 3
	// maxDownloadsIdle is the same beside an engine that holds nothing. Peers send one
	// piece at a time, so that requests queue there: with 3 a link was filled to 60%
	// only, and 28 VMs that were added had their weights 4.2 s after their agents'
	// start on average (a played day).
	maxDownloadsIdle = 8
	// maxFromOrigin is how many pieces one agent fetches from the origin at once.
	maxFromOrigin = 1
	// maxUploads is how many pieces are sent to peers at once: events of live
	// requests wait behind one piece on the link, not behind several.
	maxUploads = 1
	// uploadShare is the part of the VM's link that uploads take.
	uploadShare = 0.95
	// pieceTimeout bounds the fetch of one piece; all agents share the origin's
	// link, on which a piece each of twelve takes 330 ms.
	pieceTimeout = 2500 * time.Millisecond
	// originPatience is for how long an agent waits for a piece that another one
	// is to fetch from the origin, for each agent before it in the order, beside
	// the time that the origin's link takes for all pieces.
	originPatience = 700 * time.Millisecond
	// farPatience is for how long an agent waits for a piece that another one of
	// its zone is to fetch from another zone, for each one before it in the order.
	// It counts from when the piece was first told to be held.
	farPatience = 400 * time.Millisecond
	// idlePatience is how long an agent with nothing to do waits before it fetches
	// pieces of others from the origin, for each agent before it in the order: the
	// one whose turn it is may be dead, or behind a narrow link.
	// In a large swarm it does not hear of all that is held, and waits longer.
	idlePatience      = 250 * time.Millisecond
	idlePatienceLarge = 700 * time.Millisecond
	// listenAll is up to how many agents each listens to what all others hold. With
	// 44 that would be 180,000 messages a version; beyond it, an agent listens to
	// listenNear of its own zone and listenFar of others, and asks the agents that
	// fetch from the origin directly.
	listenAll  = 24
	listenNear = 12
	listenFar  = 8
	// maxDirect is how many pieces are asked for at once of the agents that fetch
	// them from the origin.
	maxDirect = 8
	// peerHead is the time that peers get to tell what they hold before the origin
	// is asked.
	peerHead = 150 * time.Millisecond
	// completeTimeout bounds one try to complete a version; what was fetched stays.
	completeTimeout = 8 * time.Second
	// badPause is for how long a peer that failed or was busy is not asked.
	badPause = 250 * time.Millisecond
	// originPause is for how long the origin is not asked after a try failed. One
	// that refuses connections was dialled 28,580 times in 6 s by twelve agents
	// without it (a played day, counted in their logs).
	originPause = 300 * time.Millisecond
	// fetchTick is how often fetches are started without an event.
	fetchTick = 25 * time.Millisecond
	// heldSilence is after how long without news a peer is asked anew what it holds: as
	// long as for one piece.
	heldSilence = pieceTimeout
	// digestTimeout bounds the question for digests to one peer, digestPeers is how
	// many are asked in a round, digestPatience how long an agent asks for each one
	// before it in the order of those that ask the origin.
	digestTimeout  = 300 * time.Millisecond
	digestPeers    = 3
	digestPatience = 400 * time.Millisecond
	// digestsTurn stands for the digests among the pieces in that order.
	digestsTurn = -1
	// refreshInterval is how often a fetch looks anew at who there is: pieces that were
	// the turn of an agent that has left are another one's.
	refreshInterval = 250 * time.Millisecond
	// refusedPause is for how long an agent that refused a connection, as one whose VM
	// is gone does, takes no turns and is not asked; one that was killed is back within a second.
	refusedPause = 2 * time.Second
	// loadTurn stands for the order of loads.
	loadTurn = -2
)

// atOrigin stands for the origin where else a peer's address stands.
const atOrigin = ""

// fetched is how one fetch ended.
type fetched struct {
	piece int
	peer  string // or atOrigin
	// direct: asked of the agent whose turn at the origin it is.
	direct bool
	data   []byte
	err    error
	// took is the time of the fetch without its wait at the peer; beside is how many
	// shared the link with it at its start or its end, itself among them.
	took   time.Duration
	beside int
}

// fetcher is one try to complete a set; its goroutine owns it.
type fetcher struct {
	s       *Stager
	g       goal
	set     *pieceSet
	servers []*fleet.BackendServer
	// near are those of the own zone, nearPeers the agents beside them.
	near      []*fleet.BackendServer
	nearPeers map[string]bool
	began     time.Time
	// refreshed is when servers was last made; refused is when an agent refused a
	// connection.
	refreshed time.Time
	refused   map[string]time.Time
	// holders are the pieces that peers have told to hold.
	holders map[string]map[int]bool
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
	asked   map[int]bool
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
		s: s, g: g, set: set, began: time.Now(),
		holders: map[string]map[int]bool{}, heldSince: map[int]time.Time{}, asked: map[int]bool{}, inFlight: map[int]bool{}, busy: map[string]bool{},
		badUntil: map[string]time.Time{}, refused: map[string]time.Time{}, results: make(chan fetched), told: make(chan heldBy),
	}
	f.refresh(f.began)
	for _, peer := range f.listened() {
		go f.listen(ctx, peer)
	}
	ticker := time.NewTicker(fetchTick)
	defer ticker.Stop()
	for {
		missing := set.missing()
		if len(missing) == 0 {
			s.log.Info().Uint64("version", g.version).Dur("took_ms", time.Since(f.began)).
				Dur("since_named_ms", g.age()).Msg("weights are complete")
			return nil
		}
		if s.holding.Load() >= g.version {
			return errHeld
		}
		if s.overtaken(g) {
			return errOvertaken
		}
		f.refresh(time.Now())
		f.start(ctx, missing)
		select {
		case r := <-f.results:
			f.take(r)
		case t := <-f.told:
			f.note(t)
		case <-ticker.C:
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
		f.holders[t.peer][int(piece)] = true
		if f.heldSince[int(piece)].IsZero() {
			f.heldSince[int(piece)] = time.Now()
		}
	}
}

// start starts fetches of missing pieces, the rarest first.
func (f *fetcher) start(ctx context.Context, missing []int) {
	now := time.Now()
	count := map[int]int{}
	for _, held := range f.holders {
		for piece := range held {
			count[piece]++
		}
	}
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	slices.SortStableFunc(missing, func(a, b int) int { return count[a] - count[b] })
	for _, piece := range missing {
		if f.inFlight[piece] {
			continue
		}
		if f.large() && f.directs < maxDirect && !f.asked[piece] && count[piece] == 0 && f.s.turn(f.near, piece) == 0 {
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

// errHeld ends a fetch, begun while the engine was starting, of what it holds.
var errHeld = errors.New("the engine holds it already")

// errOvertaken ends a fetch when a newer version has been named.
var errOvertaken = errors.New("a newer version was named")

var errPeerBusy = errors.New("peer is busy")

// errDigest says that bytes are not those of the piece.
var errDigest = errors.New("digest does not match")

func (f *fetcher) run(ctx context.Context, r fetched, get func(context.Context) ([]byte, time.Duration, error)) {
	callCtx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	began := time.Now()
	var waited time.Duration
	r.data, waited, r.err = get(callCtx)
	r.took = time.Since(began) - waited
	select {
	case f.results <- r:
	case <-ctx.Done():
	}
}

// take takes the result of one fetch in.
func (f *fetcher) take(r fetched) {
	delete(f.inFlight, r.piece)
	source := "origin"
	switch {
	case r.peer == atOrigin:
		f.origins--
	case r.direct:
		source = "peer"
		f.directs--
		// It may still be to come; beyond that time others are asked.
		f.asked[r.piece] = r.err == nil || time.Since(f.began) > f.g.originTime()
	default:
		source = "peer"
		r.beside = max(r.beside, f.downs)
		f.noteLink(r)
		f.downs--
		delete(f.busy, r.peer)
	}
	if r.err == nil && !f.set.put(r.piece, r.data) {
		r.err = errDigest
		delete(f.holders[r.peer], r.piece)
	}
	if r.err != nil {
		f.pauseAfter(r)
		f.s.cfg.Metrics.failures.WithLabelValues(source).Inc()
		if !errors.Is(r.err, errPeerBusy) {
			f.s.log.Warn().Err(r.err).Int("piece", r.piece).Str("source", source).Str("peer", r.peer).Msg("piece not fetched")
		}
		return
	}
	f.s.cfg.Metrics.pieces.WithLabelValues(source).Inc()
	f.s.cfg.Metrics.bytes.WithLabelValues(source).Add(float64(len(r.data)))
}

// pauseAfter spares the source of a failed fetch for a while. Bytes of the origin
// that were corrupted on the way are asked for again at once: it is the only source.
func (f *fetcher) pauseAfter(r fetched) {
	now := time.Now()
	switch {
	case r.peer != atOrigin && errors.Is(r.err, syscall.ECONNREFUSED):
		f.noteRefused(r.peer, now)
	case r.peer != atOrigin:
		f.badUntil[r.peer] = now.Add(badPause)
	case !errors.Is(r.err, errDigest):
		f.badUntil[atOrigin] = now.Add(originPause)
	}
}

// listen follows what a peer holds until it holds all.
func (f *fetcher) listen(ctx context.Context, peer string) {
	known := map[uint32]bool{}
	for ctx.Err() == nil && len(known) < f.g.engine.Pieces {
		if f.listenOnce(ctx, peer, known) {
			continue
		}
		select {
		case <-time.After(badPause):
		case <-ctx.Done():
		}
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
