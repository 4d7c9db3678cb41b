// Package controlclient calls the control servers for entries, agents and
// control servers: it finds the leader, follows redirects and retries within
// the caller's deadline.
//
// State: the address that answered last and one pool of connections. Calls
// may be made from any goroutine.
//
// Messages: the requests and responses of rpc.Control.
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

// ErrNoQuorum says that no control server could serve the call. Nothing was
// accepted.
var ErrNoQuorum = errors.New("no quorum of control servers in reach")

// ErrResultUnknown says that a call may have been carried out: it was sent,
// and its answer was lost. Claim and Settle may be sent again as they are.
var ErrResultUnknown = errors.New("result of the call is unknown")

// errNotSent marks failures before anything was sent.
var errNotSent = errors.New("not connected")

// Defaults of Config.
const (
	DefaultCallTimeout = 2 * time.Second
	DefaultDialTimeout = time.Second
	// retryPause is the wait after all servers have been asked once.
	retryPause = 100 * time.Millisecond
	// poolCapacity is the most idle connections kept over all servers.
	poolCapacity = 8
	// poolKeyCapacity is the most idle connections kept to one server.
	poolKeyCapacity = 4
	// poolExpiration closes connections that were idle for long.
	poolExpiration = time.Minute
)

// Config says which control servers to call.
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

// New makes a client; it connects at the first call.
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

// Claim reserves an idempotency key. With an attempt set, the call is repeated
// until the deadline when its answer is lost.
func (c *Client) Claim(ctx context.Context, req *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	return call(ctx, c, req, rpc.DRPCControlClient.Claim)
}

// Settle records the outcome of a claim; it is repeated until the deadline.
func (c *Client) Settle(ctx context.Context, req *rpc.SettleRequest) (*rpc.SettleResponse, error) {
	return call(ctx, c, req, rpc.DRPCControlClient.Settle)
}

// response is what all responses of rpc.Control have.
type response interface {
	GetStatus() rpc.Status
	GetLeaderAddr() string
}

// maxRedirects bounds how often one round follows the servers' word about the
// leader, so that servers which name each other are not asked without a pause.
const maxRedirects = 3

// call asks one server after the other, the supposed leader first, until one
// carries the call out or ctx ends. All calls of rpc.Control are idempotent,
// so a lost answer is followed by a repeat.
func call[Req any, Resp response](
	ctx context.Context, c *Client, req Req,
	method func(rpc.DRPCControlClient, context.Context, Req) (Resp, error),
) (Resp, error) {
	var out outcome
	for ctx.Err() == nil {
		for range maxRedirects {
			resp, next := round(ctx, c, req, method, &out)
			if next == answered {
				return resp, nil
			}
			if next == giveUp {
				break
			}
		}
		pause.For(ctx, retryPause)
	}
	var none Resp
	return none, out.failure()
}

// next says how a call goes on after a round.
type next int

const (
	// answered means that the call is done.
	answered next = iota
	// redirected means that a server named another leader.
	redirected
	// giveUp means that all servers were asked in vain.
	giveUp
)

// round asks the servers once each, until one answers or names a new leader.
func round[Req any, Resp response](
	ctx context.Context, c *Client, req Req,
	method func(rpc.DRPCControlClient, context.Context, Req) (Resp, error), out *outcome,
) (Resp, next) {
	var none Resp
	for _, addr := range c.candidates() {
		resp, err := callOne(ctx, c, addr, req, method)
		if err != nil {
			out.note(addr, err)
			continue
		}
		switch resp.GetStatus() {
		case rpc.Status_STATUS_OK:
			c.remember(addr)
			return resp, answered
		case rpc.Status_STATUS_INVALID:
			return resp, answered
		}
		out.noteStatus(addr, resp.GetStatus())
		if c.redirect(addr, resp) {
			return none, redirected
		}
	}
	return none, giveUp
}

// outcome collects why a call has failed so far.
type outcome struct {
	last error
	// sent is true when the call may have been carried out.
	sent bool
}

func (o *outcome) note(addr string, err error) {
	o.last = fmt.Errorf("control server %s: %w", addr, err)
	if !errors.Is(err, errNotSent) {
		o.sent = true
	}
}

func (o *outcome) noteStatus(addr string, status rpc.Status) {
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

func callOne[Req any, Resp response](
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

// candidates returns the supposed leader and then the other servers.
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

func (c *Client) remember(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

// redirect follows a server's word about the leader and reports whether it
// named another one than was asked.
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
		return false // asked already; its word may be out of date
	}
	c.leader = leader
	return true
}
