package configfeed

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/pause"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// Defaults of ClientConfig.
const (
	DefaultStartWait   = 5 * time.Second
	DefaultPatience    = 6 * time.Second
	DefaultDialTimeout = 2 * time.Second
	defaultMinBackoff  = 250 * time.Millisecond
	defaultMaxBackoff  = 10 * time.Second
)

// checkInterval is how often a client looks at its waits.
const checkInterval = 500 * time.Millisecond

// ClientConfig says which sources a client follows.
type ClientConfig struct {
	// Name of the subscribing process.
	Name string
	// Upstreams are rpc addresses of sources, in the order of preference;
	// see RendezvousOrder.
	Upstreams []string
	// Prefixes select keys; none means all.
	Prefixes []string
	// FloorPath is a file that keeps the highest revision in force across
	// restarts; empty where the process has no folder of its own.
	FloorPath string
	// StartWait is how long the first configuration must come from a
	// confirmed source; afterwards the highest one of the neighbours is taken.
	StartWait time.Duration
	// Patience is how long a source may be silent, behind or unconfirmed.
	Patience    time.Duration
	DialTimeout time.Duration
	Logger      zerolog.Logger
	// Registerer takes the metrics; may be nil.
	Registerer prometheus.Registerer
}

func (c ClientConfig) withDefaults() ClientConfig {
	if c.StartWait == 0 {
		c.StartWait = DefaultStartWait
	}
	if c.Patience == 0 {
		c.Patience = DefaultPatience
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	return c
}

// Client keeps a Store up to date. Run it in one goroutine.
type Client struct {
	cfg     ClientConfig
	store   *Store
	floor   floorFile
	metrics clientMetrics
	chooser *chooser
	// candidate is the view held by a starting process.
	candidate *keyspace.View
	ready     chan struct{}
	readyOnce sync.Once
	// confirmedAt is chooser.lastConfirmed for other goroutines, nil before the
	// first. It holds a monotonic reading: a step of the clock must not make
	// old state look fresh.
	confirmedAt atomic.Pointer[time.Time]
	source      atomic.Pointer[string]
}

// NewClient reads the revision floor and makes a client.
func NewClient(cfg ClientConfig) (*Client, error) {
	if len(cfg.Upstreams) == 0 {
		return nil, errors.New("configuration feed: no sources to subscribe to")
	}
	cfg = cfg.withDefaults()
	c := &Client{
		cfg:     cfg,
		store:   NewStore(),
		floor:   floorFile{path: cfg.FloorPath},
		metrics: newClientMetrics(cfg.Registerer),
		ready:   make(chan struct{}),
	}
	floor, err := c.floor.load()
	if err != nil {
		return nil, err
	}
	c.chooser = newChooser(len(cfg.Upstreams), floor, timing{
		startWait:  cfg.StartWait,
		patience:   cfg.Patience,
		minBackoff: defaultMinBackoff,
		maxBackoff: defaultMaxBackoff,
	}, time.Now())
	c.metrics.unconfirmed.Set(1)
	return c, nil
}

// Store returns the store that the client writes, for a Source.
func (c *Client) Store() *Store { return c.store }

// View returns the configuration in force.
func (c *Client) View() *keyspace.View { return c.store.View() }

// Revision returns the revision in force, 0 before the first.
func (c *Client) Revision() uint64 { return c.store.Revision() }

// Changed returns a channel that is closed at the next revision; see Store.Changed.
func (c *Client) Changed() <-chan struct{} { return c.store.Changed() }

// Ready returns a channel that is closed when the first revision is in force.
func (c *Client) Ready() <-chan struct{} { return c.ready }

// Unconfirmed reports whether the configuration in force was not confirmed
// with a quorum lately.
func (c *Client) Unconfirmed() bool {
	at := c.confirmedAt.Load()
	return at == nil || time.Since(*at) > c.cfg.Patience
}

// Confirmed is the opposite of Unconfirmed, for SourceConfig.
func (c *Client) Confirmed() bool { return !c.Unconfirmed() }

// Upstream returns the address of the source followed now, or "".
func (c *Client) Upstream() string {
	if addr := c.source.Load(); addr != nil {
		return *addr
	}
	return ""
}

// Run follows sources until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a := c.chooser.next(time.Now())
		if !pause.For(ctx, a.wait+c.jitter(a.wait)) {
			break
		}
		addr := c.cfg.Upstreams[a.upstream]
		c.metrics.attempts.Inc()
		err := c.follow(ctx, addr, a.needConfirmed)
		c.source.Store(nil)
		if ctx.Err() != nil {
			break
		}
		c.cfg.Logger.Debug().Str("source", addr).Err(err).Msg("left configuration source")
		if v := c.chooser.lost(time.Now()); v.adopt {
			c.publish(c.candidate, nil, true)
			c.candidate = nil
			c.cfg.Logger.Warn().Uint64("revision", c.Revision()).Msg("took unconfirmed configuration")
		}
	}
	return ctx.Err()
}

// jitter spreads the attempts of many clients by up to a quarter of the wait,
// the same for one client each time.
func (c *Client) jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) / 4 * float64(hash64(c.cfg.Name)%1024) / 1024)
}

// errMove says that the client leaves a source for another one.
var errMove = errors.New("source is behind or unconfirmed")

// errSilent says that a source sent nothing for too long.
var errSilent = errors.New("source is silent")

// follow subscribes to one source and takes its updates until it is left.
func (c *Client) follow(ctx context.Context, addr string, needConfirmed bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialer := net.Dialer{Timeout: c.cfg.DialTimeout}
	tcp, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	conn := rpcconn.NewConn(tcp)
	defer conn.Close()
	stream, err := rpc.NewDRPCFeedClient(conn).Subscribe(ctx, &rpc.SubscribeRequest{
		Subscriber:    c.cfg.Name,
		Prefixes:      c.cfg.Prefixes,
		HaveRevision:  c.Revision(),
		NeedConfirmed: needConfirmed,
	})
	if err != nil {
		return fmt.Errorf("subscribe: %w", err)
	}
	c.source.Store(&addr)
	in := receive(ctx, stream, c.metrics)
	return c.takeUpdates(ctx, in)
}

// takeUpdates handles the updates of one source until it is left.
func (c *Client) takeUpdates(ctx context.Context, in *inbox) error {
	check := time.NewTicker(min(checkInterval, c.cfg.Patience/4))
	defer check.Stop()
	heard := time.Now()
	for {
		select {
		case <-in.ready:
			heard = time.Now()
			u, err := in.take()
			if u != nil && c.handle(*u) {
				return errMove
			}
			if err != nil {
				return err
			}
		case <-check.C:
			c.noteConfirmed()
			if time.Since(heard) > c.cfg.Patience {
				return errSilent
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handle decides on one update and reports whether to leave its source.
func (c *Client) handle(u wholeUpdate) bool {
	v := c.chooser.offered(offer{revision: u.revision, confirmed: u.confirmed}, time.Now())
	if v.refused {
		c.metrics.refused.Inc()
	}
	if v.take {
		c.publish(c.applied(u))
	}
	if v.hold {
		c.candidate, _, _ = c.applied(u)
	}
	c.noteConfirmed()
	return v.move
}

// applied returns the view that an update leads to, the changes in between,
// and whether the view stands alone.
func (c *Client) applied(u wholeUpdate) (*keyspace.View, []*keyspace.Entry, bool) {
	old := c.View()
	if !u.snapshot {
		return old.Apply(u.revision, u.changes), u.changes, false
	}
	view := keyspace.NewView(u.revision, u.changes)
	if old.Revision() == 0 {
		return view, nil, true
	}
	return view, keyspace.Diff(old, view), false
}

// publish puts a view into force once its revision is the floor on disk.
func (c *Client) publish(view *keyspace.View, changes []*keyspace.Entry, whole bool) {
	if err := c.floor.save(view.Revision()); err != nil {
		c.metrics.floorErrors.Inc()
		c.cfg.Logger.Error().Err(err).Msg("revision floor not kept")
	}
	if whole {
		c.store.Replace(view)
	} else {
		c.store.Advance(view, changes)
	}
	c.metrics.revision.Set(float64(view.Revision()))
	c.readyOnce.Do(func() { close(c.ready) })
}

// noteConfirmed makes the chooser's view of confirmation visible, and logs
// when it changes.
func (c *Client) noteConfirmed() {
	before := c.confirmedAt.Load()
	if at := c.chooser.lastConfirmed; !at.IsZero() {
		c.confirmedAt.Store(&at)
	}
	value := 0.0
	if c.Unconfirmed() {
		value = 1
	}
	c.metrics.unconfirmed.Set(value)
	if before == nil && value == 0 {
		c.cfg.Logger.Info().Uint64("revision", c.Revision()).Msg("configuration confirmed")
	}
}

// RendezvousOrder returns the addresses in an order that differs from name to
// name, so that many processes spread over them evenly, and that moves few
// processes when an address comes or goes.
func RendezvousOrder(name string, addrs []string) []string {
	out := append([]string(nil), addrs...)
	sort.SliceStable(out, func(i, j int) bool {
		return hash64(name+"\x00"+out[i]) > hash64(name+"\x00"+out[j])
	})
	return out
}

func hash64(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	x := h.Sum64()
	// FNV alone leaves similar names close together; mix the bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
