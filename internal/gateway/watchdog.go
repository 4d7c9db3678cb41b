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
	// streamSilence is after how long without an event a stream that has begun leaves its
	// connection, though its server goes on: engines write to all their requests every
	// 60 ms. On four played days with overload, resets and crashed servers, of more than
	// 4,000 streams each that were not refused, two had a longer pause. Callers leave
	// after 2 s.
	streamSilence = 800 * time.Millisecond
	// overGuard is how long before weights are over a request that waits at its server
	// for its first event is taken back: a check, and the way to the server.
	overGuard = 400 * time.Millisecond
	// moveAfter is how long a server that is to load may go on with its streams
	// before they are moved: half of them have ended by then.
	moveAfter = 700 * time.Millisecond
	// moveShare of the objective is the longest predicted time until a moved stream
	// goes on: a pause must not be noticed.
	moveShare = 0.6
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
	// over tells that the watchdog has ended the send, since its server's weights
	// would have been over before it began.
	over atomic.Bool
	// quiet tells that the watchdog has ended the send, since its connection has gone
	// silent. eventAt is when the last event was passed on, in nanoseconds after began;
	// 0 before the first one and while events are passed on.
	quiet   atomic.Bool
	began   time.Time
	eventAt atomic.Int64
	// version of the weights that write the stream, once an event was passed on.
	version atomic.Uint64
	// moved is the server that the rest of the stream is asked of, if the watchdog
	// has ended the send for that.
	moved atomic.Pointer[balance.Choice]
}

// watch starts a watchdog over one send.
func (c *call) watch(ctx context.Context) *watchdog {
	w := &watchdog{parent: ctx, began: time.Now()}
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
	mayMove := c.sends+1 < c.route.MaxAttempts
	want := c.want(moveShare)
	version := c.choice.Version
	w.timer = time.AfterFunc(silenceCheck, func() {
		now := time.Now()
		if c.g.balancer.Silent(server, now) {
			w.stall()
			return
		}
		if mayMove && w.quietSince(now) > streamSilence {
			w.quiet.Store(true)
			server.Pool.CloseIdle()
			w.cancel()
			return
		}
		if w.version.Load() == 0 && c.g.balancer.VersionOver(c.model, version, now.Add(overGuard)) {
			w.over.Store(true)
			w.cancel()
			return
		}
		if want.Version = w.version.Load(); mayMove && want.Version != 0 && w.move(c, want, now) {
			return
		}
		w.timer.Reset(silenceCheck)
	})
	return w
}

// move ends a send to a server that waits for its last streams to end so that it
// can load, if another one has room for the rest. The server is spared up to two
// seconds without new requests.
func (w *watchdog) move(c *call, want balance.Want, now time.Time) bool {
	if !c.g.balancer.LoadingSince(c.choice.Server, now, moveAfter) {
		return false
	}
	choice, _ := c.g.balancer.Pick(now, want)
	if choice.Server == nil {
		return false
	}
	if !c.g.budget(c.service).TryRetry(c.g.steady(now)) {
		c.g.balancer.Done(&choice, now, balance.EndedElse)
		return false
	}
	w.moved.Store(&choice)
	w.cancel()
	return true
}

// passing notes that events have come; the caller may take them slowly.
func (w *watchdog) passing() { w.eventAt.Store(0) }

// passed notes that events of this version were passed on.
func (w *watchdog) passed(version uint64) {
	w.version.Store(version)
	w.eventAt.Store(int64(time.Since(w.began)))
}

// quietSince is for how long no event has come, 0 before the first one and
// while events are passed on.
func (w *watchdog) quietSince(now time.Time) time.Duration {
	at := w.eventAt.Load()
	if at == 0 {
		return 0
	}
	return now.Sub(w.began) - time.Duration(at)
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
