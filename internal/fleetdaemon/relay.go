package fleetdaemon

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/relay"
	reservations "lynxgate.dev/lynxgate/internal/reservation/server"
)

const (
	// namingTolerance is how much earlier than the bound weights expire: the time of a naming is known to some ms.
	namingTolerance = 100 * time.Millisecond
	// engineAnswerWait is how long an engine may take to answer its agent before a request is passed on to it. One that runs
	// answers within some ms.
	engineAnswerWait = 100 * time.Millisecond
)

// weightsExpire returns from when on no request may begin on a version of weights, zero if no later version is known.
func weightsExpire(named ledger.Version, version uint64, bound time.Duration) time.Time {
	at := named.NamedAfter(version)
	if at.IsZero() {
		return time.Time{}
	}
	return at.Add(bound - namingTolerance)
}

// newRelay returns the server that passes requests on to the engine beside the agent.
func newRelay(cfg *Config, view func() *follow.View, slots *reservations.Server, registry prometheus.Registerer) *relay.Server {
	return relay.New(relay.Config{
		EngineAddr: cfg.Agent.EngineAddr, DialAddr: cfg.Agent.EngineDialAddr, Headers: cfg.Agent.RelayHeaders,
		HeldBytes: cfg.Agent.HeldBytes,
		Expires: func(model string, version uint64) time.Time {
			return weightsExpire(view().Versions[model], version, cfg.VersionBound)
		},
		Answers: func(ctx context.Context) bool { return slots.EngineAnswers(ctx, engineAnswerWait) },
		Report: func() relay.EngineReport {
			s := slots.Slots()
			return relay.EngineReport{FreeSlots: s.Free, Pace: s.Pace, AsOf: s.AsOf, ConnectedAt: s.ConnectedAt}
		},
		Logger: cfg.Logger, Metrics: relay.NewMetrics(registry),
	})
}

// serveRelay serves until ctx is done.
func serveRelay(ctx context.Context, server *relay.Server, addr string) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("relay address: %w", err)
	}
	return server.Serve(ctx, lis)
}
