// Package fleetdaemon assembles a process of a fleet whose backend servers
// announce themselves and are called directly: an entry, a control server, an
// agent, or several of them. The adapter to a platform fills in the Config.
//
// State: none besides the roles. On a stop every role first refuses new work and
// announces that it leaves, then finishes the work in progress.
package fleetdaemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/fleetcontrol"
	"lynxgate.dev/lynxgate/internal/gateway"
	"lynxgate.dev/lynxgate/internal/relay"
	"lynxgate.dev/lynxgate/internal/rpcconn"
	"lynxgate.dev/lynxgate/internal/staging"
)

// Config is the configuration of a process. Addresses are ip:port. The process has the
// roles whose configuration is not nil.
type Config struct {
	Name string
	Zone string
	// RegionOf returns the region of a zone, empty if it is not known.
	RegionOf func(zone string) string
	// RPCAddr is the advertised address for calls between daemons, ListenAddr the one
	// on which the process listens for them, MetricsAddr the one for metrics.
	RPCAddr     string
	ListenAddr  string
	MetricsAddr string
	// Seeds returns the current rpc addresses of control servers.
	Seeds func() []string
	// Grace is how long a stop may take.
	Grace time.Duration
	// Decode decodes the operators' document.
	Decode func(document []byte) (*fleet.Config, error)
	// VersionBound is the time within which a version of weights must be in use
	// everywhere.
	VersionBound time.Duration
	// AnnounceInterval is the time between two announcements of a backend server, 0
	// if it is not known.
	AnnounceInterval time.Duration
	Entry            *EntryConfig
	Control          *ControlConfig
	Agent            *AgentConfig
	Logger           zerolog.Logger
	// DroppedLines returns how many log lines were dropped.
	DroppedLines func() int64
}

// EntryConfig is the configuration of an entry.
type EntryConfig struct {
	CallersAddr string
	ReadyAddr   string
	// MountReady adds the readiness check for the load balancer in front of the entries.
	MountReady  func(mux *http.ServeMux, ready func() (string, bool))
	Headers     gateway.Headers
	RetryShare  float64
	RetryFloor  int
	RetryWindow time.Duration
	// HeldBytes bounds the bodies of requests and answers that are held at one time; 0 is no bound.
	HeldBytes int64
	// A cold backend server gets at most ColdOverage times its cold rate plus ColdSlack requests in any
	// second from all entries together. 0 stands for the rate itself.
	ColdOverage float64
	ColdSlack   float64
	// ReservationMode says for which services slots of engines are reserved; empty is
	// gateway.ReservationsAuto.
	ReservationMode gateway.ReservationMode
	// AgentAddr returns the rpc address of the agent on the VM of a backend server.
	AgentAddr func(serverAddr string) string
	// RelayAddr returns the address at which the agent on the VM of a backend server takes requests to it.
	RelayAddr func(serverAddr string) string
	// EngineReport asks the engine at an address for its state.
	EngineReport func(ctx context.Context, addr string) (staging.Report, error)
}

// ControlConfig is the configuration of a control server.
type ControlConfig struct {
	// OperatorsAddr is for operators and backend servers; Mount adds their API.
	OperatorsAddr string
	Mount         func(e *echo.Echo, s *fleetcontrol.Server)
	DataFolder    string
	// FirstStart allows this server to bootstrap the cluster.
	FirstStart bool
	// LostDisks is how many control servers may lose their disks at once.
	LostDisks int
	// Member is the name of this server in the log. Peers returns the addresses of the
	// initial members by name.
	Member string
	Peers  func() map[string]string
}

// EngineReporter asks an engine for its report. ConnectedAt returns when the connection of the last report was established, a time of package
// clock.
type EngineReporter interface {
	Report(ctx context.Context) (staging.Report, error)
	ConnectedAt() time.Time
}

// AgentConfig is the configuration of an agent.
type AgentConfig struct {
	// EngineAddr is the announced address of the engine, EngineDialAddr the one at which the agent reaches it.
	EngineAddr     string
	EngineDialAddr string
	Service        string
	// RelayAddr is the address at which the agent listens for requests to be passed on to the engine.
	RelayAddr    string
	RelayHeaders relay.Headers
	// HeldBytes bounds the bodies of requests to be passed on that are held at one time; 0 is no bound.
	HeldBytes int64
	// LinkMbps is the bandwidth of the VM's link.
	LinkMbps float64
	Engine   staging.Engine
	// Reports asks the engine for its report.
	Reports EngineReporter
	Origin  staging.Origin
	// PeerAddr returns the rpc address of the agent on the VM of a backend server.
	PeerAddr func(serverAddr string) string
}

// role is one role of the process: entry, control server or agent.
type role interface {
	register(mux *drpcmux.Mux) error
	run(ctx context.Context) error
	// leave announces that the role leaves, and finishes work in progress until ctx is
	// done.
	leave(ctx context.Context) error
}

// Run runs the process until stop is done, and then stops it gracefully.
func Run(stop context.Context, cfg Config) error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lynxgate_log_lines_dropped", Help: "Log lines dropped since the start.",
	}, func() float64 { return float64(cfg.DroppedLines()) }))
	registry.MustRegister(rpcconn.Collectors()...)
	roles, err := assemble(stop, &cfg, registry)
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	for _, r := range roles {
		if err := r.register(mux); err != nil {
			return fmt.Errorf("register services: %w", err)
		}
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(running)
	group.Go(func() error { return serveMetrics(ctx, cfg.MetricsAddr, registry) })
	if cfg.Control != nil || cfg.Agent != nil {
		lis, err := net.Listen("tcp", cfg.ListenAddr)
		if err != nil {
			return fmt.Errorf("rpc address: %w", err)
		}
		group.Go(func() error { return rpcconn.Serve(ctx, lis, mux) })
	}
	for _, r := range roles {
		group.Go(func() error { return r.run(ctx) })
	}
	go clock.Watch(ctx, func(d time.Duration) {
		cfg.Logger.Warn().Dur("for_ms", d).Msg("the VM was suspended")
	})
	cfg.Logger.Info().Str("zone", cfg.Zone).Str("rpc", cfg.RPCAddr).Int("roles", len(roles)).Msg("running")
	select {
	case <-stop.Done():
	case <-ctx.Done():
	}
	leaveErr := leave(&cfg, roles)
	cancel()
	return errors.Join(leaveErr, ignoreCanceled(group.Wait()))
}

func assemble(stop context.Context, cfg *Config, registry *prometheus.Registry) ([]role, error) {
	var roles []role
	if cfg.Control != nil {
		r, err := newControlRole(stop, cfg, registry)
		if err != nil {
			return nil, err
		}
		roles = append(roles, r)
	}
	if cfg.Entry != nil {
		roles = append(roles, newEntryRole(cfg, registry))
	}
	if cfg.Agent != nil {
		roles = append(roles, newAgentRole(cfg, registry))
	}
	if len(roles) == 0 {
		return nil, errors.New("no role is configured")
	}
	return roles, nil
}

// graceMargin is the part of the grace period that is reserved for the exit of the
// process.
const graceMargin = 400 * time.Millisecond

func leave(cfg *Config, roles []role) error {
	cfg.Logger.Info().Msg("stopping: refusing new work, finishing work in progress")
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Grace-graceMargin)
	defer cancel()
	var group errgroup.Group
	for _, r := range roles {
		group.Go(func() error { return r.leave(ctx) })
	}
	return group.Wait()
}

func serveMetrics(ctx context.Context, addr string, registry *prometheus.Registry) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server := &http.Server{Addr: addr, Handler: mux, ReadHeaderTimeout: headerTimeout}
	return serveHTTP(ctx, server)
}

// headerTimeout bounds the time to read the header of a request where no other limit is
// configured.
const headerTimeout = 3 * time.Second

// serveHTTP serves until ctx is done.
func serveHTTP(ctx context.Context, server *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", server.Addr, err)
	}
	return nil
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
