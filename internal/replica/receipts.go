package replica

import (
	"sync"
	"time"
)

// receipts tells for how long messages sent over one connection have waited for a sign
// that they arrive. What their receiver sends over connections of its own tells nothing
// of that: a connection may go silent one way.
type receipts struct {
	now func() time.Time

	mu sync.Mutex
	// open is the number of messages without a receipt; since is when the oldest of them
	// was sent or the last receipt came, whichever was later.
	open  int
	since time.Time
}

// sent notes that a message is about to be sent.
func (r *receipts) sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == 0 {
		r.since = r.now()
	}
	r.open++
}

// arrived notes a receipt.
func (r *receipts) arrived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	r.since = r.now()
}

// waiting returns for how long nothing has moved; 0 if nothing is open. Its clock is
// monotonic: steps of the time of day don't count.
func (r *receipts) waiting() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == 0 {
		return 0
	}
	return r.now().Sub(r.since)
}
