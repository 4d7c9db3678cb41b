package entry

import (
	"context"
	"hash/fnv"
	"net/http"
	"time"

	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/retry"
)

// serve answers one request of a caller.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	// The bound on sending the request must not end a long answer too.
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(e.cfg.ReadBodyTimeout))
	c, err := e.resolve(r)
	_ = conn.SetReadDeadline(time.Time{})
	if err != nil {
		e.answerRefusal(w, err)
		return
	}
	w.Header().Set(HeaderRequestID, c.id)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	a := &answer{w: w}
	var end outcome.Outcome
	if c.rule.AtMostOnce {
		end = e.serveClaimed(ctx, c, a)
	} else {
		end = e.dispatch(ctx, c, a)
		if end.Kind == outcome.Completed {
			_ = a.end()
		}
	}
	e.finish(c, a, end)
}

func (e *Entry) answerRefusal(w http.ResponseWriter, err error) {
	refused, ok := err.(*refusal)
	if !ok {
		panic("entry: resolve returned an error that is no refusal: " + err.Error())
	}
	e.metrics.requests.WithLabelValues("", refused.outcome.Kind.String(), string(refused.outcome.Reason)).Inc()
	_ = refused.outcome.Write(w)
}

// finish counts the outcome and tells it to the caller if it was no answer.
func (e *Entry) finish(c *call, a *answer, end outcome.Outcome) {
	e.metrics.requests.WithLabelValues(c.service.Name, end.Kind.String(), string(end.Reason)).Inc()
	switch {
	case end.Kind == outcome.Completed:
	case a.sent:
		a.cut(end)
	default:
		_ = end.Write(a.w)
	}
}

// dispatch makes attempts until one ends the call.
func (e *Entry) dispatch(ctx context.Context, c *call, a *answer) outcome.Outcome {
	budget := e.budget(c.service.Name)
	budget.Request(time.Now())
	attempts := retry.NewAttempts(e.retryPolicy, retry.Request{
		Seed:       seedOf(c.id),
		Idempotent: c.idempotent(),
		AtMostOnce: c.rule.AtMostOnce,
		Deadline:   c.deadline,
	})
	excluded := map[string]bool{}
	version := ""
	for {
		o := e.attemptOnce(ctx, c, a, attempts.Made(), version, excluded)
		if a.sent {
			version = a.version
		}
		begun := a.sent && !a.resumable()
		decision := attempts.Ended(o, begun, time.Now(), budget)
		if !decision.Retry || ctx.Err() != nil {
			return decision.Final
		}
		e.metrics.retries.WithLabelValues(c.service.Name, string(o.Reason)).Inc()
		a.restart()
		sleep(ctx, decision.After)
	}
}

// attemptOnce picks a backend server and dispatches the call to it.
func (e *Entry) attemptOnce(ctx context.Context, c *call, a *answer, number int, version string, excluded map[string]bool) outcome.Outcome {
	target, ok := e.backends.pick(c.service, version, excluded)
	if !ok {
		return outcome.Not(outcome.NoBackend, "no backend server of "+c.service.Name+" is live", noBackendRetry)
	}
	excluded[target.vm] = true
	if !a.sent {
		a.version = target.version
	}
	t := &attempt{call: c, number: number, target: target, answer: a, pool: e.pool}
	return t.run(ctx)
}

// noBackendRetry is the advice when no backend server is live.
const noBackendRetry = 2 * time.Second

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func seedOf(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
