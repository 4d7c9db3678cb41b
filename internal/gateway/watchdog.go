package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
)

const (
	// silenceCheck is how often a stream asks whether its server is silent.
	silenceCheck = 250 * time.Millisecond
	// wholeStall times the objective is after how long an answer in one piece is
	// given up at its server: work takes a fifth of the objective on average, and
	// the rest of the time is left for another server.
	wholeStall = 2
)

// watchdog ends a send whose server no longer does anything, so that the request
// can go on elsewhere. It exists for requests that may run twice only.
type watchdog struct {
	parent context.Context
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	// stalled tells that the watchdog has ended the send.
	stalled atomic.Bool
}

// watch starts a watchdog over one send.
func (c *call) watch(ctx context.Context) *watchdog {
	w := &watchdog{parent: ctx}
	w.ctx, w.cancel = context.WithCancel(ctx)
	if !c.route.Idempotent() {
		return w
	}
	server := c.choice.Server
	if c.route.Kind != fleet.KindStream {
		if c.sends+1 < c.route.MaxAttempts && c.route.Objective > 0 {
			w.timer = time.AfterFunc(wholeStall*c.route.Objective, w.stall)
		}
		return w
	}
	w.timer = time.AfterFunc(silenceCheck, func() {
		if c.g.balancer.Silent(server, time.Now()) {
			w.stall()
			return
		}
		w.timer.Reset(silenceCheck)
	})
	return w
}

func (w *watchdog) stall() {
	w.stalled.Store(true)
	w.cancel()
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}
