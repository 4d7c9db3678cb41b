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
	DefaultForgetAfter    = 24 * time.Hour
	DefaultProposeTimeout = 5 * time.Second
	DefaultPlanDelay      = 100 * time.Millisecond
	DefaultConfirmWindow  = 3 * time.Second
	// tickInterval is how often the loop looks at leadership and leases.
	tickInterval = 200 * time.Millisecond
	// confirmRetries is how much sooner it asks again after a failure.
	confirmRetries = 10
	// leaseChecks is how often leases are looked at within one lease.
	leaseChecks = 6
	// minLease is the shortest lease; the loop must be able to look at it
	// leaseChecks times.
	minLease = 2 * time.Second
	// claimExpiryInterval is how often claims are expired.
	claimExpiryInterval = 10 * time.Second
	// confirmsPerWindow is how often a server asks the quorum in a window.
	confirmsPerWindow = 3
	// promoteInterval is how often a leader tries to promote learners.
	promoteInterval = 2 * time.Second
	// planRestFactor times its own duration is the least time between the end
	// of a plan and the next one: planning takes at most a twentieth of a core.
	planRestFactor = 19
	// maxBatch bounds the records of one proposal of the loop.
	maxBatch = 1000
	// eventQueue is how many events may wait for the loop.
	eventQueue = 256
)

// Config says how a control server works.
type Config struct {
	// Name, Zone and Addr (rpc IP:port) of this server; AdminAddr is the
	// IP:port of its operators' API.
	Name      string
	Zone      string
	Addr      string
	AdminAddr string
	// Incarnation rises with every start of the process.
	Incarnation uint64
	// Peers are the rpc addresses of the control servers, this one included.
	Peers []string
	// AdminAddrs are the operators' API addresses of the peers, by name.
	AdminAddrs map[string]string
	// Lease is how long a daemon counts as up after its last announcement; at
	// least two seconds.
	Lease time.Duration
	// ForgetAfter is how long a member is down before its record is removed.
	ForgetAfter time.Duration
	// ProposeTimeout bounds the wait for the log.
	ProposeTimeout time.Duration
	// PlanDelay is the least time between an event and the plan it leads to.
	PlanDelay time.Duration
	// ConfirmWindow is how old the last contact with a quorum may be for this
	// server to count as current.
	ConfirmWindow time.Duration
	// Limits of what the state machine remembers of changes.
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
	setDefault(&c.ForgetAfter, DefaultForgetAfter)
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
	// It holds a monotonic reading: a step of the clock must not make old
	// state look fresh.
	confirmedAt atomic.Pointer[time.Time]
	// leaderAdmin is the operators' API address of the leader as it told.
	leaderAdmin atomic.Pointer[leaderAdmin]
	stopped     chan struct{}
}

// leaderAdmin is where the leader at an rpc address serves operators.
type leaderAdmin struct{ rpcAddr, adminAddr string }

// New makes a control server and starts its log.
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
		events:  make(chan event, eventQueue),
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

// Register serves the log's own messages, rpc.Control and rpc.Feed.
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

// Run works until the context ends or the log fails. Call Stop afterwards.
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

// watchLog ends Run with an error when the log stops by itself.
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

// Stop hands leadership over and stops the log.
func (s *Server) Stop(ctx context.Context) error {
	err := s.log.Stop(ctx)
	return errors.Join(err, s.peers.Close())
}

// Store returns the configuration of this server.
func (s *Server) Store() *configfeed.Store { return s.store }

// Confirmed reports whether this server's view was confirmed with a quorum lately.
func (s *Server) Confirmed() bool {
	at := s.confirmedAt.Load()
	return at != nil && s.cfg.Now().Sub(*at) <= s.cfg.ConfirmWindow
}

// confirmViews asks the quorum at intervals whether the view is current. To
// hear from a leader is not enough: a server that was cut off hears of the
// leader before it has what it missed.
func (s *Server) confirmViews(ctx context.Context) error {
	for {
		wait := s.cfg.ConfirmWindow / confirmsPerWindow
		if !s.confirmView(ctx) {
			wait /= confirmRetries
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

// announceSelf tells the leader what this server has in force.
func (s *Server) announceSelf(ctx context.Context) error {
	announcer := controlclient.NewAnnouncer(controlclient.AnnouncerConfig{
		Client:  s.peers,
		Request: s.describeSelf,
		Renew:   s.cfg.Lease / 3,
		Logger:  s.cfg.Logger,
		Seed:    s.cfg.Incarnation,
		Answered: func(resp *rpc.AnnounceResponse) {
			s.leaderAdmin.Store(&leaderAdmin{rpcAddr: resp.LeaderAddr, adminAddr: resp.LeaderAdminAddr})
		},
	})
	go func() {
		for {
			changed := s.store.Changed()
			select {
			case <-changed:
				announcer.Changed()
			case <-ctx.Done():
				return
			}
		}
	}()
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
