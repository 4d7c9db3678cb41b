package gateway

import (
	"context"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
)

// probeTimeout bounds a probe of an engine.
const probeTimeout = 250 * time.Millisecond

// probeEngine asks an engine for its state, in the background: an answer shows that it runs, whatever its agent does.
func (g *Gateway) probeEngine(s *balance.Server) {
	go func() {
		ctx, cancel := context.WithTimeout(s.Context(), probeTimeout)
		defer cancel()
		sentAt := clock.Now()
		report, err := g.cfg.EngineReport(ctx, s.Addr)
		if err != nil {
			g.log.Debug().Err(err).Str("server", s.ID).Msg("probe of an engine failed")
			return
		}
		g.balancer.ProbeAnswered(s, sentAt, clock.Now(), report)
	}()
}
