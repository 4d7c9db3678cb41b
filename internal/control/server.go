package control

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/claims"
	"lynxgate.dev/lynxgate/internal/configfeed"
	"lynxgate.dev/lynxgate/internal/control/state"
	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Defaults of Config.
const (
	DefaultLease          = 30 * time.Second
	DefaultRemoveAfter    = 24 * time.Hour
	DefaultProposeTimeout = 5 * time.Second
	DefaultPlanDelay      = 100 * time.Millisecond
	DefaultConfirmWindow  = 3 * time.Second
	// tickInterval is how often the loop checks leadership and what is due.
	tickInterval = 200 * time.Millisecond
	// confirmRetryDivisor divides the time to the next confirmation after a
	// failed one.
	confirmRetryDivisor = 10
	// leaseChecks is the number of lease checks within one lease.
	leaseChecks = 6
	// minLease is the shortest lease allowed; its ticks must suffice for
	// leaseChecks checks.
	minLease = 2 * time.Second
	// claimExpiryInterval is how often claims are expired.
	claimExpiryInterval = 10 * time.Second
	// confirmsPerWindow is the number of confirmations per ConfirmWindow.
	confirmsPerWindow = 3
	// promoteInterval is how often a leader tries to promote learners.
	promoteInterval = 2 * time.Second
	// planPauseFactor times the duration of a plan is the minimum pause before the
	// next one, so that planning takes at most a twentieth of a core.
	planPauseFactor = 19
	// maxBatch bounds the records of one proposal of the loop.
	maxBatch = 1000
	// eventQueueSize is the capacity of the loop's event queue.
	eventQueueSize = 256
)

// Config configures a control server.
type Config struct {
	// Name, Zone and Addr (rpc IP:port) of this server; AdminAddr is the
	// IP:port of its operators' API.
	Name      string
	Zone      string
	Addr      string
	AdminAddr string
	// Incarnation is higher after every start of the process.
	Incarnation uint64
	// Peers are the rpc addresses of the control servers, this one included.
	Peers []string
	// AdminAddrs are the operators' API addresses of the peers, by name.
	AdminAddrs map[string]string
	// Lease is how long a daemon counts as up after its last announcement; at
	// least two seconds.
	Lease time.Duration
	// RemoveAfter is how long a member must be down before its record is removed.
	RemoveAfter time.Duration
	// ProposeTimeout bounds one proposal to the log or one read confirmed by it.
	ProposeTimeout time.Duration
	// PlanDelay is the minimum time between an event and the plan that it
	// schedules; events in between share the plan.
	PlanDelay time.Duration
	// ConfirmWindow is the maximum age of the last confirmation by a quorum for
	// this server's view to count as current.
	ConfirmWindow time.Duration
	// Limits bound the history of changes that the state machine keeps.
	Limits state.Limits
	// ClaimLimits bound the claims.
	ClaimLimits claims.Limits
	Logger      zerolog.Logger
	// Registerer takes the metrics; may be nil.
	Registerer prometheus.Registerer
	// Now is the clock, time.Now if nil.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	setDefault(&c.Lease, DefaultLease)
	setDefault(&c.RemoveAfter, DefaultRemoveAfter)
	setDefault(&c.ProposeTimeout, DefaultProposeTimeout)
	setDefault(&c.PlanDelay, DefaultPlanDelay)
	setDefault(&c.ConfirmWindow, DefaultConfirmWindow)
	if c.Limits == (state.Limits{}) {
		c.Limits = state.DefaultLimits
	}
	if c.ClaimLimits == (claims.Limits{}) {
		c.ClaimLimits = claims.DefaultLimits
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Server is one control server.
type Server struct {
	cfg     Config
	log     Log
	machine *state.Machine
	store   *configfeed.Store
	source  *configfeed.Source
	peers   *controlclient.Client
	metrics metrics
	events  chan event
	// confirmedAt is when the view was last known to be current, nil if never.
	// It has a monotonic clock reading, so that a step of the wall clock can't
	// make old state count as current.
	confirmedAt atomic.Pointer[time.Time]
	// leaderAdmin holds the addresses in the leader's last answer to this server's
	// announcement.
	leaderAdmin atomic.Pointer[leaderAdmin]
	stopped     chan struct{}
}

// leaderAdmin is the rpc address of a leader and that of its operators' API.
type leaderAdmin struct{ rpcAddr, adminAddr string }

// New returns a control server and starts its log. Call Run to run the server.
func New(cfg Config, open OpenLog) (*Server, error) {
	cfg = cfg.withDefaults()
	if cfg.Lease < minLease {
		return nil, fmt.Errorf("control: a lease of %s is shorter than %s", cfg.Lease, minLease)
	}
	s := &Server{
		cfg:     cfg,
		store:   configfeed.NewStore(),
		peers:   controlclient.New(controlclient.Config{Addrs: cfg.Peers}),
		metrics: newMetrics(cfg.Registerer),
		events:  make(chan event, eventQueueSize),
		stopped: make(chan struct{}),
	}
	s.machine = state.New(s.store)
	s.source = configfeed.NewSource(configfeed.SourceConfig{
		Store:      s.store,
		Confirmed:  s.Confirmed,
		Confirm:    s.readIndex,
		Registerer: cfg.Registerer,
	})
	log, err := open(s.machine)
	if err != nil {
		return nil, fmt.Errorf("start replicated log: %w", err)
	}
	s.log = log
	if c, ok := log.(prometheus.Collector); ok && cfg.Registerer != nil {
		if err := cfg.Registerer.Register(c); err != nil {
			return nil, errors.Join(fmt.Errorf("register metrics of the log: %w", err), log.Stop(context.Background()))
		}
	}
	return s, nil
}

// Register registers the log's RPCs, rpc.Control and rpc.Feed with mux.
func (s *Server) Register(mux drpc.Mux) error {
	if err := s.log.Register(mux); err != nil {
		return fmt.Errorf("register replication: %w", err)
	}
	if err := rpc.DRPCRegisterControl(mux, &service{server: s}); err != nil {
		return fmt.Errorf("register control: %w", err)
	}
	if err := rpc.DRPCRegisterFeed(mux, s.source); err != nil {
		return fmt.Errorf("register feed: %w", err)
	}
	return nil
}

// Run runs the server until ctx ends or the log fails. Call Stop afterwards.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.stopped)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.runLoop(ctx) })
	group.Go(func() error { return s.announceSelf(ctx) })
	group.Go(func() error { return s.confirmViews(ctx) })
	group.Go(func() error { return s.watchLog(ctx) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// watchLog returns an error, which ends Run, if the log stops by itself.
func (s *Server) watchLog(ctx context.Context) error {
	select {
	case <-s.log.Done():
		if s.log.Err() == nil {
			return nil // stopped by Stop
		}
		return fmt.Errorf("replicated log stopped: %w", s.log.Err())
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop transfers leadership and stops the log.
func (s *Server) Stop(ctx context.Context) error {
	err := s.log.Stop(ctx)
	return errors.Join(err, s.peers.Close())
}

// Store returns the store of this server's configuration.
func (s *Server) Store() *configfeed.Store { return s.store }

// Confirmed reports whether this server's view was confirmed with a quorum within
// ConfirmWindow.
func (s *Server) Confirmed() bool {
	at := s.confirmedAt.Load()
	return at != nil && s.cfg.Now().Sub(*at) <= s.cfg.ConfirmWindow
}

// confirmViews confirms the view with a quorum at intervals. Contact with the
// leader is not enough: after a partition a server has contact again before it
// has received the entries that it missed.
func (s *Server) confirmViews(ctx context.Context) error {
	for {
		wait := s.cfg.ConfirmWindow / confirmsPerWindow
		if !s.confirmView(ctx) {
			wait /= confirmRetryDivisor
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

func (s *Server) confirmView(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ConfirmWindow)
	defer cancel()
	began := s.cfg.Now()
	if _, err := s.readIndex(ctx); err != nil {
		return false
	}
	s.confirmedAt.Store(&began)
	return true
}

// readIndex returns a revision no lower than any change accepted before the
// call, confirmed with a quorum.
func (s *Server) readIndex(ctx context.Context) (uint64, error) {
	index, err := s.log.ReadIndex(ctx)
	if err != nil {
		return 0, err
	}
	if err := s.log.WaitApplied(ctx, index); err != nil {
		return 0, err
	}
	return s.store.Revision(), nil
}

// announceSelf announces this server and the revision it has in force to the
// leader.
func (s *Server) announceSelf(ctx context.Context) error {
	announcer := controlclient.NewAnnouncer(controlclient.AnnouncerConfig{
		Client:  s.peers,
		Request: s.describeSelf,
		Changes: s.store.Changed,
		Renew:   s.cfg.Lease / 3,
		Logger:  s.cfg.Logger,
		Seed:    s.cfg.Incarnation,
		Answered: func(resp *rpc.AnnounceResponse) {
			s.leaderAdmin.Store(&leaderAdmin{rpcAddr: resp.LeaderAddr, adminAddr: resp.LeaderAdminAddr})
		},
	})
	return announcer.Run(ctx)
}

func (s *Server) describeSelf() *rpc.AnnounceRequest {
	return &rpc.AnnounceRequest{
		Name:        s.cfg.Name,
		Role:        "control",
		Zone:        s.cfg.Zone,
		Addr:        s.cfg.Addr,
		AdminAddr:   s.cfg.AdminAddr,
		Incarnation: s.cfg.Incarnation,
		Revision:    s.store.Revision(),
		Unconfirmed: !s.Confirmed(),
	}
}
