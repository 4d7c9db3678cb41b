package fleetdaemon

import (
	"context"
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/fleetcontrol"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/relay"
	reservations "lynxgate.dev/lynxgate/internal/reservation/server"
	"lynxgate.dev/lynxgate/internal/staging"
)

// agentFollows is how many control servers an agent follows. One is enough for the
// committed state that agents need; the second one guards against a control server that
// is partitioned from the others. If all agents followed all control servers, this
// would be most of the streams.
const agentFollows = 2

// agentRole stages weights on the engine of its VM, grants entries its slots, and passes requests on to it.
type agentRole struct {
	stager       *staging.Stager
	reservations *reservations.Server
	client       *follow.Client
	relay        *relay.Server
	relayAddr    string
	log          zerolog.Logger
}

func newAgentRole(cfg *Config, registry prometheus.Registerer) *agentRole {
	viewer := follow.NewViewer(fleet.DecodeServices, nil, cfg.AnnounceInterval, cfg.Logger)
	a := cfg.Agent
	following := followerConfig(cfg, fleetcontrol.RoleAgent, viewer)
	following.MaxServers = agentFollows
	client := follow.New(following)
	registry.MustRegister(client.Collectors()...)
	slots := reservations.New(reservations.Config{
		Service: a.Service, EngineAddr: a.EngineAddr, Report: a.Reports.Report, ConnectedAt: a.Reports.ConnectedAt, View: viewer.View,
		Logger: cfg.Logger, Metrics: reservations.NewMetrics(registry),
	})
	return &agentRole{
		client: client, reservations: slots, log: cfg.Logger,
		relay: newRelay(cfg, viewer.View, slots, registry), relayAddr: a.RelayAddr,
		stager: staging.New(staging.Config{
			Service: a.Service, EngineAddr: a.EngineAddr, PeerAddr: a.PeerAddr,
			Engine: a.Engine, Origin: a.Origin, View: viewer.View, Tell: client.SendReport, Zone: cfg.Zone, LinkMbps: a.LinkMbps,
			VersionBound: cfg.VersionBound, OnLoading: slots.SetLoading, Logger: cfg.Logger, Metrics: staging.NewMetrics(registry),
		}),
	}
}

func (r *agentRole) register(mux *drpcmux.Mux) error {
	return errors.Join(r.stager.Register(mux), r.reservations.Register(mux))
}

func (r *agentRole) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.client.Run(ctx) })
	group.Go(func() error { return r.stager.Run(ctx) })
	group.Go(func() error { return serveRelay(ctx, r.relay, r.relayAddr) })
	return group.Wait()
}

// leave waits for the requests that are passed on to the engine.
func (r *agentRole) leave(ctx context.Context) error {
	if err := r.relay.Drain(ctx); err != nil {
		r.log.Warn().Err(err).Msg("grace period is over; requests in progress are aborted")
	}
	return nil
}
