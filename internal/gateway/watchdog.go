package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
)

const (
	// silenceCheck is how often a stream asks whether its server is silent.
	silenceCheck = 250 * time.Millisecond
	// wholeStall times the objective is after how long an answer in one piece is
	// given up at its server: work takes a fifth of the objective on average, and
	// the rest of the time is left for another server.
	wholeStall = 2
	// overGuard is how long before weights are over a request that waits at its server
	// for its first event is taken back: a check, and the way to the server.
	overGuard = 400 * time.Millisecond
)

// watchdog watches a send whose server may no longer do anything, so that the request
// can go on elsewhere. It exists for requests that may run twice only. One that has
// not begun is taken back; a stream that has begun stays until another server has
// taken it over.
type watchdog struct {
	parent context.Context
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	server *balance.Server
	// weights is the version that the server was chosen for.
	weights uint64
	// stalled tells that the watchdog has ended the send.
	stalled atomic.Bool
	// over tells that the watchdog has ended the send, since its server's weights
	// would have been over before it began.
	over atomic.Bool
	// begun tells that an event was passed on.
	begun atomic.Bool
	// ended: the send has ended. Guarded by call.passing.
	ended bool
}

func newWatchdog(ctx context.Context) *watchdog {
	w := &watchdog{parent: ctx}
	w.ctx, w.cancel = context.WithCancel(ctx)
	return w
}

// watch starts a watchdog over one send.
func (c *call) watch(ctx context.Context) *watchdog {
	w := newWatchdog(ctx)
	c.startWatch(w)
	return w
}

func (c *call) startWatch(w *watchdog) {
	w.server, w.weights = c.choice.Server, c.choice.Version
	switch {
	case !c.route.Idempotent():
	case c.route.Kind == fleet.KindStream:
		// Started by Reset, once the field that the check reads is set.
		w.timer = time.AfterFunc(time.Hour, func() { c.checkStream(w) })
		w.timer.Reset(silenceCheck)
	case c.sends+1 < c.route.MaxAttempts && c.route.Objective > 0:
		w.timer = time.AfterFunc(wholeStall*c.route.Objective, w.stall)
	}
}

// checkStream looks at a stream's server, again and again.
func (c *call) checkStream(w *watchdog) {
	now := time.Now()
	silent := c.g.balancer.Silent(w.server, now)
	switch {
	case w.begun.Load():
		if silent || c.g.balancer.LoadingSince(w.server, now, moveAfter) {
			c.handOver(w, silent)
		}
	case silent:
		w.stall()
		return
	case c.g.balancer.VersionOver(c.model, w.weights, now.Add(overGuard)):
		w.over.Store(true)
		w.cancel()
		return
	}
	if w.ctx.Err() == nil {
		w.timer.Reset(silenceCheck)
	}
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
