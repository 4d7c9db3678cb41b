package staging

import (
	"context"
	"errors"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
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

// errHeld ends a fetch, begun while the engine was starting, of what it holds.
var errHeld = errors.New("the engine holds it already")

// errOvertaken ends a fetch when a newer version has been named.
var errOvertaken = errors.New("a newer version was named")

// errPeerBusy says that a peer sends to others, or has not got the piece.
var errPeerBusy = errors.New("peer is busy")

// errDigest says that bytes are not those of the piece.
var errDigest = errors.New("digest does not match")

// run makes one fetch and hands its result to the fetcher.
func (f *fetcher) run(ctx context.Context, r fetched, get func(context.Context) ([]byte, time.Duration, error)) {
	callCtx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	began := clock.Now()
	var waited time.Duration
	r.data, waited, r.err = get(callCtx)
	r.took = clock.Since(began) - waited
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
		f.noteOrigin(r.err, clock.Now())
	case r.direct:
		source = "peer"
		f.directs--
		// It may still be to come; beyond that time others are asked.
		f.asked[r.piece] = r.err == nil || clock.Since(f.began) > f.g.originTime()
	default:
		source = "peer"
		r.beside = max(r.beside, f.downs)
		f.noteLink(r)
		f.downs--
		delete(f.busy, r.peer)
	}
	if r.err == nil && !f.set.put(r.piece, r.data) {
		r.err = errDigest
		f.dropHolder(r.peer, r.piece)
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

// dropHolder notes that a peer does not hold a piece after all.
func (f *fetcher) dropHolder(peer string, piece int) {
	if f.holders[peer][piece] {
		delete(f.holders[peer], piece)
		f.count[piece]--
	}
}

// originDownFor is for how long a failure of the origin is taken to last: agents that want
// pieces of it try again every originPause.
const originDownFor = 2 * time.Second

// noteOrigin notes how a fetch from the origin ended. One that failed may have failed for
// all: what is missing is asked for in order once more, from now on.
func (f *fetcher) noteOrigin(err error, now time.Time) {
	f.s.noteOrigin(err, now)
	if err != nil && !errors.Is(err, context.Canceled) {
		f.schedule = nil
	}
}

// noteOrigin notes how a fetch from the origin ended.
func (s *Stager) noteOrigin(err error, now time.Time) {
	switch {
	case err == nil:
		s.originSentAt.Store(int64(now.Sub(s.start)))
	case !errors.Is(err, context.Canceled):
		s.originFailedAt.Store(int64(now.Sub(s.start)))
	}
}

// noteOriginHeard notes that a peer has told of something that it must have from the origin:
// that one answers others.
func (s *Stager) noteOriginHeard(now time.Time) { s.originSentAt.Store(int64(now.Sub(s.start))) }

// originFails tells whether the origin failed lately and has not answered anybody since, as
// far as is known here. Judged by an agent's own fetches alone, agents would differ, and the swarm
// go for two versions at once after the origin's return.
func (s *Stager) originFails(now time.Time) bool {
	failed := s.originFailedAt.Load()
	return failed > s.originSentAt.Load() && now.Sub(s.start)-time.Duration(failed) < originDownFor
}

// pauseAfter spares the source of a failed fetch for a while. Bytes of the origin
// that were corrupted on the way are asked for again at once: it is the only source.
func (f *fetcher) pauseAfter(r fetched) {
	now := clock.Now()
	switch {
	case r.peer != atOrigin && errors.Is(r.err, syscall.ECONNREFUSED):
		f.noteRefused(r.peer, now)
	case r.peer != atOrigin:
		f.badUntil[r.peer] = now.Add(badPause)
	case !errors.Is(r.err, errDigest):
		f.badUntil[atOrigin] = now.Add(originPause)
	}
}
