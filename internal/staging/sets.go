package staging

import (
	"crypto/sha256"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// key identifies a version of a model's weights.
type key struct {
	model   string
	version uint64
}

// keptVersions is the number of versions kept for peers: the one in use and the
// one being fetched.
const keptVersions = 2

// sets are the piece sets by version.
type sets struct {
	mu   sync.Mutex
	sets map[key]*pieceSet
	// onReplaced is called before a piece of any set is dropped or its digest replaced; it may be nil.
	onReplaced func()
}

func newSets(onReplaced func()) *sets {
	return &sets{sets: map[key]*pieceSet{}, onReplaced: onReplaced}
}

func (s *sets) get(k key) *pieceSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sets[k]
}

// add returns the set of k, creating an empty one if there is none. Beyond
// keptVersions, the set of the model's oldest version is removed.
func (s *sets) add(k key, digests []Digest) *pieceSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.sets[k]; known != nil {
		return known
	}
	set := newPieceSet(slices.Clone(digests))
	set.onReplaced = s.onReplaced
	s.sets[k] = set
	oldest, count := k, 0
	for other := range s.sets {
		if other.model != k.model {
			continue
		}
		count++
		if other.version < oldest.version {
			oldest = other
		}
	}
	if count > keptVersions {
		delete(s.sets, oldest)
	}
	return set
}

// pieceSet contains the verified pieces of one version.
type pieceSet struct {
	// createdAt is when the set was created: its digests were not known here before.
	createdAt time.Time
	// askedOrigin is true if the origin sent the first answer for the digests to this agent.
	askedOrigin atomic.Bool
	// onReplaced is called, with mu locked, before a piece is dropped or its digest replaced; it may be nil.
	onReplaced func()

	mu sync.Mutex
	// digests are corrected where they turn out to be wrong; their number is constant.
	digests  []Digest
	evidence evidence
	// mismatches are the missing pieces whose bytes did not match.
	mismatches map[int]*mismatch
	// recheckAt is when digests may be requested again, after this many rechecks that corrected none.
	recheckAt time.Time
	rechecks  int
	// confirmSince is since when digests lack a confirmation, zero if none does. Peers are asked again at confirmAt, after this many
	// tries.
	confirmSince, confirmAt time.Time
	confirmTries            int
	pieces                  [][]byte
	held                    int      // number of pieces that are not nil
	order                   []uint32 // pieces in the order of their arrival; one that was dropped may be there again
	changed                 chan struct{}
	// imported is true once the import of the pieces staged at the engine has begun.
	imported bool
	// complete is when the last piece arrived.
	complete time.Time
	// peerPieces are the pieces that peers have announced.
	peerPieces map[int]bool
}

func newPieceSet(digests []Digest) *pieceSet {
	return &pieceSet{
		digests: digests, evidence: newEvidence(len(digests)), mismatches: map[int]*mismatch{}, createdAt: clock.Now(),
		pieces: make([][]byte, len(digests)), changed: make(chan struct{}), peerPieces: map[int]bool{},
	}
}

// addPeerPiece records that a peer has a piece, and reports whether it is the first peer.
func (p *pieceSet) addPeerPiece(piece int) (isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew = !p.peerPieces[piece]
	p.peerPieces[piece] = true
	return isNew
}

// available returns the number of pieces that this agent or a peer has; 0 for a nil set.
func (p *pieceSet) available() (n int) {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, data := range p.pieces {
		if data != nil || p.peerPieces[i] {
			n++
		}
	}
	return n
}

// put adds a piece if its digest matches, and reports whether it does. Bytes are proven if the origin sent them for this version, to this
// agent or to a peer, or if the engine has loaded them as this version.
func (p *pieceSet) put(piece int, data []byte, proven bool) bool {
	digest := Digest(sha256.Sum256(data))
	p.mu.Lock()
	defer p.mu.Unlock()
	if piece < 0 || piece >= len(p.digests) || !p.accept(piece, digest, proven) {
		return false
	}
	delete(p.mismatches, piece)
	if p.pieces[piece] == nil {
		p.pieces[piece] = data
		p.held++
		p.order = append(p.order, uint32(piece))
		if p.held == len(p.pieces) {
			p.complete = clock.Now()
		}
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return true
}

// size returns the number of pieces of the version.
func (p *pieceSet) size() int { return len(p.pieces) }

// allDigests returns a copy of the digests.
func (p *pieceSet) allDigests() []Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.digests)
}

func (p *pieceSet) get(piece int) []byte {
	data, _ := p.getConfirmed(piece)
	return data
}

// getConfirmed returns a piece, nil if it is not here, and whether its digest is confirmed.
func (p *pieceSet) getConfirmed(piece int) (data []byte, confirmed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if piece < 0 || piece >= len(p.pieces) {
		return nil, false
	}
	return p.pieces[piece], p.evidence.confirmed[piece]
}

// addedAfter returns the pieces added after the first n, and a channel that is closed
// when another one is added.
func (p *pieceSet) addedAfter(n int) ([]uint32, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.order[n:len(p.order):len(p.order)], p.changed
}

func (p *pieceSet) missing() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []int
	for i, data := range p.pieces {
		if data == nil {
			out = append(out, i)
		}
	}
	return out
}

// completedAt returns when the last piece arrived; zero while one is missing.
func (p *pieceSet) completedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.complete
}

// startImport reports whether the pieces staged at the engine are still to be imported;
// it returns true only once.
func (p *pieceSet) startImport() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.imported
	p.imported = true
	return first
}
