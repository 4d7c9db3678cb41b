package staging

import (
	"crypto/sha256"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// key names a version of a model's weights.
type key struct {
	model   string
	version uint64
}

// keptVersions is how many versions are kept for peers: the one in use and the
// one that is coming.
const keptVersions = 2

// sets are the piece sets by version.
type sets struct {
	mu   sync.Mutex
	sets map[key]*pieceSet
}

func newSets() *sets { return &sets{sets: map[key]*pieceSet{}} }

func (s *sets) get(k key) *pieceSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sets[k]
}

// add makes an empty set, and drops the oldest of the model over keptVersions.
func (s *sets) add(k key, digests []Digest) *pieceSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.sets[k]; known != nil {
		return known
	}
	set := newPieceSet(digests)
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

// pieceSet holds the verified pieces of one version.
type pieceSet struct {
	digests []Digest
	// opened is when the digests were learned here.
	opened time.Time

	mu      sync.Mutex
	pieces  [][]byte
	order   []uint32 // pieces in the order in which they came
	changed chan struct{}
	// staged: what lay at the engine was taken in.
	staged bool
	// complete is when the last piece came.
	complete time.Time
	// elsewhere are the pieces that peers have told to hold.
	elsewhere map[int]bool
}

func newPieceSet(digests []Digest) *pieceSet {
	return &pieceSet{digests: digests, opened: clock.Now(), pieces: make([][]byte, len(digests)), changed: make(chan struct{}), elsewhere: map[int]bool{}}
}

// noteElsewhere notes that a peer holds a piece, and tells whether that is news.
func (p *pieceSet) noteElsewhere(piece int) (news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	news = !p.elsewhere[piece]
	p.elsewhere[piece] = true
	return news
}

// atHand is how many pieces are held here or by a peer; 0 of a set that is not known.
func (p *pieceSet) atHand() (n int) {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, data := range p.pieces {
		if data != nil || p.elsewhere[i] {
			n++
		}
	}
	return n
}

// put takes a piece in if its digest is right, and tells whether it is.
func (p *pieceSet) put(piece int, data []byte) bool {
	if piece < 0 || piece >= len(p.digests) || sha256.Sum256(data) != p.digests[piece] {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pieces[piece] == nil {
		p.pieces[piece] = data
		p.order = append(p.order, uint32(piece))
		if len(p.order) == len(p.pieces) {
			p.complete = clock.Now()
		}
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return true
}

func (p *pieceSet) get(piece int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if piece < 0 || piece >= len(p.pieces) {
		return nil
	}
	return p.pieces[piece]
}

// since returns the pieces that came after the first n, and a channel that is
// closed at the next one.
func (p *pieceSet) since(n int) ([]uint32, <-chan struct{}) {
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

// completedAt is when the last piece came, zero while one is missing.
func (p *pieceSet) completedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.complete
}

// takeStagedNow tells, once, that what lies at the engine is to be taken in.
func (p *pieceSet) takeStagedNow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.staged
	p.staged = true
	return first
}
