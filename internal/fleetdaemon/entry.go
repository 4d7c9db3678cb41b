package fleetdaemon

import (
	"context"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleetcontrol"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/gateway"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/quarantine"
	reservations "lynxgate.dev/lynxgate/internal/reservation/client"
	"lynxgate.dev/lynxgate/internal/staging"
)

const (
	// idleTimeout is longer than callers leave a connection idle. The number of
	// connections is bounded by the limit of file descriptors.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the header of a request; the configured limit is lower.
	maxHeaderBytes = 64 << 10
	// acceptAfterLeave is how long a stopping entry accepts new connections: the load
	// balancer in front checks readiness once a second, and removes an entry after two
	// failed checks.
	acceptAfterLeave = 2600 * time.Millisecond
	// lastAnswersTime is the part of graceMargin in which callers are told of requests that could not end: they are ended at the end of
	// the grace period less graceMargin, and their answers need a moment to be written, also on a busy VM.
	lastAnswersTime = 150 * time.Millisecond
)

// entryRole serves the callers' requests.
type entryRole struct {
	gateway *gateway.Gateway
	client  *follow.Client
	callers *http.Server
	ready   *http.Server
	log     zerolog.Logger
}

func newEntryRole(cfg *Config, registry prometheus.Registerer) *entryRole {
	e := cfg.Entry
	var client *follow.Client
	turns := &clientTurns{client: &client}
	g := gateway.New(gateway.Config{
		Headers:    e.Headers,
		Balance:    balance.Config{Name: cfg.Name, Zone: cfg.Zone, RegionOf: cfg.RegionOf, VersionBound: cfg.VersionBound, RelayAddr: e.RelayAddr, ConfirmedAt: func() time.Time { return client.ConfirmedAt() }, ColdOverage: e.ColdOverage, ColdSlack: e.ColdSlack, Logger: cfg.Logger},
		RetryShare: e.RetryShare, RetryFloor: e.RetryFloor, RetryWindow: e.RetryWindow,
		HeldBytes:       e.HeldBytes,
		ReservationMode: e.ReservationMode,
		Reservations: reservations.New(reservations.Config{
			Entry: cfg.Name, AgentAddr: e.AgentAddr, Logger: cfg.Logger, Metrics: reservations.NewMetrics(registry),
		}),
		EngineReport:      engineReport(e.EngineReport),
		PublishSuspicions: func(updates []quarantine.Update) { client.SendSuspicions(updates) },
		PublishSignals:    func(updates []backpressure.Update) { client.SendSignals(updates) },
		Turns:             turns,
		Logger:            cfg.Logger, Metrics: gateway.NewMetrics(registry),
	})
	viewer := follow.NewViewer(cfg.Decode, g.SetView, cfg.AnnounceInterval, cfg.Logger)
	viewer.OnReport, viewer.OnRenewal, viewer.OnSuspicions, viewer.OnSignals = g.AddReport, g.Renew, g.MergeSuspicions, g.MergeSignals
	following := followerConfig(cfg, fleetcontrol.RoleEntry, viewer)
	following.RegionOf = regionOf(cfg)
	following.Suspicions, following.Signals = g.Suspicions, g.Signals
	client = follow.New(following)
	registry.MustRegister(client.Collectors()...)
	ready := http.NewServeMux()
	e.MountReady(ready, g.Ready)
	discard := log.New(io.Discard, "", 0) // broken connections of callers are counted, not logged
	return &entryRole{
		gateway: g,
		log:     cfg.Logger,
		client:  client,
		callers: &http.Server{
			Addr: e.CallersAddr, Handler: g, ErrorLog: discard,
			ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		},
		ready: &http.Server{Addr: e.ReadyAddr, Handler: ready, ReadHeaderTimeout: headerTimeout, ErrorLog: discard},
	}
}

// engineReport returns gateway.Config.EngineReport for the engines' protocol; nil if there is none.
func engineReport(ask func(context.Context, string) (staging.Report, error)) func(context.Context, string) (balance.Report, error) {
	if ask == nil {
		return nil
	}
	return func(ctx context.Context, addr string) (balance.Report, error) {
		r, err := ask(ctx, addr)
		return balance.Report{Addr: addr, StartUnixMs: r.Born, Running: r.Running, Waiting: r.Waiting}, err
	}
}

// clientTurns acquires turns from a client that is created after the gateway. The two depend on
// each other: the client passes updates to the gateway's viewer, and the gateway acquires turns
// from the client.
type clientTurns struct{ client **follow.Client }

func (t *clientTurns) AcquireTurn(ctx context.Context, d quarantine.Digest) bool {
	return (*t.client).AcquireTurn(ctx, d)
}

func (t *clientTurns) ReleaseTurn(d quarantine.Digest) { (*t.client).ReleaseTurn(d) }

// followerConfig returns the configuration of a client that follows the control servers
// for a viewer.
func followerConfig(cfg *Config, role string, viewer *follow.Viewer) follow.Config {
	return follow.Config{
		Name: cfg.Name, Zone: cfg.Zone, Role: role, Seeds: cfg.Seeds,
		ConfigVersion: viewer.ConfigVersion, Versions: func() map[string]ledger.Version { return viewer.View().Versions },
		Update: viewer.Update, Lost: viewer.Lost, Logger: cfg.Logger,
	}
}

// regionOf returns Config.RegionOf; without it no region is known, and zones alone tell which control servers are near.
func regionOf(cfg *Config) func(zone string) string {
	if cfg.RegionOf == nil {
		return func(string) string { return "" }
	}
	return cfg.RegionOf
}

func (r *entryRole) register(*drpcmux.Mux) error { return nil }

func (r *entryRole) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.client.Run(ctx) })
	group.Go(func() error { return r.gateway.Run(ctx) })
	group.Go(func() error { return serveHTTP(ctx, r.callers) })
	group.Go(func() error { return serveHTTP(ctx, r.ready) })
	return group.Wait()
}

// leave reports the entry as not ready, accepts connections until the load balancer has
// removed it, and then waits for the requests in progress.
func (r *entryRole) leave(ctx context.Context) error {
	end, _ := ctx.Deadline()
	r.gateway.StartDraining(clock.Now().Add(time.Until(end)))
	defer r.gateway.EndDraining()
	timer := time.NewTimer(acceptAfterLeave)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(lastAnswersTime))
	defer cancel()
	// Shutdown closes idle connections: a later request on one of them might not
	// complete within the grace period.
	if err := r.callers.Shutdown(ctx); err != nil && r.gateway.InFlight() > 0 {
		r.log.Warn().Int64("requests", r.gateway.InFlight()).Msg("grace period is over; requests in progress are aborted")
	}
	return nil
}
