package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/shutdown"
)

const (
	// reasonStopping is the reason of requests that end because the entry stops.
	reasonStopping = "the entry stops"
	// stopRetryAfter, plus up to as much again, is suggested to callers that a stopping entry refuses: other entries can take them at
	// once, but not all of them in the same moment.
	stopRetryAfter = 100 * time.Millisecond
)

// stopOutcome is how the stop of the entry ended a request.
type stopOutcome string

const (
	// stopRefused: it was not run. stopTold: it may have run, and its caller was told so. stopCut: its answer had begun and broke off.
	stopRefused stopOutcome = "refused"
	stopTold    stopOutcome = "may_have_run"
	stopCut     stopOutcome = "cut"
)

// stopCounts counts the requests that the stop ended.
type stopCounts struct{ refused, told, cut atomic.Int64 }

func (s *stopCounts) of(o stopOutcome) *atomic.Int64 {
	switch o {
	case stopRefused:
		return &s.refused
	case stopTold:
		return &s.told
	}
	return &s.cut
}

// StartDraining begins the stop of the entry: it is not ready any more, each answer closes its connection, nothing is sent that is not
// expected to end by this time of package clock, and what is in progress then is ended. Later calls have no effect.
func (g *Gateway) StartDraining(until time.Time) {
	g.leaving.Store(true)
	g.end.Set(until)
	g.log.Info().Int64("in_progress", g.inFlight.Load()).Dur("left_ms", clock.Until(until)).Msg("entry stops: nothing is sent that can't end in time")
}

// EndDraining logs how the stop ended requests.
func (g *Gateway) EndDraining() {
	event := g.log.Info()
	for _, o := range []stopOutcome{stopRefused, stopTold, stopCut} {
		event.Int64(string(o), g.stopped.of(o).Load())
	}
	event.Int64("in_progress", g.inFlight.Load()).Msg("entry has stopped serving")
}

// takes returns how long the request is taken to take from a send to this server, nil if none is chosen.
func (c *call) takes(choice *balance.Choice) time.Duration {
	e := shutdown.Estimate{
		Observed: c.g.learned.answerTime(c.route.Name), Objective: c.route.Objective,
		Left: clock.Until(c.deadline), RunOnce: !c.route.Idempotent(),
	}
	if choice != nil && choice.Version != 0 { // nothing is predicted of plain services but their wait
		e.Predicted = choice.Takes()
	}
	return e.Takes()
}

// canEnd reports whether the request can be answered before the process ends if it is sent to this server now, nil if none is chosen.
func (c *call) canEnd(choice *balance.Choice) bool {
	return c.g.end.Allows(clock.Now(), c.takes(choice))
}

// untilLastSend returns a context that ends with ctx, or when it is too late to send the request, since the process ends.
func (c *call) untilLastSend(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := c.afterLastSend(func() { cancel(shutdown.ErrStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// boundBody ends the read of the body when it is too late to send the request, since the process ends. The caller must call unbound
// after the read.
func (c *call) boundBody() (unbound func()) {
	return c.afterLastSend(func() {
		c.tooLateToSend.Store(true)
		c.limitBodyTime(clock.Now())
	})
}

// afterLastSend is End.AfterFunc at the time from which on the request must not be sent: never if its deadline is no later than the end.
func (c *call) afterLastSend(f func()) (stop func()) {
	return c.g.end.AfterFunc(c.takes(nil), func() {
		if at, _ := c.g.end.At(); c.deadline.After(at) {
			f()
		}
	})
}

// endForStop ends a call that must not be sent any more.
func (c *call) endForStop() {
	c.tooLateToSend.Store(true)
	c.giveUp(reasonStopping)
}

// refuseForStop refuses a call that was not run. Other entries can take it.
func (c *call) refuseForStop() {
	c.countStop(stopRefused)
	c.refuse(http.StatusServiceUnavailable, reasonStopping, stopRetryAfter+jitter(stopRetryAfter))
}

// isEndedByStop reports whether a call without an answer ends because the entry stops.
func (c *call) isEndedByStop() bool {
	return c.tooLateToSend.Load() || c.g.end.Reached(clock.Now())
}

// noteStop records in tooLateToSend whether a context has ended because the entry stops.
func (c *call) noteStop(ctx context.Context) {
	if errors.Is(context.Cause(ctx), shutdown.ErrStopping) {
		c.tooLateToSend.Store(true)
	}
}

// countStop counts how the stop ends the call.
func (c *call) countStop(o stopOutcome) {
	c.g.stopped.of(o).Add(1)
	c.g.cfg.Metrics.stopped.WithLabelValues(string(o)).Inc()
}

// closeIfStopping has the answer close its connection if the entry stops. The head must not have been written.
func (c *call) closeIfStopping() {
	if c.g.leaving.Load() {
		c.w.Header().Set("Connection", "close")
	}
}
