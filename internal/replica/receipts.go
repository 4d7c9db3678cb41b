package replica

import (
	"sync"
	"time"
)

// receipts tracks the receipts for messages sent over one connection, to detect that they
// no longer arrive. Messages that the receiver sends over its own connections are no
// evidence of that, since packet loss may affect one connection or direction only.
type receipts struct {
	now func() time.Time

	mu sync.Mutex
	// pending is the number of messages without a receipt. waitingSince is when the oldest
	// of them was sent or the last receipt arrived, whichever was later.
	pending      int
	waitingSince time.Time
}

// sent records that a message is about to be sent.
func (r *receipts) sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == 0 {
		r.waitingSince = r.now()
	}
	r.pending++
}

// arrived records a receipt.
func (r *receipts) arrived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending--
	r.waitingSince = r.now()
}

// waiting returns the time since waitingSince, or 0 if no receipt is pending. The clock
// is monotonic, so steps of the wall clock have no effect.
func (r *receipts) waiting() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == 0 {
		return 0
	}
	return r.now().Sub(r.waitingSince)
}
