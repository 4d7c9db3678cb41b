package fleetdaemon

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/relay"
	reservations "lynxgate.dev/lynxgate/internal/reservation/server"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const (
	// namingTolerance is how much earlier than the bound weights expire: the time of a naming is known to some ms.
	namingTolerance = 100 * time.Millisecond
	// engineAnswerWait is how long an engine may take to answer its agent before a request is passed on to it. One that runs
	// answers within some ms.
	engineAnswerWait = 100 * time.Millisecond
)

// weightsExpire returns from when on no request may begin on a version of weights. While no later version is known, that is the bound
// after the last time at which none had been named.
func weightsExpire(named ledger.Version, version uint64, heardAt time.Time, bound time.Duration) time.Time {
	at := named.NamedAfter(version)
	if at.IsZero() {
		at = heardAt
	}
	if at.IsZero() {
		return time.Time{}
	}
	return at.Add(bound - namingTolerance)
}

// heard records when the last update of a control server was read.
type heard struct{ at atomic.Pointer[time.Time] }

// following returns the function that merges updates, with their times recorded.
func (h *heard) following(update func(source string, u *rpc.FleetUpdate)) func(string, *rpc.FleetUpdate) {
	return func(source string, u *rpc.FleetUpdate) {
		now := clock.Now()
		update(source, u)
		h.at.Store(&now)
	}
}

// lastAt returns the time of the last update, zero if there was none.
func (h *heard) lastAt() time.Time {
	if at := h.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// newRelay returns the server that passes requests on to the engine beside the agent. heardAt returns a time at which the view held
// all versions named.
func newRelay(cfg *Config, view func() *follow.View, heardAt func() time.Time, slots *reservations.Server, registry prometheus.Registerer) *relay.Server {
	return relay.New(relay.Config{
		EngineAddr: cfg.Agent.EngineAddr, DialAddr: cfg.Agent.EngineDialAddr, Headers: cfg.Agent.RelayHeaders,
		Expires: func(model string, version uint64) time.Time {
			at := heardAt() // before the view, which may be newer
			return weightsExpire(view().Versions[model], version, at, cfg.VersionBound)
		},
		Answers: func(ctx context.Context) bool { return slots.EngineAnswers(ctx, engineAnswerWait) },
		Logger:  cfg.Logger, Metrics: relay.NewMetrics(registry),
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
