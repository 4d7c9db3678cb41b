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

// checkInterval is how often a client checks its timeouts.
const checkInterval = 500 * time.Millisecond

// ClientConfig sets which sources a client follows, and its timeouts.
type ClientConfig struct {
	// Name of the subscribing process.
	Name string
	// Upstreams are the rpc addresses of the sources, in order of preference;
	// see RendezvousOrder.
	Upstreams []string
	// Prefixes select the keys to receive; empty selects all keys.
	Prefixes []string
	// FloorPath is the file that keeps the revision floor across restarts; empty
	// for a process without a data folder.
	FloorPath string
	// StartWait is how long a starting process accepts only a confirmed
	// configuration; after that it applies the highest revision that the sources
	// offer.
	StartWait time.Duration
	// Patience is how long a source may be silent, behind or unconfirmed before
	// the client moves to the next one.
	Patience    time.Duration
	DialTimeout time.Duration
	Logger      zerolog.Logger
	// Registerer registers the metrics; may be nil.
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

// Client keeps a Store up to date. Call Run in one goroutine.
type Client struct {
	cfg     ClientConfig
	store   *Store
	floor   floorFile
	metrics clientMetrics
	chooser *chooser
	// candidate is the highest unconfirmed view that a starting process received.
	candidate *keyspace.View
	ready     chan struct{}
	readyOnce sync.Once
	// confirmedAt is a copy of chooser.lastConfirmed for other goroutines, nil
	// before the first confirmation. It has a monotonic clock reading, so that a
	// step of the wall clock can't make an old configuration look confirmed.
	confirmedAt atomic.Pointer[time.Time]
	source      atomic.Pointer[string]
}

// NewClient returns a client. It reads the revision floor from FloorPath.
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
		startWait:    cfg.StartWait,
		staleTimeout: cfg.Patience,
		minBackoff:   defaultMinBackoff,
		maxBackoff:   defaultMaxBackoff,
	}, time.Now())
	c.metrics.unconfirmed.Set(1)
	return c, nil
}

// Store returns the client's store, which a Source can serve.
func (c *Client) Store() *Store { return c.store }

// View returns the configuration in force.
func (c *Client) View() *keyspace.View { return c.store.View() }

// Revision returns the revision in force, 0 before the first.
func (c *Client) Revision() uint64 { return c.store.Revision() }

// Changed returns a channel that is closed at the next revision; see Store.Changed.
func (c *Client) Changed() <-chan struct{} { return c.store.Changed() }

// Ready returns a channel that is closed when the first revision is in force.
func (c *Client) Ready() <-chan struct{} { return c.ready }

// Unconfirmed reports whether the configuration in force was not confirmed with a
// quorum within the last Patience.
func (c *Client) Unconfirmed() bool {
	at := c.confirmedAt.Load()
	return at == nil || time.Since(*at) > c.cfg.Patience
}

// Confirmed is the opposite of Unconfirmed, for SourceConfig.Confirmed.
func (c *Client) Confirmed() bool { return !c.Unconfirmed() }

// Upstream returns the address of the current source, or "" if there is none.
func (c *Client) Upstream() string {
	if addr := c.source.Load(); addr != nil {
		return *addr
	}
	return ""
}

// Run follows the sources until ctx is done.
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
		if v := c.chooser.sourceLeft(time.Now()); v.adopt {
			c.publish(c.candidate, nil, true)
			c.candidate = nil
			c.cfg.Logger.Warn().Uint64("revision", c.Revision()).Msg("unconfirmed configuration applied")
		}
	}
	return ctx.Err()
}

// jitter spreads the connections of many clients by up to a quarter of the wait.
// It is derived from the client's name, so it is the same each time.
func (c *Client) jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) / 4 * float64(hash64(c.cfg.Name)%1024) / 1024)
}

// errStale means that the client left a source that is behind or unconfirmed.
var errStale = errors.New("source is behind or unconfirmed")

// errSilent means that a source sent nothing for longer than Patience.
var errSilent = errors.New("source is silent")

// follow subscribes to one source and handles its updates until the source is
// left.
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
	return c.handleUpdates(ctx, in)
}

// handleUpdates handles the updates of one source until the source is left.
func (c *Client) handleUpdates(ctx context.Context, in *inbox) error {
	check := time.NewTicker(min(checkInterval, c.cfg.Patience/4))
	defer check.Stop()
	lastReceived := time.Now()
	for {
		select {
		case <-in.ready:
			lastReceived = time.Now()
			u, err := in.take()
			if u != nil && c.handle(*u) {
				return errStale
			}
			if err != nil {
				return err
			}
		case <-check.C:
			c.publishConfirmed()
			if time.Since(lastReceived) > c.cfg.Patience {
				return errSilent
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handle applies, keeps or refuses one update and reports whether to leave its
// source.
func (c *Client) handle(u wholeUpdate) bool {
	v := c.chooser.offered(offer{revision: u.revision, confirmed: u.confirmed}, time.Now())
	if v.refused {
		c.metrics.refused.Inc()
	}
	if v.apply {
		c.publish(c.applied(u))
	}
	if v.keep {
		c.candidate, _, _ = c.applied(u)
	}
	c.publishConfirmed()
	return v.leave
}

// applied returns the view after an update, the changes from the view in force,
// and whether the view is the first one and has no such changes.
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

// publish saves the revision of a view as the floor, then puts the view into
// force. If saving fails, the view is put into force nevertheless.
func (c *Client) publish(view *keyspace.View, changes []*keyspace.Entry, first bool) {
	if err := c.floor.save(view.Revision()); err != nil {
		c.metrics.floorErrors.Inc()
		c.cfg.Logger.Error().Err(err).Msg("revision floor not saved")
	}
	if first {
		c.store.Replace(view)
	} else {
		c.store.Advance(view, changes)
	}
	c.metrics.revision.Set(float64(view.Revision()))
	c.readyOnce.Do(func() { close(c.ready) })
}

// publishConfirmed copies the chooser's lastConfirmed for other goroutines, sets
// the metric, and logs the first confirmation.
func (c *Client) publishConfirmed() {
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

// RendezvousOrder returns the addresses in the order of rendezvous hashing by
// name: many processes spread evenly over the addresses, and few of them change
// their order of preference when an address is added or removed.
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
	// FNV gives similar names close hashes; the finalizer of MurmurHash3 mixes
	// the bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
