package pace

import (
	"context"
	"sync"
	"time"
)

// Link paces both directions of a VM's link. Its methods may be called from
// several goroutines.
type Link struct {
	up, down direction
	now      func() time.Time

	mu       sync.Mutex
	governor *Governor
}

// NewLink returns a link with the given rates in bytes per second; 0 means no
// pacing. now is the clock; waits use runtime timers.
func NewLink(up, down float64, now func() time.Time) *Link {
	l := &Link{now: now, governor: NewGovernor()}
	l.up.init(up, now)
	l.down.init(down, now)
	return l
}

// Up waits until the given number of bytes may be sent.
func (l *Link) Up(ctx context.Context, class Class, bytes int) error {
	return l.up.take(ctx, class, bytes)
}

// Down waits until the given number of bytes may be received.
func (l *Link) Down(ctx context.Context, class Class, bytes int) error {
	return l.down.take(ctx, class, bytes)
}

// SpendLive accounts for bytes of live requests that pass the link, up and down.
// It does not delay them: transfers wait instead.
func (l *Link) SpendLive(up, down int) {
	l.up.spend(up)
	l.down.spend(down)
}

// ObserveLive adapts the transfers' share to the first-token latency of a live
// request.
func (l *Link) ObserveLive(latency time.Duration) {
	l.adapt(func(now time.Time) { l.governor.Observe(latency, now) })
}

// Tick raises the transfers' share again after live requests have stopped. Call
// it about once a second.
func (l *Link) Tick() { l.adapt(l.governor.Tick) }

// Share returns the fraction of the link that transfers may use at present.
func (l *Link) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.governor.Share()
}

func (l *Link) adapt(change func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.governor.Share()
	change(l.now())
	if share := l.governor.Share(); share != before {
		l.up.setShare(share)
		l.down.setShare(share)
	}
}

// direction is a bucket with its lock, its timer and its waiting callers.
type direction struct {
	now func() time.Time

	mu      sync.Mutex
	bucket  *Bucket
	waiting map[uint64]chan struct{}
	timer   *time.Timer
}

func (d *direction) init(rate float64, now func() time.Time) {
	d.now = now
	d.bucket = NewBucket(rate)
	d.waiting = map[uint64]chan struct{}{}
}

func (d *direction) setShare(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bucket.SetShare(share)
}

func (d *direction) take(ctx context.Context, class Class, bytes int) error {
	if d.bucket.Rate() <= 0 {
		return ctx.Err()
	}
	granted := make(chan struct{})
	d.mu.Lock()
	id := d.bucket.Add(class, bytes)
	d.waiting[id] = granted
	d.advance()
	d.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		d.mu.Lock()
		d.bucket.Remove(id)
		delete(d.waiting, id)
		d.mu.Unlock()
		return ctx.Err()
	}
}

func (d *direction) spend(bytes int) {
	if bytes <= 0 || d.bucket.Rate() <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bucket.Spend(bytes, d.now())
}

// advance wakes granted callers and sets the timer for the next grant. The caller
// holds the lock.
func (d *direction) advance() {
	now := d.now()
	ids, next := d.bucket.Advance(now)
	for _, id := range ids {
		if granted, ok := d.waiting[id]; ok {
			delete(d.waiting, id)
			close(granted)
		}
	}
	if next.IsZero() {
		return
	}
	if d.timer == nil {
		d.timer = time.AfterFunc(next.Sub(now), d.fire)
		return
	}
	d.timer.Reset(next.Sub(now))
}

func (d *direction) fire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance()
}
