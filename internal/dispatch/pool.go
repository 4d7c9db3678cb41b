package dispatch

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/unacked"
)

// Pool holds the idle connections to one incarnation of a backend server.
type Pool struct {
	addr string
	// max is how many connections may be open; 0 means no limit.
	max  atomic.Int64
	open atomic.Int64
	// other is the pool whose connections count against max, too; nil if there is none.
	other *Pool
	// Dials counts the connections established.
	Dials atomic.Int64

	mu     sync.Mutex
	idle   []*conn
	closed bool
	// connect is the last one that succeeded.
	connect Connect
}

// Connect is a connect to a backend server: a round trip to the kernel of its VM, without the server's queue.
type Connect struct {
	Took time.Duration
	// At is when it began, a time of package clock.
	At time.Time
}

// LastConnect returns the last connect that succeeded; At is zero if there was none.
func (p *Pool) LastConnect() Connect {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connect
}

func (p *Pool) noteConnect(c Connect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connect = c
}

// NewPool returns an empty pool for a server at addr ("ip:port").
func NewPool(addr string) *Pool { return &Pool{addr: addr} }

// SetMaxOpen limits the number of open connections.
func (p *Pool) SetMaxOpen(n int) { p.max.Store(int64(n)) }

// ShareLimit has the connections of two pools count together against the limit of each. It is called before their first use.
func ShareLimit(a, b *Pool) { a.other, b.other = b, a }

// hasRoom reports whether one more connection may be opened. An idle one of the other pool makes room for it.
func (p *Pool) hasRoom() bool {
	limit := p.max.Load()
	if limit <= 0 || p.open.Load()+p.other.openConns() < limit {
		return true
	}
	return p.open.Load() < limit && p.other.dropOldestIdle()
}

func (p *Pool) openConns() int64 {
	if p == nil {
		return 0
	}
	return p.open.Load()
}

// dropOldestIdle closes the connection that has been idle for longest. It reports whether there was one.
func (p *Pool) dropOldestIdle() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return false
	}
	p.drop(p.idle[0])
	p.idle = p.idle[1:]
	return true
}

// CloseIdle closes the idle connections. It is called when a connection to the server
// has become unresponsive: others that were open at the same time may be so, too.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle()
}

// Close closes the idle connections; those in use are closed when their answers are.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.dropIdle()
}

func (p *Pool) dropIdle() {
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
}

func (p *Pool) drop(c *conn) {
	p.open.Add(-1)
	_ = c.Close()
}

// get returns a usable idle connection, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	if !p.hasRoom() {
		return nil, fmt.Errorf("%w: %d to %s are open", ErrNoConnection, p.max.Load(), p.addr)
	}
	p.open.Add(1)
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	began := clock.Now()
	nc, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.open.Add(-1)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.Dials.Add(1)
	took := clock.Since(began)
	p.noteConnect(Connect{Took: took, At: began})
	// If the system lacks the option, the deadline of each attempt still applies.
	_ = unacked.Bound(nc, unackedTimeout)
	return &conn{Conn: nc, in: headlimit.NewReader(nc, readBuffer), idleLimit: maxIdle, connectTook: took}, nil
}

// Probe connects to the server and closes the connection; its error is that of the
// connect.
func (p *Pool) Probe(ctx context.Context) error {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return fmt.Errorf("probe %s: %w", p.addr, err)
	}
	p.Dials.Add(1)
	return nc.Close()
}

func (p *Pool) takeIdle() *conn {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Sub(c.idleSince) < c.idleLimit && c.stillIdle() {
			c.reused = true
			return c
		}
		p.drop(c)
	}
	return nil
}

// put makes a connection idle again, or closes it if it cannot be reused: keep is false
// unless its answer was read completely.
func (p *Pool) put(c *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keep || p.closed || c.in.Buffered().Buffered() > 0 {
		p.drop(c)
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.idleSince = clock.Now()
	p.idle = append(p.idle, c)
}

// CloseStale closes the connections that have been idle for longer than their limit.
func (p *Pool) CloseStale(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) < c.idleLimit {
			kept = append(kept, c)
			continue
		}
		p.drop(c)
	}
	p.idle = kept
}
