// Package follow subscribes a daemon to the control servers: one stream from each,
// with the committed configuration, the versions of weights and the backend
// servers. State: one goroutine and one stream by control server; a Viewer merges
// the updates into a View. Messages: rpc.Fleet Follow.
package follow

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rendezvous"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

const (
	// KeepAlive is how often a control server sends something on each stream.
	KeepAlive = 400 * time.Millisecond
	// silenceTimeout is after how long without a message a stream is closed: three
	// keep-alives and the delay of a slow machine. TCP alone would take minutes to
	// detect a network partition.
	silenceTimeout = 1500 * time.Millisecond
	// maxFirstTimeout bounds the wait for the first message of a stream, which grows with failures in a row: over a path that delays by
	// more than silenceTimeout no stream would ever be followed, though its messages keep coming.
	maxFirstTimeout = 3 * silenceTimeout
	// drainTimeout is for how long a silent stream is still read beside the one that replaces it, which has its first message by then.
	drainTimeout = maxFirstTimeout - silenceTimeout
	// reconnectPause is the mean pause after a stream has ended. It is doubled with each stream in a
	// row that the control server accepted and did not serve for servedAfter, up to
	// maxReconnectPause: then it has too many followers to join, and each new stream is more work.
	reconnectPause    = 150 * time.Millisecond
	maxReconnectPause = 5 * time.Second
	servedAfter       = 3 * time.Second
	// failurePause is for how long other control servers are preferred to one that
	// failed.
	failurePause = 3 * time.Second
	// unlistedTimeout is for how long a control server is still followed after it was
	// last listed by the settings or by a control server.
	unlistedTimeout = 20 * time.Second
)

// Config is the configuration of a Client.
type Config struct {
	// Name, Zone and Role (entry, agent or control) of this daemon.
	Name string
	Zone string
	Role string
	// RegionOf returns the region of a zone, empty if it is not known. Entries with it take presence from the nearest control
	// servers; if it is nil, every control server sends it.
	RegionOf func(zone string) string
	// Self is the rpc address of this daemon if it is a control server: it does
	// not follow itself.
	Self string
	// MaxServers is how many control servers are followed at once; 0 is all of them.
	// Daemons that need only committed state follow a few.
	MaxServers int
	// Seeds returns the control servers that the settings name.
	Seeds func() []string
	// ConfigVersion returns the version of the newest configuration that was accepted, so that
	// other control servers do not send it again. It may be nil.
	ConfigVersion func() uint64
	// Suspicions returns all suspicions known to this daemon. They are sent at the start
	// of each stream, since a control server that has restarted has none. It may be nil.
	Suspicions func() []quarantine.Update
	// Signals returns all signals of backend servers known to this daemon, for the same
	// reason. It may be nil.
	Signals func() []backpressure.Update
	// Versions returns the versions of weights known to this daemon, for the same reason: after a
	// restart of all control servers only their followers know the times of the namings. It may
	// be nil.
	Versions func() map[string]ledger.Version
	// Update processes an update of a control server, whose ages count from at. Calls for one source are
	// in order, but for namings alone that come late; those for several sources are concurrent.
	Update func(source string, u *rpc.FleetUpdate, at Anchor)
	// Unchanged is called for a message by which a control server says that it knew no other naming of weights at a time; it may be nil.
	Unchanged func(source string, at Anchor)
	// Lost is called when a stream has ended.
	Lost   func(source string)
	Logger zerolog.Logger
}

// Client follows the control servers.
type Client struct {
	cfg Config

	mu    sync.Mutex
	known map[string]*source
	// running counts the goroutines that follow a control server.
	running sync.WaitGroup
	// turnRequests are the requests for turns that are pending or granted, by digest of the request
	// content.
	turnRequests map[quarantine.Digest]*turnRequest
	lastTurnID   uint64
	// sourcesChanged wakes Run to choose the sources of presence anew.
	sourcesChanged chan struct{}
	// confirmedAt is what ConfirmedAt returns, nil for zero.
	confirmedAt atomic.Pointer[time.Time]

	pathSeconds prometheus.Histogram
}

// source is one control server.
type source struct {
	cancel   context.CancelFunc
	listedAt time.Time
	// failedAt is when the last stream ended or the last connection attempt failed.
	failedAt time.Time
	// stream is nil while there is no open stream.
	stream rpc.DRPCFleet_FollowClient
	// presence is nil until the control server has told its zone on this stream, and interest what it was told last.
	presence *presenceSource
	interest rpc.PresenceInterest
	// forwards: it forwards presence to other control servers.
	forwards bool
	// toldAt is as of when it has told all namings of weights that it knows, zero if it has not.
	toldAt time.Time
}

// SendReport sends an agent's report on all open streams if all is set, else on one of
// them. One is enough for a report that changes nothing that control servers forward. Agents prefer different control
// servers, so that each forwards its part.
func (c *Client) SendReport(r *rpc.AgentReport, all bool) {
	for _, stream := range c.streams() {
		// The goroutine of a failed stream reconnects, and each report is complete
		// in itself.
		if err := stream.Send(&rpc.FollowerMessage{Report: r}); err == nil && !all {
			return
		}
	}
}

func (c *Client) configVersion() uint64 {
	if c.cfg.ConfigVersion == nil {
		return 0
	}
	return c.cfg.ConfigVersion()
}

// sendConfigVersion sends the version of the accepted configuration to the other control
// servers. Each of them would send the same document otherwise, and documents are most
// of what they send.
func (c *Client) sendConfigVersion(except rpc.DRPCFleet_FollowClient) {
	version := c.configVersion()
	for _, stream := range c.streams() {
		if stream != except {
			// The goroutine of a failed stream reconnects.
			_ = stream.Send(&rpc.FollowerMessage{ConfigVersion: version})
		}
	}
}

// streams returns the open streams in the order of this daemon's preference, by rendezvous hashing.
func (c *Client) streams() []rpc.DRPCFleet_FollowClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []rpc.DRPCFleet_FollowClient
	preferred := slices.SortedFunc(maps.Keys(c.known), func(a, b string) int { return cmp.Compare(c.weight(b), c.weight(a)) })
	for _, addr := range preferred {
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

// setStream records an open stream whose control server was told this interest in presence.
func (c *Client) setStream(addr string, stream rpc.DRPCFleet_FollowClient, interest rpc.PresenceInterest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.known[addr]; s != nil {
		s.stream, s.interest = stream, interest
		s.presence, s.forwards = nil, false
	}
}

// removeStream records that a stream has ended. A control server that was dropped and is listed again may
// have a new stream by then.
func (c *Client) removeStream(addr string, stream rpc.DRPCFleet_FollowClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.known[addr]; s != nil && s.stream == stream {
		s.stream, s.presence, s.forwards = nil, nil, false
	}
}

// New returns a client; Run starts it.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, known: map[string]*source{}, turnRequests: map[quarantine.Digest]*turnRequest{}, sourcesChanged: make(chan struct{}, 1), pathSeconds: newPathSeconds(cfg.Role)}
}

// Run follows the control servers until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		c.addListed(ctx, c.cfg.Seeds())
		c.dropUnlisted()
		c.updatePresence()
		select {
		case <-c.sourcesChanged:
		case <-ticker.C:
		case <-ctx.Done():
			c.running.Wait()
			return ctx.Err()
		}
	}
}

// addListed starts to follow the control servers in this list that are not known yet.
func (c *Client) addListed(ctx context.Context, addrs []string) {
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
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			c.follow(sourceCtx, ctx, addr)
		}()
	}
}

func (c *Client) dropUnlisted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, s := range c.known {
		if clock.Since(s.listedAt) > unlistedTimeout {
			s.cancel()
			delete(c.known, addr)
		}
	}
}

// follow keeps a stream open to one control server until ctx is done. run is the
// context of Run.
func (c *Client) follow(ctx, run context.Context, addr string) {
	lost := false
	failed, unserved, silent := 0, 0, false
	for ctx.Err() == nil {
		if !c.mayFollow(addr) {
			select {
			case <-time.After(reconnectPause):
				continue
			case <-ctx.Done():
				return
			}
		}
		began := clock.Now()
		received, err := c.stream(ctx, run, addr, failed, firstTimeout(failed, silent))
		if ctx.Err() != nil {
			return
		}
		unserved, silent = countUnserved(unserved, err, clock.Since(began)), errors.Is(err, errSilent)
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
		pause := pauseAfter(unserved)
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
	}
}

// countUnserved returns the number of streams in a row that a control server accepted and did not
// serve for servedAfter, after one more that has lasted for d. A dial that fails says nothing: it
// costs a control server that is up nothing.
func countUnserved(before int, err error, d time.Duration) int {
	switch {
	case d >= servedAfter:
		return 0
	case errors.Is(err, errNotConnected):
		return before
	}
	return before + 1
}

// pauseAfter returns the mean pause after this many unserved streams in a row.
func pauseAfter(unserved int) time.Duration {
	pause := reconnectPause
	for ; unserved > 1 && pause < maxReconnectPause; unserved-- {
		pause *= 2
	}
	return min(pause, maxReconnectPause)
}

// errNotConnected means that no connection to a control server was made.
var errNotConnected = errors.New("not connected")

// mayFollow reports whether a control server is among the MaxServers that rank first for
// this daemon by rendezvous hashing, of those with an open stream and those that have
// not failed within failurePause.
func (c *Client) mayFollow(addr string) bool {
	if c.cfg.MaxServers <= 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := 0
	own := c.weight(addr)
	for other, s := range c.known {
		usable := s.stream != nil || clock.Since(s.failedAt) > failurePause
		if other != addr && usable && c.weight(other) > own {
			before++
		}
	}
	return before < c.cfg.MaxServers
}

func (c *Client) weight(addr string) uint64 {
	return rendezvous.Weight(rendezvous.Hash(c.cfg.Name), rendezvous.Hash(addr))
}

// firstTimeout returns how long the first message of a stream may take after this many failures in a row, or after a stream that was
// closed because of its silence.
func firstTimeout(failed int, silent bool) time.Duration {
	if failed > 0 || silent {
		return maxFirstTimeout
	}
	return silenceTimeout
}

// errSilent means that a stream was closed since nothing was received.
var errSilent = errors.New("silent")

// stream connects to a control server, which has failed this many times in a row, and processes its updates until the stream fails
// or nothing is received for silenceTimeout, at first for firstTimeout. What is still on its way on one that falls silent is drained.
func (c *Client) stream(ctx, run context.Context, addr string, failed int, firstTimeout time.Duration) (received int, err error) {
	s, err := c.connect(ctx, addr, failed)
	if err != nil {
		return 0, err
	}
	received, err = c.process(run, addr, s, firstTimeout)
	if received == 0 || !errors.Is(err, errSilent) {
		s.close()
		return received, err
	}
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		c.drain(addr, s)
	}()
	return received, err
}

// connect opens a stream from a control server.
func (c *Client) connect(ctx context.Context, addr string, failed int) (*session, error) {
	dialCtx, cancelDial := context.WithTimeout(ctx, rpcconn.RedialTimeout(failed))
	conn, err := rpcconn.Dial(dialCtx, addr)
	cancelDial()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotConnected, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := rpc.NewDRPCFleetClient(conn).Follow(ctx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, fmt.Errorf("follow %s: %w", addr, err)
	}
	s := newSession(stream)
	s.close = func() {
		cancel()
		_ = conn.Close() // ends a stream whose peer no longer responds
	}
	go s.read(ctx)
	return s, nil
}

// process processes the updates of a stream until it fails or is silent.
func (c *Client) process(run context.Context, addr string, in *session, firstTimeout time.Duration) (received int, err error) {
	stream := in.stream
	silence := time.NewTimer(firstTimeout)
	defer silence.Stop()
	watchdog := time.AfterFunc(firstTimeout+drainTimeout, in.close) // ends a send that blocks
	defer watchdog.Stop()
	interest := c.interestAtStart()
	if err := in.send(&rpc.FollowerMessage{Name: c.cfg.Name, Zone: c.cfg.Zone, Role: c.cfg.Role, Presence: interest}); err != nil {
		return 0, fmt.Errorf("follow %s: %w", addr, err)
	}
	if err := c.sendKnown(stream); err != nil {
		return 0, fmt.Errorf("follow %s: %w", addr, err)
	}
	c.setStream(addr, stream, interest)
	defer c.notifySourcesChanged() // another control server takes over
	defer c.removeStream(addr, stream)
	for {
		u, at, err := in.receive(silence.C)
		if err != nil {
			return received, streamError(addr, err)
		}
		silence.Reset(silenceTimeout)
		watchdog.Reset(silenceTimeout + drainTimeout)
		c.observe(at)
		if err := in.sendNamings(c.cfg.Versions); err != nil {
			return received, streamError(addr, err)
		}
		if len(u.ControlAddrs) > 0 {
			in.listed = u.ControlAddrs
		}
		c.addListed(run, in.listed)
		c.noteConfirmed(addr, u, at, in.listed)
		if u.Number == 0 {
			if c.cfg.Unchanged != nil {
				c.cfg.Unchanged(addr, at)
			}
			if err := in.renewStamp(at.ReceivedAt); err != nil {
				return received, streamError(addr, err)
			}
			continue
		}
		if received == 0 {
			c.cfg.Logger.Info().Str("control", addr).Msg("following control server")
		}
		received++
		c.deliverTurns(stream, u.Turns)
		if u.Sender != nil {
			c.noteSender(addr, u.Sender)
		}
		c.cfg.Update(addr, u, at)
		if u.ConfigVersion > 0 {
			c.sendConfigVersion(stream)
		}
		if err := in.send(&rpc.FollowerMessage{Acknowledged: u.Number, ConfigVersion: c.configVersion()}); err != nil {
			return received, streamError(addr, err)
		}
	}
}

// drain merges the namings that are on their way on a silent stream, and closes it. A path that has become slow delivers them before
// another stream does, which takes a round trip more.
func (c *Client) drain(addr string, in *session) {
	defer in.close()
	timeout := time.NewTimer(drainTimeout)
	defer timeout.Stop()
	for {
		u, at, err := in.receive(timeout.C)
		if err != nil {
			return
		}
		if len(u.Versions) > 0 {
			c.cfg.Update(addr, &rpc.FleetUpdate{Versions: u.Versions}, at)
		}
		c.noteConfirmed(addr, u, at, in.listed)
	}
}

// observe counts for how long a message was under way.
func (c *Client) observe(at Anchor) {
	if at.Echoed {
		c.pathSeconds.Observe(at.Path().Seconds())
	}
}

// sendKnown sends all known suspicions and signals, which a control server that has just started does
// not have.
func (c *Client) sendKnown(stream rpc.DRPCFleet_FollowClient) error {
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
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// knownNamings returns the wire form of the namings whose time is known.
func knownNamings(versions map[string]ledger.Version, now time.Time) []*rpc.ModelVersion {
	var out []*rpc.ModelVersion
	for model, newest := range versions {
		for _, v := range newest.History() {
			if !v.TimeUnknown {
				out = append(out, ledger.NamingsToProto(model, v, now)...)
			}
		}
	}
	return out
}

func streamError(addr string, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, drpc.ClosedError.New("")) {
		return fmt.Errorf("stream from %s ended", addr)
	}
	return fmt.Errorf("stream from %s: %w", addr, err)
}
