package transfer

import (
	"sync"

	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

// hub publishes which chunks of one version this VM holds and which it has seen
// on any member. Changes form a log, and each subscriber has a cursor into it.
// A new generation makes all subscribers start again with a full update.
type hub struct {
	mu         sync.Mutex
	chunks     int // 0: the manifest is not known here
	generation int
	held       swarm.Bits
	seen       swarm.Bits
	log        []change
	changed    chan struct{} // closed and replaced at every change
}

type change struct {
	index uint32
	seen  bool // seen on a member, not held here
}

// cursor is a subscriber's position in the log.
type cursor struct {
	generation int
	position   int
}

func newHub() *hub { return &hub{changed: make(chan struct{})} }

// reset starts a new generation. chunks is 0 when the version is no longer held.
func (h *hub) reset(chunks int, held []int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation++
	h.chunks = chunks
	h.held = swarm.NewBits(chunks)
	h.seen = swarm.NewBits(chunks)
	h.log = nil
	for _, i := range held {
		h.held.Set(i)
		h.seen.Set(i)
	}
	h.signal()
}

func (h *hub) addHeld(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i >= h.chunks || h.held.Has(i) {
		return
	}
	h.held.Set(i)
	h.seen.Set(i)
	h.log = append(h.log, change{index: uint32(i)})
	h.signal()
}

func (h *hub) addSeen(indexes []int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range indexes {
		if i >= h.chunks || h.seen.Has(i) {
			continue
		}
		h.seen.Set(i)
		h.log = append(h.log, change{index: uint32(i), seen: true})
	}
	h.signal()
}

func (h *hub) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// next returns the changes since the cursor and advances it, or returns nil and
// a channel that is closed at the next change.
func (h *hub) next(at *cursor) (*rpc.HaveUpdate, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation != at.generation {
		*at = cursor{generation: h.generation, position: len(h.log)}
		return &rpc.HaveUpdate{
			Reset_:     true,
			Bitmap:     h.held.Bytes(h.chunks),
			SeenBitmap: h.seen.Bytes(h.chunks),
		}, nil
	}
	if at.position == len(h.log) {
		return nil, h.changed
	}
	update := &rpc.HaveUpdate{}
	for _, c := range h.log[at.position:] {
		if c.seen {
			update.Seen = append(update.Seen, c.index)
		} else {
			update.Added = append(update.Added, c.index)
		}
	}
	at.position = len(h.log)
	return update, nil
}

// fewChanges reports whether the changes since the cursor are few in proportion
// to those already sent.
func (h *hub) fewChanges(at *cursor) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generation == at.generation && (len(h.log)-at.position)*fewShare < at.position
}
