package entry

import (
	"context"
	"hash/fnv"
	"net/http"
	"time"

	"lynxgate.dev/lynxgate/internal/admission"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/pause"
	"lynxgate.dev/lynxgate/internal/retry"
)

// serve answers one request of a caller.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	if e.catalog.Load().revision == 0 {
		o := outcome.NewNotRun(outcome.NoConfiguration, "this entry has no configuration yet", noBackendRetryAfter)
		e.answerRefusal(w, &refusal{o})
		return
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(e.cfg.ReadBodyTimeout))
	unbound := e.boundBody(conn)
	c, err := e.resolve(r)
	if unbound() { // the read deadline may have ended the request's context, also if the body was just complete
		w.Header().Set("Connection", "close")
		err = &refusal{leavingOutcome()}
	}
	if err != nil {
		// The read deadline stays: net/http may still read the rest of the body.
		e.answerRefusal(w, err)
		return
	}
	// The read deadline of the request must not abort a long answer.
	_ = conn.SetReadDeadline(time.Time{})
	w.Header().Set(HeaderRequestID, c.id)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	ctx, release := e.end.Context(ctx, 0)
	defer release()
	a := &answer{w: w}
	o := e.admit(ctx, c, a)
	e.finish(c, a, o)
}

// admit waits in the wait queue until the call is admitted, then runs it. It
// returns the refusal if the call is not admitted.
func (e *Entry) admit(ctx context.Context, c *call, a *answer) outcome.Outcome {
	if !e.canEnd(c) {
		return leavingOutcome()
	}
	ticket, refused := e.acquire(ctx, c)
	if ticket == nil {
		return refused
	}
	// A repeated call or a panic does not measure the service time.
	ran := outcome.NotRun
	defer func() { ticket.Finish(ran, float64(a.tokens)) }()
	o := e.runCall(ctx, c, a)
	if !a.repeated {
		ran = o.Kind
	}
	return o
}

// acquire waits in the wait queue until the call is admitted, or can't end before the process does.
func (e *Entry) acquire(ctx context.Context, c *call) (*admission.Ticket, outcome.Outcome) {
	ctx, cancel := e.end.Context(ctx, e.takes(c))
	defer cancel()
	ticket, refused := e.admission.Acquire(ctx, admission.Request{
		Organisation: c.organisation.Name,
		Service:      c.service.Name,
		Priority:     c.priority,
		Deadline:     c.deadline,
		Tokens:       float64(c.tokens),
	})
	if ticket == nil && isStopping(ctx) {
		refused = leavingOutcome()
	}
	return ticket, refused
}

// runCall dispatches an admitted call and passes its complete answer on.
func (e *Entry) runCall(ctx context.Context, c *call, a *answer) outcome.Outcome {
	if c.rule.AtMostOnce {
		return e.serveClaimed(ctx, c, a)
	}
	o := e.dispatch(ctx, c, a)
	if o.Kind == outcome.Completed {
		_ = a.complete()
	}
	return o
}

func (e *Entry) answerRefusal(w http.ResponseWriter, err error) {
	refused, ok := err.(*refusal)
	if !ok {
		panic("entry: resolve returned an error that is no refusal: " + err.Error())
	}
	e.metrics.requests.WithLabelValues("", refused.outcome.Kind.String(), string(refused.outcome.Reason)).Inc()
	_ = refused.outcome.Write(w)
}

// finish counts the outcome and, unless the call was completed, reports it to
// the caller.
func (e *Entry) finish(c *call, a *answer, o outcome.Outcome) {
	e.metrics.requests.WithLabelValues(c.service.Name, o.Kind.String(), string(o.Reason)).Inc()
	if o.Kind == outcome.Unknown && o.Reason == outcome.Leaving {
		e.stopped.Add(1)
	}
	if e.leaving.Load() && !a.sent {
		a.w.Header().Set("Connection", "close")
	}
	switch {
	case o.Kind == outcome.Completed:
	case a.sent:
		a.abort(o)
	default:
		_ = o.Write(a.w)
	}
}

// dispatch makes attempts until one completes the call or no retry is allowed.
func (e *Entry) dispatch(ctx context.Context, c *call, a *answer) outcome.Outcome {
	budget := e.budget(c.service.Name)
	budget.Request(time.Now())
	attempts := retry.NewAttempts(e.retryPolicy, retry.Request{
		Seed:       seedOf(c.id),
		Idempotent: c.idempotent(),
		AtMostOnce: c.rule.AtMostOnce,
		Deadline:   c.deadline,
	})
	var excluded []string
	final := leavingOutcome()
	for began := clock.Now(); e.canEnd(c); {
		t := e.newAttempt(c, a, attempts.Count())
		o := t.start(ctx, excluded)
		excluded = append(excluded, t.target.VM)
		begun := a.sent && !a.resumable()
		decision := attempts.Record(o, begun, time.Now(), budget)
		final = decision.Final
		if final.Kind == outcome.Completed && attempts.Count() == 1 {
			e.answerTimes.observe(c.service.Name, clock.Since(began))
		}
		if !decision.Retry || ctx.Err() != nil || !e.end.Allows(clock.Now().Add(decision.After), e.takes(c)) {
			return final
		}
		e.metrics.retries.WithLabelValues(c.service.Name, string(o.Reason)).Inc()
		a.discardUnsent()
		pause.For(ctx, decision.After)
	}
	return final
}

func seedOf(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
