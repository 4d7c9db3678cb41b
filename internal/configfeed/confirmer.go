package configfeed

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errNoConfirm means that a source is not configured to reach a quorum.
var errNoConfirm = errors.New("source has no access to a quorum")

// confirmer shares quorum reads between subscribers. A caller that arrives during
// a read waits for the next one, since only a read that begins after its arrival
// covers all changes accepted before.
type confirmer struct {
	read    func(context.Context) (uint64, error)
	timeout time.Duration

	mu      sync.Mutex
	running bool
	next    *quorumRead
}

// quorumRead is one read and its result, shared by the callers that wait for it.
type quorumRead struct {
	done     chan struct{}
	revision uint64
	err      error
}

func newConfirmer(read func(context.Context) (uint64, error), timeout time.Duration) *confirmer {
	if read == nil {
		read = func(context.Context) (uint64, error) { return 0, errNoConfirm }
	}
	return &confirmer{read: read, timeout: timeout}
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

func (c *confirmer) join() *quorumRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &quorumRead{done: make(chan struct{})}
	}
	if !c.running {
		c.running = true
		go c.run()
	}
	return c.next
}

// run performs reads until no caller waits for one.
func (c *confirmer) run() {
	for r := c.takeNext(); r != nil; r = c.takeNext() {
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		r.revision, r.err = c.read(ctx)
		cancel()
		close(r.done)
	}
}

func (c *confirmer) takeNext() *quorumRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.next
	c.next = nil
	c.running = r != nil
	return r
}
