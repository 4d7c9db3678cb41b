package staging

import (
	"crypto/sha256"
	"time"
)

// A digest that bytes match is not thereby the version's: an answer of the origin may name digests of an older version, whose pieces are
// staged. A digest is confirmed by evidence from a second answer of the origin: bytes that it sent for this version, or digests that it
// sent to another agent. The latter count only once its bytes have matched any digest: a stale answer may be repeated, and then names
// digests of the older version for all pieces. Only pieces with confirmed digests are loaded.

// maxCandidates bounds the other digests kept for one piece.
const maxCandidates = 8

// candidate is another digest that an answer named for a piece.
type candidate struct {
	piece  int
	digest Digest
}

// digestAnswer is what an agent knows of a version's digests.
type digestAnswer struct {
	// digests is nil if they are not known or in doubt.
	digests    []Digest
	confirmed  []bool
	candidates []candidate
	// askedOrigin: the origin sent the digests to that agent itself, and no bytes contradict them there.
	askedOrigin bool
}

// evidence is what confirms the digests of a set, or contradicts them. Its owner locks it.
type evidence struct {
	confirmed []bool
	// hasBytes: bytes that the origin sent for the version have matched a digest, here or at a peer.
	hasBytes bool
	// sample is the piece that only such bytes may provide, none if it is negative: without them all pieces were here.
	sample int
	// candidates are the other digests named for pieces whose digests are not confirmed.
	candidates map[int]map[Digest]bool
}

func newEvidence(pieces int) evidence {
	return evidence{confirmed: make([]bool, pieces), sample: -1, candidates: map[int]map[Digest]bool{}}
}

// accept reports whether bytes with a digest are a piece of the version. Proven bytes, such as those that the origin sent for it, confirm the digest.
// Others, such as staged ones, are not accepted while answers name different digests.
func (p *pieceSet) accept(piece int, digest Digest, proven bool) bool {
	switch {
	case p.evidence.confirmed[piece]:
		return digest == p.digests[piece]
	case !proven:
		return digest == p.digests[piece] && len(p.evidence.candidates[piece]) == 0 && piece != p.evidence.sample
	case digest != p.digests[piece] && !p.evidence.candidates[piece][digest]:
		return false
	}
	p.confirm(piece, digest)
	return true
}

// confirm records that a digest is the version's. It reports whether it replaces another one.
func (p *pieceSet) confirm(piece int, digest Digest) (replaced bool) {
	replaced = p.digests[piece] != digest
	if replaced {
		p.drop(piece)
		p.digests[piece] = digest
		delete(p.mismatches, piece)
		p.recheckAt, p.rechecks = time.Time{}, 0
	}
	p.evidence.confirmed[piece], p.evidence.hasBytes, p.evidence.sample = true, true, -1
	delete(p.evidence.candidates, piece)
	return replaced
}

// contest records that an answer named another digest for a piece, which is dropped until one of them is confirmed. It reports whether
// that is new.
func (p *pieceSet) contest(piece int, digest Digest) bool {
	others := p.evidence.candidates[piece]
	if p.evidence.confirmed[piece] || digest == p.digests[piece] || others[digest] || len(others) == maxCandidates {
		return false
	}
	if others == nil {
		others = map[Digest]bool{}
		p.evidence.candidates[piece] = others
	}
	others[digest] = true
	p.drop(piece)
	return true
}

// drop removes a piece that may not be the version's.
func (p *pieceSet) drop(piece int) {
	if p.onReplaced != nil {
		p.onReplaced()
	}
	if p.pieces[piece] == nil {
		return
	}
	p.pieces[piece] = nil
	p.held--
	p.complete = time.Time{}
}

// loadable reports whether all pieces are here and all digests confirmed.
func (p *pieceSet) loadable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held < len(p.pieces) {
		return false
	}
	for _, confirmed := range p.evidence.confirmed {
		if !confirmed {
			return false
		}
	}
	return true
}

// unconfirmed counts the pieces whose digests may be confirmed by an answer: unproven are here without a confirmation; contested are those
// for which answers name different digests, so that only a piece that the origin sends, or a peer that has it, can tell.
func (p *pieceSet) unconfirmed() (unproven, contested int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for piece, data := range p.pieces {
		if data != nil && !p.evidence.confirmed[piece] {
			unproven++
		}
	}
	return unproven, len(p.evidence.candidates)
}

// adopt takes over what a peer has confirmed. It returns the pieces whose digests were replaced and those for which answers now name
// different digests.
func (p *pieceSet) adopt(a digestAnswer) (replaced, contested []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(a.digests) != len(p.digests) || len(a.confirmed) != len(p.digests) {
		return nil, nil
	}
	for piece, digest := range a.digests {
		switch {
		case a.confirmed[piece] && (!p.evidence.confirmed[piece] || p.mismatched(piece, digest)):
			if p.confirm(piece, digest) {
				replaced = append(replaced, piece)
			}
		case !a.confirmed[piece] && p.contest(piece, digest):
			contested = append(contested, piece)
		}
	}
	for _, c := range a.candidates {
		if c.piece >= 0 && c.piece < len(p.digests) && p.contest(c.piece, c.digest) {
			contested = append(contested, c.piece)
		}
	}
	return replaced, contested
}

// compare takes in another answer of the origin. If it is independent of the first one, sent to another agent, it confirms the digests that
// both name, once bytes have matched one of them and none contradict any. It returns how many digests it confirmed, and the pieces for which the answers differ.
func (p *pieceSet) compare(other []Digest, independent bool) (confirmed int, contested []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(other) != len(p.digests) {
		return 0, nil
	}
	confirms := independent && p.evidence.hasBytes && len(p.mismatches) == 0
	for piece, digest := range other {
		switch {
		case p.evidence.confirmed[piece]:
		case digest != p.digests[piece]:
			if p.contest(piece, digest) {
				contested = append(contested, piece)
			}
		case confirms && len(p.evidence.candidates[piece]) == 0:
			p.confirm(piece, digest)
			confirmed++
		}
	}
	return confirmed, contested
}

// compareFirst takes in the answer of a peer as another one of the origin if the origin sent the first answer to both agents. It returns how
// many digests it confirmed.
func (p *pieceSet) compareFirst(a digestAnswer) (confirmed int) {
	if !a.askedOrigin || !p.askedOrigin.Load() {
		return 0
	}
	confirmed, _ = p.compare(a.digests, true)
	return confirmed
}

// dropSample drops one piece if all are here and none of them has a confirmed digest, and reports whether it did: the origin is then asked
// for that one. It is the same at all agents, so that the origin sends it once.
func (p *pieceSet) dropSample(version uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evidence.hasBytes || p.held < len(p.pieces) || len(p.pieces) == 0 {
		return false
	}
	p.evidence.sample = int(version % uint64(len(p.pieces)))
	p.drop(p.evidence.sample)
	return true
}

// hasBytes reports whether bytes of the origin have matched a digest.
func (p *pieceSet) hasBytes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evidence.hasBytes
}

// answer returns what this agent knows of the digests.
func (p *pieceSet) answer() digestAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := digestAnswer{digests: append([]Digest(nil), p.digests...), confirmed: append([]bool(nil), p.evidence.confirmed...), askedOrigin: p.askedOrigin.Load() && len(p.mismatches) == 0}
	for piece, others := range p.evidence.candidates {
		for digest := range others {
			a.candidates = append(a.candidates, candidate{piece, digest})
		}
	}
	return a
}

// named reports whether an answer named the digest of these bytes for a piece.
func (p *pieceSet) named(piece int, data []byte) bool {
	digest := Digest(sha256.Sum256(data))
	p.mu.Lock()
	defer p.mu.Unlock()
	return digest == p.digests[piece] || p.evidence.candidates[piece][digest]
}

// digestSum returns the SHA-256 hash of digests, one after the other.
func digestSum(digests []Digest) []byte {
	h := sha256.New()
	for _, d := range digests {
		h.Write(d[:])
	}
	return h.Sum(nil)
}
