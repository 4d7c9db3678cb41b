package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/shutdown"
)

const (
	// lastAnswersTime is the part of the drain timeout in which callers are told of requests that could not end; their answers need a
	// moment to be written, also on a busy VM. Half of it is for recording their claims before that.
	lastAnswersTime = 300 * time.Millisecond
	// leavingRetryAfter is the Retry-After of requests that a leaving entry refuses: other entries can take them at once.
	leavingRetryAfter = 100 * time.Millisecond

	detailLeaving = "this entry stops"
)

// answerTimes are the times of answers, by service. It is safe for concurrent use.
type answerTimes struct {
	mu    sync.Mutex
	times map[string]shutdown.AnswerTime
}

func (t *answerTimes) observe(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.times == nil {
		t.times = map[string]shutdown.AnswerTime{}
	}
	t.times[service] = t.times[service].Observe(took)
}

func (t *answerTimes) of(service string) shutdown.AnswerTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.times[service]
}

// takes returns how long a call is taken to take from its dispatch.
func (e *Entry) takes(c *call) time.Duration {
	return shutdown.Estimate{
		Observed: e.answerTimes.of(c.service.Name), Left: time.Until(c.deadline), RunOnce: !c.idempotent(),
	}.Takes()
}

// canEnd reports whether a call that is dispatched now can end before the process does.
func (e *Entry) canEnd(c *call) bool { return e.end.Allows(clock.Now(), e.takes(c)) }

// leavingOutcome returns the outcome of a request that was not dispatched because the entry stops.
func leavingOutcome() outcome.Outcome {
	return outcome.NewNotRun(outcome.Leaving, detailLeaving, leavingRetryAfter)
}

// isStopping reports whether a context has ended because the entry stops.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), shutdown.ErrStopping) }

// boundBody ends the read of a body at the end of the process: until it is here, the service is not known. The caller must call unbound
// after the read, which reports whether the read was ended.
func (e *Entry) boundBody(conn *http.ResponseController) (unbound func() bool) {
	ended := false
	stop := e.end.AfterFunc(0, func() {
		ended = true
		_ = conn.SetReadDeadline(time.Now())
	})
	return func() bool {
		stop()
		return ended
	}
}

// Leave announces that the entry is leaving, stops accepting new requests after LeaveGrace, and waits until those in progress have
// ended. Shortly before the deadline of ctx, if it has one, requests that have not ended are ended, and their callers are told whether
// they may have run. It returns an error if there were any.
func (e *Entry) Leave(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		e.end.Set(clock.Now().Add(time.Until(deadline) - lastAnswersTime))
	}
	e.leaving.Store(true)
	e.announcer.ChangedUrgently()
	e.acceptWhileLeaving(ctx)
	if err := e.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("requests still in progress: %w", err)
	}
	if n := e.stopped.Load(); n > 0 {
		return fmt.Errorf("%d requests that may have run were ended: %w", n, shutdown.ErrStopping)
	}
	return nil
}

// acceptWhileLeaving waits for LeaveGrace, but not beyond the end.
func (e *Entry) acceptWhileLeaving(ctx context.Context) {
	ctx, cancel := e.end.Context(ctx, 0)
	defer cancel()
	timer := time.NewTimer(e.cfg.LeaveGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
