// Package entry accepts the callers' requests, picks the backend server that
// runs each, and passes the complete answer on.
//
// State: the catalog built from the configuration in force, the reported state
// of the backend servers, and the requests in progress; nothing that must
// survive a restart. Messages: HTTP from callers, rpc.Dispatch to agents,
// rpc.Control (claims, announcements) to the control servers.
package entry

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/admission"
	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/retry"
	"lynxgate.dev/lynxgate/internal/routing"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
	"lynxgate.dev/lynxgate/internal/shutdown"
)

// Config of an Entry.
type Config struct {
	// Name and Zone of the daemon.
	Name string
	Zone string
	// Addr and AdminAddr are the daemon's drpc and HTTP addresses.
	Addr      string
	AdminAddr string
	// CallersAddr is where callers send their requests.
	CallersAddr string
	// TLSCert and TLSKey are PEM files; empty means plain HTTP.
	TLSCert, TLSKey string
	// MaxBodyBytes and MaxHeaderBytes bound a request.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// ReadHeaderTimeout bounds how long a caller takes to send a header, and
	// ReadBodyTimeout the whole request.
	ReadHeaderTimeout time.Duration
	ReadBodyTimeout   time.Duration
	IdleTimeout       time.Duration
	// StartWait bounds how long a starting entry waits for the reports of its
	// backend servers before it serves callers; DefaultStartWait unless set.
	StartWait time.Duration
	// LeaveGrace is how long a leaving entry still accepts new requests.
	LeaveGrace     time.Duration
	MaxConnections int
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline  time.Duration
	RetryBudgetRatio float64
	// WatchSubset is how many agents of each service are watched.
	WatchSubset int
	// Policy chooses backend servers; routing.Balanced unless set.
	Policy routing.Policy
	// QueueLength is the limit on requests in the wait queue.
	QueueLength int
	// Incarnation increases with every start of the entry.
	Incarnation uint64
	Logger      zerolog.Logger
	Registerer  prometheus.Registerer
}

// DefaultStartWait is the default of Config.StartWait.
const DefaultStartWait = 5 * time.Second

// DefaultReadBodyTimeout bounds how long a caller takes to send a request.
const DefaultReadBodyTimeout = 30 * time.Second

// Feed provides the configuration in force at this entry; configfeed.Client
// implements it.
type Feed interface {
	View() *keyspace.View
	Changed() <-chan struct{}
	Unconfirmed() bool
}

// Entry serves callers. Create it with New.
type Entry struct {
	cfg         Config
	feed        Feed
	control     *controlclient.Client
	announcer   *controlclient.Announcer
	pool        *rpcconn.Pool
	router      *router
	admission   *admission.Controller
	catalog     atomic.Pointer[catalog]
	retryPolicy retry.Policy
	metrics     *metrics
	server      *http.Server
	leaving     atomic.Bool
	serving     atomic.Bool
	// end is when the process ends. stopped counts the dispatched requests that it ended.
	end         *shutdown.End
	stopped     atomic.Int64
	answerTimes answerTimes

	budgetMu sync.Mutex
	budgets  map[string]*retry.Budget
}

// New returns an entry; Serve starts it.
func New(cfg Config, feed Feed, control *controlclient.Client) *Entry {
	if cfg.ReadBodyTimeout == 0 {
		cfg.ReadBodyTimeout = DefaultReadBodyTimeout
	}
	if cfg.LeaveGrace == 0 {
		cfg.LeaveGrace = DefaultLeaveGrace
	}
	if cfg.StartWait == 0 {
		cfg.StartWait = DefaultStartWait
	}
	e := &Entry{
		cfg:         cfg,
		feed:        feed,
		control:     control,
		pool:        rpcconn.NewPool(),
		end:         shutdown.NewEnd(),
		admission:   admission.NewController(admissionConfig(cfg), time.Now),
		retryPolicy: retry.DefaultPolicy,
		budgets:     map[string]*retry.Budget{},
	}
	e.metrics = newMetrics(cfg.Registerer)
	e.router = newRouter(e)
	e.catalog.Store(newCatalog(feed.View()))
	e.announcer = controlclient.NewAnnouncer(controlclient.AnnouncerConfig{
		Client:  control,
		Request: e.announcement,
		Changes: feed.Changed,
		Logger:  cfg.Logger,
		Seed:    cfg.Incarnation,
	})
	e.server = e.newServer()
	return e
}

// Serve accepts and serves callers until ctx is done.
func (e *Entry) Serve(ctx context.Context) error {
	lis, err := net.Listen("tcp", e.cfg.CallersAddr)
	if err != nil {
		return fmt.Errorf("callers_addr: %w", err)
	}
	return e.serveOn(ctx, lis)
}

// serveOn serves the callers that connect to lis until ctx is done.
func (e *Entry) serveOn(ctx context.Context, lis net.Listener) error {
	go func() { _ = e.announcer.Run(ctx) }()
	go e.router.run(ctx)
	go e.admission.Run(ctx)
	defer e.pool.Close()
	e.awaitReports(ctx)
	e.serving.Store(true)
	return e.serveHTTP(ctx, lis)
}

// awaitReports delays the first callers, whose connections wait in the
// listener's backlog, until each watch of a backend server has received a state
// or failed, but for StartWait at most. Otherwise an entry that has just started
// would refuse them because it knows no backend server.
func (e *Entry) awaitReports(ctx context.Context) {
	timer := time.NewTimer(e.cfg.StartWait)
	defer timer.Stop()
	select {
	case <-e.router.allReported:
	case <-timer.C:
		e.cfg.Logger.Warn().Msg("serving callers although not all backend servers have reported")
	case <-ctx.Done():
	}
}

// follow applies a new configuration to further requests.
func (e *Entry) follow(view *keyspace.View) {
	cat := newCatalog(view)
	e.catalog.Store(cat)
	e.admission.SetOrganisations(slices.Collect(maps.Values(cat.organisations)))
}

func admissionConfig(cfg Config) admission.Config {
	c := admission.DefaultConfig
	c.Seed = cfg.Incarnation
	if cfg.QueueLength > 0 {
		c.MaxQueued = cfg.QueueLength
	}
	return c
}

func (e *Entry) announcement() *rpc.AnnounceRequest {
	return &rpc.AnnounceRequest{
		Name:        e.cfg.Name,
		Role:        "entry",
		Zone:        e.cfg.Zone,
		Addr:        e.cfg.Addr,
		AdminAddr:   e.cfg.AdminAddr,
		Incarnation: e.cfg.Incarnation,
		Leaving:     e.leaving.Load(),
		Revision:    e.feed.View().Revision(),
		Unconfirmed: e.feed.Unconfirmed(),
	}
}

// budget returns the retry budget of a service.
func (e *Entry) budget(service string) *retry.Budget {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	b, ok := e.budgets[service]
	if !ok {
		cfg := retry.DefaultBudget
		if e.cfg.RetryBudgetRatio > 0 {
			cfg.Share = e.cfg.RetryBudgetRatio
		}
		b = retry.NewBudget(cfg)
		e.budgets[service] = b
	}
	return b
}

// Ready reports whether the entry can serve callers.
func (e *Entry) Ready() (reason string, ok bool) {
	switch {
	case e.leaving.Load():
		return "leaving", false
	case e.feed.View().Revision() == 0:
		return "no configuration received yet", false
	case !e.serving.Load():
		return "not all backend servers heard of yet", false
	}
	return "", true
}
