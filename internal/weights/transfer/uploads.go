package transfer

import (
	"context"
	"sync"
	"time"
)

const (
	// uploadTurns is how many chunks are sent at once: few, so that each is
	// soon whole at its receiver and can be passed on.
	uploadTurns = 2
	// uploadQueue bounds the requests waiting for a turn.
	uploadQueue = 4
	// stallYield is how long a send may block before its turn passes on.
	stallYield = 100 * time.Millisecond

	minPiece     = 8 << 10
	maxPiece     = 64 << 10
	pieceSeconds = 0.002 // of the link's rate

	minBusyRetry = 5 * time.Millisecond
	maxBusyRetry = 2 * time.Second
	// tookWeight is the weight of a new duration in the smoothed one.
	tookWeight = 0.125
)

// uploads decides in which order chunk requests are answered. The peer that
// holds least goes first: the time to N replicas is the slowest's time, and
// what a peer misses while the swarm is still short of chunks it cannot make
// up for later, since its link is full by then.
type uploads struct {
	piece int // bytes sent at a time

	mu      sync.Mutex
	free    int // turns
	waiting []*turn
	took    time.Duration // smoothed time of one upload within its turn
}

// turn is the right to send a chunk. It may be released early by a stalled
// send and is then taken again.
type turn struct {
	uploads  *uploads
	progress uint32 // of the peer, thousandths
	granted  chan struct{}
	held     bool // guarded by uploads.mu
}

func newUploads(rate float64) *uploads {
	piece := maxPiece
	if rate > 0 {
		piece = min(maxPiece, max(minPiece, int(rate*pieceSeconds)))
	}
	return &uploads{free: uploadTurns, piece: piece}
}

// queue returns how many requests wait.
func (u *uploads) queue() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.waiting)
}

// retryAfter is about when the queue will have room again.
func (u *uploads) retryAfter() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := u.took * time.Duration(len(u.waiting)) / uploadTurns / 2
	return min(maxBusyRetry, max(minBusyRetry, d))
}

func (u *uploads) observe(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.took += time.Duration(tookWeight * float64(d-u.took))
}

// enter queues for a turn, or returns nil when the queue is full.
func (u *uploads) enter(progress uint32) *turn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.waiting) >= uploadQueue {
		return nil
	}
	t := &turn{uploads: u, progress: progress}
	u.add(t)
	return t
}

// add queues t. The lock is held.
func (u *uploads) add(t *turn) {
	t.granted = make(chan struct{})
	u.waiting = append(u.waiting, t)
	u.grant()
}

// grant gives free turns to the waiting that hold least. The lock is held.
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
		t.held = true
		close(t.granted)
	}
}

// wait returns when the turn has come. After a release it queues again.
func (t *turn) wait(ctx context.Context) error {
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

// release gives the turn, or the place in the queue, to others.
func (t *turn) release() {
	u := t.uploads
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.held {
		t.held = false
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
