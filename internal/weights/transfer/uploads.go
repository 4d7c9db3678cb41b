package transfer

import (
	"context"
	"sync"
	"time"
)

const (
	// uploadSlots is how many chunks are sent at once: few, so that each is
	// soon complete at its receiver and can be passed on.
	uploadSlots = 2
	// uploadQueue bounds the number of requests that wait for a slot.
	uploadQueue = 4
	// stallYield is how long a send may block before its slot is released.
	stallYield = 100 * time.Millisecond

	minPiece     = 8 << 10
	maxPiece     = 64 << 10
	pieceSeconds = 0.002 // of the link's rate

	minBusyRetry = 5 * time.Millisecond
	maxBusyRetry = 2 * time.Second
	// averageWeight is the weight of a new duration in the moving average.
	averageWeight = 0.125
)

// uploads decides in which order chunk requests are answered. The peer that
// holds the fewest chunks comes first: the slowest peer determines the time to N
// replicas, and a peer that falls behind while chunks are scarce cannot catch up
// later, when its link is saturated.
type uploads struct {
	piece int // bytes sent at a time

	mu      sync.Mutex
	free    int // slots
	waiting []*slot
	average time.Duration // moving average of the time that an upload holds its slot
}

// slot is the right of one request to send a chunk. A stalled send releases it
// early; the request then queues for it again.
type slot struct {
	uploads  *uploads
	progress uint32 // of the peer, in thousandths
	granted  chan struct{}
	active   bool // guarded by uploads.mu
}

func newUploads(rate float64) *uploads {
	piece := maxPiece
	if rate > 0 {
		piece = min(maxPiece, max(minPiece, int(rate*pieceSeconds)))
	}
	return &uploads{free: uploadSlots, piece: piece}
}

// queue returns how many requests wait.
func (u *uploads) queue() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.waiting)
}

// retryAfter estimates when the queue will accept requests again.
func (u *uploads) retryAfter() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := u.average * time.Duration(len(u.waiting)) / uploadSlots / 2
	return min(maxBusyRetry, max(minBusyRetry, d))
}

func (u *uploads) observe(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.average += time.Duration(averageWeight * float64(d-u.average))
}

// enqueue queues for a slot, or returns nil if the queue is full.
func (u *uploads) enqueue(progress uint32) *slot {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.waiting) >= uploadQueue {
		return nil
	}
	t := &slot{uploads: u, progress: progress}
	u.add(t)
	return t
}

// add queues t. The caller holds the lock.
func (u *uploads) add(t *slot) {
	t.granted = make(chan struct{})
	u.waiting = append(u.waiting, t)
	u.grant()
}

// grant gives free slots to the waiting requests whose peers hold the fewest
// chunks. The caller holds the lock.
func (u *uploads) grant() {
	for u.free > 0 && len(u.waiting) > 0 {
		best := 0
		for i, t := range u.waiting {
			if t.progress < u.waiting[best].progress {
				best = i
			}
		}
		t := u.waiting[best]
		u.waiting = append(u.waiting[:best:best], u.waiting[best+1:]...)
		u.free--
		t.active = true
		close(t.granted)
	}
}

// wait waits until the slot is granted. After a release it queues again.
func (t *slot) wait(ctx context.Context) error {
	u := t.uploads
	u.mu.Lock()
	if t.granted == nil {
		u.add(t)
	}
	granted := t.granted
	u.mu.Unlock()
	select {
	case <-granted:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release frees the slot, or leaves the queue.
func (t *slot) release() {
	u := t.uploads
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.active {
		t.active = false
		u.free++
	} else {
		for i, w := range u.waiting {
			if w == t {
				u.waiting = append(u.waiting[:i:i], u.waiting[i+1:]...)
				break
			}
		}
	}
	t.granted = nil
	u.grant()
}
