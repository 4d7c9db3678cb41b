package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
)

const (
	// silenceCheckInterval is how often an attempt is checked for a silent server.
	silenceCheckInterval = 250 * time.Millisecond
	// wholeStallFactor times the objective is the time after which a request for a
	// non-streaming answer is hedged; requests take a fifth of the objective on average.
	wholeStallFactor = 2
)

// watchdog watches an attempt whose server may have stopped responding, and begins a handover if
// the request may run twice. The attempt continues until another server has taken over. Only an
// attempt that would begin on expired weights is cancelled before that, also if its stream must
// not be retried.
type watchdog struct {
	parent context.Context
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	server *balance.Server
	// weights is the version of weights for which the server was chosen, 0 for plain services.
	weights uint64
	// cancelMargin is how long before the bound on these weights the attempt is cancelled if it has not begun.
	cancelMargin time.Duration
	sentAt       time.Time
	// answerTook is the time from the send to the head of the answer, 0 before that is read.
	answerTook time.Duration
	// weightsExpired: the watchdog cancelled the attempt, since the server's weights would have
	// expired before it began.
	weightsExpired atomic.Bool
	// begun: an event was forwarded.
	begun atomic.Bool
	// ended: the attempt has ended. Guarded by call.mu.
	ended bool
}

// newWatchdog returns a watchdog for an attempt at a server. Its context ends with ctx or with this
// incarnation of the server.
func newWatchdog(ctx context.Context, s *balance.Server) *watchdog {
	w := &watchdog{parent: ctx, server: s}
	var cancel context.CancelFunc
	w.ctx, cancel = context.WithCancel(ctx)
	unlink := context.AfterFunc(s.Context(), cancel)
	w.cancel = func() {
		unlink()
		cancel()
	}
	return w
}

// watch starts a watchdog for the attempt at the chosen server.
func (c *call) watch(ctx context.Context) *watchdog {
	w := newWatchdog(ctx, c.choice.Server)
	c.startWatch(w)
	return w
}

func (c *call) startWatch(w *watchdog) {
	w.weights, w.sentAt = c.choice.Version, clock.Now()
	w.cancelMargin = c.choice.CancelMargin()
	if !c.cancellable() {
		return
	}
	// The timer is started by Reset, after w.timer, which the check reads, is set.
	w.timer = time.AfterFunc(time.Hour, func() { c.check(w) })
	w.timer.Reset(c.firstCheckDelay(w))
}

// cancellable reports whether the request may be cancelled or handed over once it was sent, since a stream shows whether it has begun, or
// since it may run twice.
func (c *call) cancellable() bool { return c.route.Kind == fleet.KindStream || c.route.Idempotent() }

// firstCheckDelay returns the delay until the first check of an attempt. A non-streaming request to a
// plain service needs none before its answer is late.
func (c *call) firstCheckDelay(w *watchdog) time.Duration {
	if c.route.Kind != fleet.KindStream && w.weights == 0 && c.route.Objective > 0 {
		return wholeStallFactor * c.route.Objective
	}
	left, bounded := c.g.balancer.VersionLeft(c.model, w.weights, w.sentAt)
	return nextCheckDelay(left, w.cancelMargin, bounded)
}

// check checks an attempt and schedules the next check.
func (c *call) check(w *watchdog) {
	now := clock.Now()
	next := silenceCheckInterval
	if !w.begun.Load() {
		left, bounded := c.g.balancer.VersionLeft(c.model, w.weights, now)
		if bounded && left <= w.cancelMargin {
			w.weightsExpired.Store(true)
			w.cancel()
			c.g.cfg.Metrics.cancelDelay.Observe(max(w.cancelMargin-left, 0).Seconds())
			return
		}
		next = nextCheckDelay(left, w.cancelMargin, bounded)
	}
	if why := c.handoverReason(w, now); why != "" {
		go c.handOver(w, why) // the checks for expired weights continue
	}
	if w.ctx.Err() == nil {
		w.timer.Reset(next)
	}
}

// nextCheckDelay returns the delay until the next check of a request that waits for its first event,
// if its server's weights expire after left, and it is cancelled a margin before that. The check falls on the moment to cancel the
// request, not up to one interval later, since a busy entry may need the whole balance.CancelMargin.
func nextCheckDelay(left, margin time.Duration, bounded bool) time.Duration {
	if !bounded {
		return silenceCheckInterval
	}
	return min(silenceCheckInterval, max(left-margin, 0))
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}
