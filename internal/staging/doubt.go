package staging

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// Digests come from one answer of the origin, which may be spoilt on its way like any other. Where the bytes of a piece do not match its
// digest again and again, the digest is in doubt: digests are requested anew, and the one that the bytes match replaces it. Bytes
// and digests come in different answers, so that a pair that matches is sound.

const (
	// maxSeenDigests bounds the digests kept of different bytes received for one piece.
	maxSeenDigests = 8
	// minDoubtBackoff and maxDoubtBackoff bound the pause before a piece that did not match, or its digest, is requested again. It
	// doubles each time, so that an object that is spoilt for good costs the origin little.
	minDoubtBackoff = 200 * time.Millisecond
	maxDoubtBackoff = 8 * time.Second
)

// mismatch is what is known of a piece whose bytes did not match its digest.
type mismatch struct {
	// seen are the digests of the bytes received; true if the origin sent them.
	seen map[Digest]bool
	// peers are those that have sent such bytes, fromOrigin counts the origin's answers.
	peers      map[string]bool
	fromOrigin int
	// retryAt is when the piece may be requested again.
	retryAt time.Time
}

// answers counts the independent sources of bytes that did not match; a peer counts once.
func (m *mismatch) answers() int { return len(m.peers) + m.fromOrigin }

// doubtBackoff returns the pause after this many failures, with jitter.
func doubtBackoff(failures int) time.Duration {
	d := minDoubtBackoff
	for ; failures > 1 && d < maxDoubtBackoff; failures-- {
		d *= 2
	}
	d = min(d, maxDoubtBackoff)
	return d/2 + rand.N(d)
}

// noteMismatch records that bytes of a source did not match. A first mismatch delays nothing: the bytes were most likely
// spoilt on their way.
func (p *pieceSet) noteMismatch(piece int, peer string, data []byte, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.mismatches[piece]
	if m == nil {
		m = &mismatch{seen: map[Digest]bool{}, peers: map[string]bool{}}
		p.mismatches[piece] = m
	}
	if peer == originPeer {
		m.fromOrigin++
	} else {
		m.peers[peer] = true
	}
	if digest := Digest(sha256.Sum256(data)); len(m.seen) < maxSeenDigests {
		m.seen[digest] = m.seen[digest] || peer == originPeer
	}
	if n := m.answers(); n > 1 {
		m.retryAt = now.Add(doubtBackoff(n - 1))
	}
}

// mayRequest reports whether a piece may be requested now.
func (p *pieceSet) mayRequest(piece int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.mismatches[piece]
	return m == nil || !now.Before(m.retryAt)
}

// inDoubt reports whether a digest is in doubt: two answers did not match it.
func (p *pieceSet) inDoubt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.mismatches {
		if m.answers() > 1 {
			return true
		}
	}
	return false
}

// recheck are the sources that are to be asked for digests again.
type recheck struct {
	// peers have sent bytes that did not match. They verified them, so that their digests may be others.
	peers []string
	// origin: it has sent such bytes twice.
	origin bool
}

// takeRecheck returns whom to ask for digests again now; false if no digest may be wrong, or all were asked a moment ago.
func (p *pieceSet) takeRecheck(now time.Time) (recheck, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var r recheck
	for _, m := range p.mismatches {
		for peer := range m.peers {
			r.peers = append(r.peers, peer)
		}
		r.origin = r.origin || m.answers() > 1
	}
	if len(r.peers) == 0 && !r.origin || now.Before(p.recheckAt) {
		return r, false
	}
	p.rechecks++
	p.recheckAt = now.Add(doubtBackoff(p.rechecks))
	return r, true
}

// mismatched reports whether bytes with this digest did not match that of a piece. The caller holds the lock.
func (p *pieceSet) mismatched(piece int, digest Digest) bool {
	m := p.mismatches[piece]
	if m == nil {
		return false
	}
	_, seen := m.seen[digest]
	return seen
}

// correct replaces the digests that bytes of the origin did not match by those of another answer of it that they match, and returns the
// pieces.
func (p *pieceSet) correct(other []Digest) (corrected []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(other) != len(p.digests) {
		return nil
	}
	for piece, m := range p.mismatches {
		if m.seen[other[piece]] && p.confirm(piece, other[piece]) {
			corrected = append(corrected, piece)
		}
	}
	return corrected
}

// recheckDigests requests digests again if one may be wrong, in the background.
func (f *fetcher) recheckDigests(ctx context.Context, now time.Time) {
	r, due := f.set.takeRecheck(now)
	if !due {
		return
	}
	go f.s.recheckDigests(ctx, f.g, f.set, r)
}

func (s *Stager) recheckDigests(ctx context.Context, g goal, set *pieceSet, r recheck) {
	for _, peer := range r.peers {
		answer, err := s.digestsFrom(ctx, peer, g, set.allDigests())
		if err == nil && s.adopt(g, set, answer, peer) {
			return
		}
	}
	if !r.origin {
		return
	}
	digests, err := s.digestsFromOrigin(ctx, g)
	if err != nil {
		s.log.Warn().Err(err).Str("model", g.model).Uint64("version", g.version).Msg("digests in doubt were not received again")
		return
	}
	corrected := set.correct(digests)
	_, contested := set.compare(digests, false)
	s.logContested(g, contested, "origin")
	if len(corrected) > 0 {
		s.logCorrected(g, corrected, "origin")
	} else {
		s.log.Warn().Str("model", g.model).Uint64("version", g.version).Msg("pieces do not match digests that were received again")
	}
}

// logCorrected records that digests were wrong.
func (s *Stager) logCorrected(g goal, corrected []int, source string) {
	s.cfg.Metrics.corrected.Add(float64(len(corrected)))
	s.log.Warn().Str("model", g.model).Uint64("version", g.version).Ints("pieces", corrected).Str("source", source).Msg("wrong digests corrected")
}

// digestsFromOrigin requests the digests of a version from the origin.
func (s *Stager) digestsFromOrigin(ctx context.Context, g goal) ([]Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	digests, err := s.cfg.Origin.Digests(ctx, g.origin.Addr, g.model, g.version)
	s.recordOrigin(err, clock.Now())
	if err != nil {
		return nil, fmt.Errorf("digests from the origin: %w", err)
	}
	if len(digests) != g.engine.Pieces {
		return nil, fmt.Errorf("origin returned %d digests, the configuration has %d pieces", len(digests), g.engine.Pieces)
	}
	return digests, nil
}
