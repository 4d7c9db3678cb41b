// Package controlclient calls the control servers for entries, agents and
// control servers: it finds the leader, follows redirects and retries within
// the caller's deadline. The calls are those of rpc.Control.
//
// A Client keeps the address of the presumed leader and one pool of connections.
// It is safe for concurrent use.
package controlclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcpool"

	"lynxgate.dev/lynxgate/internal/pause"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// ErrNoQuorum means that no control server could serve the call and that the call
// had no effect.
var ErrNoQuorum = errors.New("no quorum of control servers in reach")

// ErrResultUnknown means that a call may have been carried out: it was sent, but
// its response was lost. Claim and Settle may be repeated unchanged.
var ErrResultUnknown = errors.New("result of the call is unknown")

// errNotSent marks errors that occur before anything is sent.
var errNotSent = errors.New("not connected")

// Defaults of Config.
const (
	DefaultCallTimeout = 2 * time.Second
	DefaultDialTimeout = time.Second
	// retryPause is the wait after all servers were called without success, or
	// after maxRedirects redirects.
	retryPause = 100 * time.Millisecond
	// poolCapacity is the maximum number of idle connections to all servers.
	poolCapacity = 8
	// poolKeyCapacity is the maximum number of idle connections to one server.
	poolKeyCapacity = 4
	// poolExpiration is the idle time after which a connection is closed.
	poolExpiration = time.Minute
)

// Config sets which control servers to call, and the timeouts.
type Config struct {
	// Addrs are the rpc addresses of control servers.
	Addrs []string
	// CallTimeout bounds one call to one server.
	CallTimeout time.Duration
	// DialTimeout bounds one connection attempt.
	DialTimeout time.Duration
}

// Client calls the leader of the control servers.
type Client struct {
	cfg  Config
	pool *drpcpool.Pool[string, drpcpool.Conn]

	mu     sync.Mutex
	leader string
}

// New returns a client; it connects at the first call.
func New(cfg Config) *Client {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Capacity:    poolCapacity,
		KeyCapacity: poolKeyCapacity,
		Expiration:  poolExpiration,
	})
	return &Client{cfg: cfg, pool: pool}
}

// Close closes the connections.
func (c *Client) Close() error { return c.pool.Close() }

// ReadIndex returns a revision no lower than any change accepted before the
// call, confirmed with a quorum.
func (c *Client) ReadIndex(ctx context.Context) (uint64, error) {
	resp, err := call(ctx, c, &rpc.ReadIndexRequest{}, rpc.DRPCControlClient.ReadIndex)
	if err != nil {
		return 0, err
	}
	return resp.Revision, nil
}

// Announce registers a daemon and renews its lease. The status is OK, or
// INVALID when a newer incarnation took the name.
func (c *Client) Announce(ctx context.Context, req *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	return call(ctx, c, req, rpc.DRPCControlClient.Announce)
}

// Claim reserves an idempotency key. If the response is lost, the call is
// repeated until the deadline; with the same attempt in the request, the repeated
// claim gets the same grant.
func (c *Client) Claim(ctx context.Context, req *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	return call(ctx, c, req, rpc.DRPCControlClient.Claim)
}

// Settle records the outcome of a claim. If the response is lost, the call is
// repeated until the deadline.
func (c *Client) Settle(ctx context.Context, req *rpc.SettleRequest) (*rpc.SettleResponse, error) {
	return call(ctx, c, req, rpc.DRPCControlClient.Settle)
}

// response is implemented by all responses of rpc.Control.
type response interface {
	GetStatus() rpc.Status
	GetLeaderAddr() string
}

// maxRedirects bounds the redirects followed without a pause, so that servers
// that redirect to each other are not called in a tight loop.
const maxRedirects = 3

// call calls one server after the other, the presumed leader first, until one
// carries the call out or ctx is done. All calls of rpc.Control are idempotent,
// so a call is repeated if its response is lost.
func call[Req any, Resp response](
	ctx context.Context, c *Client, req Req,
	method func(rpc.DRPCControlClient, context.Context, Req) (Resp, error),
) (Resp, error) {
	var out outcome
	for ctx.Err() == nil {
		for range maxRedirects {
			resp, next := callEach(ctx, c, req, method, &out)
			if next == answered {
				return resp, nil
			}
			if next == exhausted {
				break
			}
		}
		pause.For(ctx, retryPause)
	}
	var none Resp
	return none, out.failure()
}

// roundResult is the result of one round of a call.
type roundResult int

const (
	// answered means that the call is done.
	answered roundResult = iota
	// redirected means that a server redirected to another leader.
	redirected
	// exhausted means that no server carried the call out.
	exhausted
)

// callEach calls each server once, until one carries the call out or redirects to
// another leader.
func callEach[Req any, Resp response](
	ctx context.Context, c *Client, req Req,
	method func(rpc.DRPCControlClient, context.Context, Req) (Resp, error), out *outcome,
) (Resp, roundResult) {
	var none Resp
	for _, addr := range c.candidates() {
		resp, err := callServer(ctx, c, addr, req, method)
		if err != nil {
			out.recordError(addr, err)
			continue
		}
		switch resp.GetStatus() {
		case rpc.Status_STATUS_OK:
			c.setLeader(addr)
			return resp, answered
		case rpc.Status_STATUS_INVALID:
			return resp, answered
		}
		out.recordStatus(addr, resp.GetStatus())
		if c.redirect(addr, resp) {
			return none, redirected
		}
	}
	return none, exhausted
}

// outcome records the failures of a call so far.
type outcome struct {
	last error
	// sent is true when the call may have been carried out.
	sent bool
}

func (o *outcome) recordError(addr string, err error) {
	o.last = fmt.Errorf("control server %s: %w", addr, err)
	if !errors.Is(err, errNotSent) {
		o.sent = true
	}
}

func (o *outcome) recordStatus(addr string, status rpc.Status) {
	o.last = fmt.Errorf("control server %s: %s", addr, status)
	if status == rpc.Status_STATUS_RESULT_UNKNOWN {
		o.sent = true
	}
}

func (o *outcome) failure() error {
	if o.last == nil {
		return ErrNoQuorum
	}
	if o.sent {
		return fmt.Errorf("%w: %w", ErrResultUnknown, o.last)
	}
	return fmt.Errorf("%w: %w", ErrNoQuorum, o.last)
}

func callServer[Req any, Resp response](
	ctx context.Context, c *Client, addr string, req Req,
	method func(rpc.DRPCControlClient, context.Context, Req) (Resp, error),
) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	conn := c.pool.Get(ctx, addr, c.dial)
	defer conn.Close()
	return method(rpc.NewDRPCControlClient(conn), ctx, req)
}

func (c *Client) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: c.cfg.DialTimeout}
	tcp, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return rpcconn.NewConn(tcp), nil
}

// candidates returns the presumed leader, followed by the other servers.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return c.cfg.Addrs
	}
	out := []string{c.leader}
	for _, addr := range c.cfg.Addrs {
		if addr != c.leader {
			out = append(out, addr)
		}
	}
	return out
}

func (c *Client) setLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

// redirect sets the presumed leader from a NOT_LEADER response and reports
// whether it changed.
func (c *Client) redirect(asked string, resp response) bool {
	if resp.GetStatus() != rpc.Status_STATUS_NOT_LEADER {
		return false
	}
	leader := resp.GetLeaderAddr()
	if leader == "" || leader == asked {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == leader {
		return false // already called in this round; the redirect may be out of date
	}
	c.leader = leader
	return true
}
