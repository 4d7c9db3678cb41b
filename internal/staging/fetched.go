package staging

import (
	"context"
	"errors"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// originPeer is used in place of a peer's address for the origin.
const originPeer = ""

// fetchResult is the result of one fetch.
type fetchResult struct {
	piece int
	peer  string // or originPeer
	// direct: requested from the agent that is first to fetch the piece from the origin.
	direct bool
	data   []byte
	// confirmed: the peer has confirmed the digest of these bytes.
	confirmed bool
	err       error
	// took is the duration of the fetch without the wait at the peer; concurrent is the number
	// of fetches on the link at its start or its end, whichever is higher, including itself.
	took       time.Duration
	concurrent int
}

// errAlreadyLoaded ends a fetch that began before the engine reported that it has this version or
// a newer one.
var errAlreadyLoaded = errors.New("the engine already has this version")

// errSuperseded ends a fetch when another version is to be fetched first.
var errSuperseded = errors.New("superseded by another version")

// errPeerBusy reports that a peer has no free upload slot or does not have the piece.
var errPeerBusy = errors.New("peer is busy")

// errDigest reports that the bytes received do not match the digest of the piece.
var errDigest = errors.New("digest does not match")

// received is a piece as a source sent it.
type received struct {
	data []byte
	// confirmed: the source is a peer that has confirmed the digest.
	confirmed bool
	// waited is how long the request waited at the source.
	waited time.Duration
}

// run executes one fetch and passes its result to the fetcher.
func (f *fetcher) run(ctx context.Context, r fetchResult, get func(context.Context) (received, error)) {
	callCtx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	began := clock.Now()
	got, err := get(callCtx)
	r.data, r.confirmed, r.err = got.data, got.confirmed, err
	r.took = clock.Since(began) - got.waited
	select {
	case f.results <- r:
	case <-ctx.Done():
	}
}

// handleResult processes the result of one fetch.
func (f *fetcher) handleResult(r fetchResult) {
	delete(f.inFlight, r.piece)
	source := "origin"
	switch {
	case r.peer == originPeer:
		f.originFetches--
		f.recordOrigin(r.err, clock.Now())
	case r.direct:
		source = "peer"
		f.directRequests--
		// Before originTime has passed, a peer without the piece may still get it and is
		// asked again; after it, other sources are used.
		f.askedDirectly[r.piece] = r.err == nil || clock.Since(f.began) > f.g.originTime()
	default:
		source = "peer"
		r.concurrent = max(r.concurrent, f.downloads)
		f.observeLink(r)
		f.downloads--
		delete(f.busy, r.peer)
	}
	proven := r.peer == originPeer || r.confirmed
	if r.err == nil && !f.set.put(r.piece, r.data, proven) {
		r.err = errDigest
		f.dropHolder(r.peer, r.piece)
		if proven || !f.set.named(r.piece, r.data) {
			f.set.noteMismatch(r.piece, r.peer, r.data, clock.Now())
		}
	}
	if r.err != nil {
		f.startBackoff(r)
		f.s.cfg.Metrics.failures.WithLabelValues(source).Inc()
		if !errors.Is(r.err, errPeerBusy) {
			f.s.log.Warn().Err(r.err).Int("piece", r.piece).Str("source", source).Str("peer", r.peer).Msg("piece not fetched")
		}
		return
	}
	f.s.cfg.Metrics.pieces.WithLabelValues(source).Inc()
	f.s.cfg.Metrics.bytes.WithLabelValues(source).Add(float64(len(r.data)))
}

// dropHolder removes a piece from those that a peer has announced.
func (f *fetcher) dropHolder(peer string, piece int) {
	if f.holders[peer][piece] {
		delete(f.holders[peer], piece)
		f.peerCount[piece]--
	}
}

// originDownTimeout is how long the origin is considered down after a failure. Agents that need
// pieces from it retry every originBackoff.
const originDownTimeout = 2 * time.Second

// recordOrigin records the result of a fetch from the origin. After a failure, which may affect
// all agents, the missing pieces are scheduled anew.
func (f *fetcher) recordOrigin(err error, now time.Time) {
	f.s.recordOrigin(err, now)
	if err != nil && !errors.Is(err, context.Canceled) {
		f.schedule = nil
	}
}

// recordOrigin records the result of a fetch from the origin.
func (s *Stager) recordOrigin(err error, now time.Time) {
	switch {
	case err == nil:
		s.originServedAt.Store(int64(now.Sub(s.start)))
	case !errors.Is(err, context.Canceled):
		s.originFailedAt.Store(int64(now.Sub(s.start)))
	}
}

// recordOriginServes records that a peer has received data from the origin, so that the origin
// serves other agents.
func (s *Stager) recordOriginServes(now time.Time) { s.originServedAt.Store(int64(now.Sub(s.start))) }

// originDown reports whether the origin failed recently and is not known to have served any
// agent since. With only their own fetches as evidence, agents would differ in this, and the
// swarm would fetch two versions at once after the origin has recovered.
func (s *Stager) originDown(now time.Time) bool {
	failed := s.originFailedAt.Load()
	return failed > s.originServedAt.Load() && now.Sub(s.start)-time.Duration(failed) < originDownTimeout
}

// startBackoff starts a backoff for the source of a failed fetch. A piece from the origin that
// was corrupted in transit once is requested again immediately, because there is no other source;
// after that, noteMismatch delays it.
func (f *fetcher) startBackoff(r fetchResult) {
	now := clock.Now()
	switch {
	case r.peer != originPeer && errors.Is(r.err, syscall.ECONNREFUSED):
		f.excludePeer(r.peer, now)
	case r.peer != originPeer:
		f.backoffUntil[r.peer] = now.Add(peerBackoff)
	case !errors.Is(r.err, errDigest):
		f.backoffUntil[originPeer] = now.Add(originBackoff)
	}
}
