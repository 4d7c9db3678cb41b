// Package follow keeps a daemon in touch with all control servers: one stream
// to each, of the committed configuration, the versions of weights and the
// backend servers. State: one goroutine and one stream by control server; the
// merged result belongs to a View. Messages: rpc.Fleet Follow.
package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rendezvous"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

const (
	// KeepAlive is how often a control server sends something on each stream.
	KeepAlive = 400 * time.Millisecond
	// silence is after how long without a word a stream is given up: three
	// keep-alives and the delay of a slow machine. TCP alone would take minutes
	// to notice a cut.
	silence = 1500 * time.Millisecond
	// retryPause is the mean pause after a stream has ended.
	retryPause = 150 * time.Millisecond
	// lostPause is for how long a control server that failed is passed over for
	// the next ones.
	lostPause = 3 * time.Second
	// keepUnlisted is for how long a control server that nobody lists is tried.
	keepUnlisted = 20 * time.Second
)

// Config says who follows.
type Config struct {
	// Name, Zone and Role (entry, agent or control) of this daemon.
	Name string
	Zone string
	Role string
	// Self is the rpc address of this daemon if it is a control server: it does
	// not follow itself.
	Self string
	// Most is how many control servers are followed at once; 0 is all of them. Those
	// that need no more than what is committed follow a few.
	Most int
	// Seeds returns the control servers that the settings name.
	Seeds func() []string
	// Held returns the version of the newest configuration that was taken over: other
	// control servers need not send it. It may be nil.
	Held func() uint64
	// Suspicions returns all that is known here of work that was at servers that ended: a
	// control server that has started again knows nothing of it. It may be nil.
	Suspicions func() []quarantine.News
	// Signals returns all that is known here of what backend servers said of themselves, for
	// the same reason. It may be nil.
	Signals func() []backpressure.News
	// Update takes over what a control server sent; calls for one source are in
	// order, those for several are concurrent.
	Update func(source string, u *rpc.FleetUpdate)
	// Lost is called when a stream has ended.
	Lost   func(source string)
	Logger zerolog.Logger
}

// Client follows all control servers.
type Client struct {
	cfg Config

	mu     sync.Mutex
	known  map[string]*source
	closed sync.WaitGroup
	// turnWaiters wait for a control server's answer, by digest of the work.
	turnWaiters map[quarantine.Digest]chan bool
}

// source is one control server.
type source struct {
	cancel   context.CancelFunc
	listedAt time.Time
	// failedAt is when the last stream or try to connect ended.
	failedAt time.Time
	// stream is nil while the control server is not reached.
	stream rpc.DRPCFleet_FollowClient
}

// Tell sends an agent's report: to all control servers that are reached, or to
// one of them if the report changes nothing that they spread.
func (c *Client) Tell(r *rpc.AgentReport, all bool) {
	for _, stream := range c.streams() {
		// A stream that fails is opened again by its own goroutine, and the next
		// report is whole.
		if err := stream.Send(&rpc.FollowerMessage{Report: r}); err == nil && !all {
			return
		}
	}
}

func (c *Client) held() uint64 {
	if c.cfg.Held == nil {
		return 0
	}
	return c.cfg.Held()
}

// tellHeld tells the other control servers which configuration is held: each of them
// would send the same one, and a document is most of what they send.
func (c *Client) tellHeld(except rpc.DRPCFleet_FollowClient) {
	held := c.held()
	for _, stream := range c.streams() {
		if stream != except {
			// A stream that fails is opened again by its own goroutine.
			_ = stream.Send(&rpc.FollowerMessage{ConfigVersion: held})
		}
	}
}

// streams are the open streams, in the order of the addresses.
func (c *Client) streams() []rpc.DRPCFleet_FollowClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []rpc.DRPCFleet_FollowClient
	for _, addr := range slices.Sorted(maps.Keys(c.known)) {
		if s := c.known[addr]; s.stream != nil {
			out = append(out, s.stream)
		}
	}
	return out
}

func (c *Client) noteFailed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.known[addr]; s != nil {
		s.failedAt = clock.Now()
	}
}

func (c *Client) setStream(addr string, stream rpc.DRPCFleet_FollowClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.known[addr]; s != nil {
		s.stream = stream
	}
}

// New returns a client; Run starts it.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, known: map[string]*source{}, turnWaiters: map[quarantine.Digest]chan bool{}}
}

// Run follows until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		c.list(ctx, c.cfg.Seeds())
		c.dropUnlisted()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.closed.Wait()
			return ctx.Err()
		}
	}
}

// list follows these control servers, too.
func (c *Client) list(ctx context.Context, addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	for _, addr := range addrs {
		if addr == c.cfg.Self || addr == "" || ctx.Err() != nil {
			continue
		}
		if s, ok := c.known[addr]; ok {
			s.listedAt = now
			continue
		}
		sourceCtx, cancel := context.WithCancel(ctx)
		c.known[addr] = &source{cancel: cancel, listedAt: now}
		c.closed.Add(1)
		go func() {
			defer c.closed.Done()
			c.follow(sourceCtx, ctx, addr)
		}()
	}
}

func (c *Client) dropUnlisted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, s := range c.known {
		if clock.Since(s.listedAt) > keepUnlisted {
			s.cancel()
			delete(c.known, addr)
		}
	}
}

// follow keeps a stream to one control server.
func (c *Client) follow(ctx, run context.Context, addr string) {
	lost := false
	failed := 0
	for ctx.Err() == nil {
		if !c.mayFollow(addr) {
			select {
			case <-time.After(retryPause):
				continue
			case <-ctx.Done():
				return
			}
		}
		received, err := c.stream(ctx, run, addr, rpcconn.RedialTimeout(failed))
		if ctx.Err() != nil {
			return
		}
		failed++
		if received > 0 {
			failed = 0
		}
		c.noteFailed(addr)
		if received > 0 {
			c.cfg.Lost(addr)
		}
		if received > 0 || !lost {
			lost = true
			c.cfg.Logger.Warn().Str("control", addr).Err(err).Int("updates", received).Msg("control server lost")
		}
		pause := retryPause/2 + rand.N(retryPause)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// mayFollow tells whether a control server is among the Most that come first for
// this daemon, by the highest random weight, of those that are reached or not
// known to be lost.
func (c *Client) mayFollow(addr string) bool {
	if c.cfg.Most <= 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := 0
	own := c.weight(addr)
	for other, s := range c.known {
		usable := s.stream != nil || clock.Since(s.failedAt) > lostPause
		if other != addr && usable && c.weight(other) > own {
			before++
		}
	}
	return before < c.cfg.Most
}

func (c *Client) weight(addr string) uint64 {
	return rendezvous.Weight(rendezvous.Hash(c.cfg.Name), rendezvous.Hash(addr))
}

// stream takes updates until the stream fails or falls silent.
func (c *Client) stream(ctx, run context.Context, addr string, dialTimeout time.Duration) (received int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, dialled := context.WithTimeout(ctx, dialTimeout)
	conn, err := rpcconn.Dial(dialCtx, addr)
	dialled()
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	// Closing the connection ends a stream whose peer no longer answers.
	watchdog := time.AfterFunc(silence, func() { _ = conn.Close() })
	defer watchdog.Stop()
	stream, err := rpc.NewDRPCFleetClient(conn).Follow(ctx)
	if err != nil {
		return 0, fmt.Errorf("follow %s: %w", addr, err)
	}
	if err := stream.Send(&rpc.FollowerMessage{Name: c.cfg.Name, Zone: c.cfg.Zone, Role: c.cfg.Role}); err != nil {
		return 0, fmt.Errorf("follow %s: %w", addr, err)
	}
	if err := c.tellKnown(stream); err != nil {
		return 0, fmt.Errorf("follow %s: %w", addr, err)
	}
	c.setStream(addr, stream)
	defer c.setStream(addr, nil)
	var lists []string // what this control server listed last: it says so once
	for {
		u, err := stream.Recv()
		if err != nil {
			return received, streamError(addr, err)
		}
		watchdog.Reset(silence)
		if len(u.ControlAddrs) > 0 {
			lists = u.ControlAddrs
		}
		c.list(run, lists)
		if u.Number == 0 {
			continue
		}
		if received == 0 {
			c.cfg.Logger.Info().Str("control", addr).Msg("control server reached")
		}
		received++
		c.answerTurns(u.Turns)
		c.cfg.Update(addr, u)
		if u.ConfigVersion > 0 {
			c.tellHeld(stream)
		}
		if err := stream.Send(&rpc.FollowerMessage{Acknowledged: u.Number, ConfigVersion: c.held()}); err != nil {
			return received, streamError(addr, err)
		}
	}
}

// tellKnown tells a control server what it does not know if it has just started.
func (c *Client) tellKnown(stream rpc.DRPCFleet_FollowClient) error {
	now := clock.Now()
	m := &rpc.FollowerMessage{}
	if c.cfg.Suspicions != nil {
		m.Suspicions = SuspicionsToProto(c.cfg.Suspicions(), now)
	}
	if len(m.Suspicions) > 0 {
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	m = &rpc.FollowerMessage{}
	if c.cfg.Signals != nil {
		m.Signals = SignalsToProto(c.cfg.Signals(), now)
	}
	if len(m.Signals) > 0 {
		return stream.Send(m)
	}
	return nil
}

func streamError(addr string, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, drpc.ClosedError.New("")) {
		return fmt.Errorf("stream of %s ended", addr)
	}
	return fmt.Errorf("stream of %s: %w", addr, err)
}
