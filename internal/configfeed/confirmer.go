package configfeed

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errNoConfirm says that a source has no way to ask a quorum.
var errNoConfirm = errors.New("source can't ask a quorum")

// confirmer lets many subscribers share one question to the quorum: those who
// come while a question is under way wait for the next one, since only an
// answer to a question asked after they came tells them enough.
type confirmer struct {
	ask     func(context.Context) (uint64, error)
	timeout time.Duration

	mu      sync.Mutex
	running bool
	next    *round
}

// round is one question and those who wait for its answer.
type round struct {
	done     chan struct{}
	revision uint64
	err      error
}

func newConfirmer(ask func(context.Context) (uint64, error), timeout time.Duration) *confirmer {
	if ask == nil {
		ask = func(context.Context) (uint64, error) { return 0, errNoConfirm }
	}
	return &confirmer{ask: ask, timeout: timeout}
}

func (c *confirmer) do(ctx context.Context) (uint64, error) {
	r := c.join()
	select {
	case <-r.done:
		return r.revision, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (c *confirmer) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
	}
	if !c.running {
		c.running = true
		go c.run()
	}
	return c.next
}

// run asks until nobody waits any more.
func (c *confirmer) run() {
	for r := c.take(); r != nil; r = c.take() {
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		r.revision, r.err = c.ask(ctx)
		cancel()
		close(r.done)
	}
}

func (c *confirmer) take() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.next
	c.next = nil
	c.running = r != nil
	return r
}
