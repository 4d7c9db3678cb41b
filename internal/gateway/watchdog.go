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
	// silenceCheck is how often a stream asks whether its server is silent.
	silenceCheck = 250 * time.Millisecond
	// wholeStall times the objective is after how long an answer in one piece is
	// asked of another server, too: work takes a fifth of the objective on average.
	wholeStall = 2
	// overGuard is how long before weights are over a request that waits at its server
	// for its first event is taken back: an entry that is busy with a configuration for
	// 0.3 s, and the way to the server.
	overGuard = 400 * time.Millisecond
)

// watchdog watches a send whose server may no longer do anything, so that a request that
// may run twice can go on elsewhere: it stays at its server until another one has taken
// it over. Only what would begin on weights that are over is taken back before, streams
// that must not be repeated among it.
type watchdog struct {
	parent context.Context
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	server *balance.Server
	// weights is the version that the server was chosen for, 0 for plain services.
	weights uint64
	sentAt  time.Time
	// over tells that the watchdog has ended the send, since its server's weights
	// would have been over before it began.
	over atomic.Bool
	// begun tells that an event was passed on.
	begun atomic.Bool
	// ended: the send has ended. Guarded by call.passing.
	ended bool
}

// newWatchdog watches a send to a server, which ends with that start of the server.
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

// watch starts a watchdog over one send.
func (c *call) watch(ctx context.Context) *watchdog {
	w := newWatchdog(ctx, c.choice.Server)
	c.startWatch(w)
	return w
}

func (c *call) startWatch(w *watchdog) {
	w.weights, w.sentAt = c.choice.Version, clock.Now()
	if c.route.Kind != fleet.KindStream && !c.route.Idempotent() {
		return // it can be neither moved nor, since it may have begun, taken back
	}
	// Started by Reset, once the field that the check reads is set.
	w.timer = time.AfterFunc(time.Hour, func() { c.check(w) })
	w.timer.Reset(c.firstCheck(w))
}

// firstCheck is when to look at a send first. A whole answer of a plain service is
// looked at once it is late only.
func (c *call) firstCheck(w *watchdog) time.Duration {
	if c.route.Kind != fleet.KindStream && w.weights == 0 && c.route.Objective > 0 {
		return wholeStall * c.route.Objective
	}
	return nextCheck(c.g.balancer.VersionLeft(c.model, w.weights, w.sentAt))
}

// check looks at a send, again and again.
func (c *call) check(w *watchdog) {
	now := clock.Now()
	next := silenceCheck
	if !w.begun.Load() {
		left, bounded := c.g.balancer.VersionLeft(c.model, w.weights, now)
		if bounded && left <= overGuard {
			w.over.Store(true)
			w.cancel()
			return
		}
		next = nextCheck(left, bounded)
	}
	if why := c.moveReason(w, now); why != "" {
		go c.handOver(w, why) // the check of the version goes on
	}
	if w.ctx.Err() == nil {
		w.timer.Reset(next)
	}
}

// nextCheck is when to look at a request again that waits for its first event, if its
// server's weights are over after left: the moment to take it back is not missed by the
// length of a check, since a busy entry may need the whole of overGuard.
func nextCheck(left time.Duration, bounded bool) time.Duration {
	if !bounded {
		return silenceCheck
	}
	return min(silenceCheck, max(left-overGuard, 0))
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}
