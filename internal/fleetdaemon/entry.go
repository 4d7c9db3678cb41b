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
	"lynxgate.dev/lynxgate/internal/fleetcontrol"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/gateway"
	"lynxgate.dev/lynxgate/internal/quarantine"
)

const (
	// idleTimeout is longer than callers leave a connection idle; those that
	// are too many are bounded by the descriptors.
	idleTimeout = 75 * time.Second
	// headBytes bounds the head of a request; the configured limit is less.
	headBytes = 64 << 10
	// acceptAfterLeave is how long a stopping entry takes new connections: the
	// balancer in front asks once a second and needs two misses.
	acceptAfterLeave = 2600 * time.Millisecond
)

// entryRole serves callers.
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
	turns := &lateTurns{client: &client}
	g := gateway.New(gateway.Config{
		Headers:    e.Headers,
		Balance:    balance.Config{Name: cfg.Name, Zone: cfg.Zone, VersionBound: cfg.VersionBound, Logger: cfg.Logger},
		RetryShare: e.RetryShare, RetryFloor: e.RetryFloor, RetryWindow: e.RetryWindow,
		Tell:        func(news []quarantine.News) { client.TellSuspicions(news) },
		TellSignals: func(news []backpressure.News) { client.TellSignals(news) },
		Turns:       turns,
		Logger:      cfg.Logger, Metrics: gateway.NewMetrics(registry),
	})
	viewer := follow.NewViewer(cfg.Decode, g.SetView, cfg.AnnounceInterval, cfg.Logger)
	viewer.Reported, viewer.Renewed, viewer.Suspected, viewer.Signalled = g.Reported, g.Renewed, g.Suspected, g.LearnSignals
	following := followerConfig(cfg, fleetcontrol.RoleEntry, viewer)
	following.Suspicions, following.Signals = g.Suspicions, g.Signals
	client = follow.New(following)
	ready := http.NewServeMux()
	e.MountReady(ready, g.Ready)
	quiet := log.New(io.Discard, "", 0) // broken connections of callers are counted, not told
	return &entryRole{
		gateway: g,
		log:     cfg.Logger,
		client:  client,
		callers: &http.Server{
			Addr: e.CallersAddr, Handler: g, ErrorLog: quiet,
			ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headBytes,
		},
		ready: &http.Server{Addr: e.ReadyAddr, Handler: ready, ReadHeaderTimeout: headerTimeout, ErrorLog: quiet},
	}
}

// lateTurns asks a client that is made after the gateway: the client tells the gateway's viewer
// of updates, and the gateway asks the client for turns.
type lateTurns struct{ client **follow.Client }

func (t *lateTurns) AskTurn(ctx context.Context, d quarantine.Digest) bool {
	return (*t.client).AskTurn(ctx, d)
}

func (t *lateTurns) EndTurn(d quarantine.Digest) { (*t.client).EndTurn(d) }

// followerConfig is of a daemon that follows the control servers for a viewer.
func followerConfig(cfg *Config, role string, viewer *follow.Viewer) follow.Config {
	return follow.Config{
		Name: cfg.Name, Zone: cfg.Zone, Role: role, Seeds: cfg.Seeds,
		Held: viewer.HeldConfig, Update: viewer.Update, Lost: viewer.Lost, Logger: cfg.Logger,
	}
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

// leave says that the entry is not ready, lets the balancer notice, and ends once
// the requests in progress have ended.
func (r *entryRole) leave(ctx context.Context) error {
	r.gateway.Leave()
	timer := time.NewTimer(acceptAfterLeave)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil
	}
	// Idle connections are closed now: a request that came later on one of them
	// might not end within the grace period.
	if err := r.callers.Shutdown(ctx); err != nil {
		r.log.Warn().Int64("requests", r.gateway.InFlight()).Msg("grace period is over; requests in progress are cut")
	}
	return nil
}
