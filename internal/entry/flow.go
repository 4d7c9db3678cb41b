package entry

import (
	"context"
	"hash/fnv"
	"net/http"
	"time"

	"lynxgate.dev/lynxgate/internal/admission"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/pause"
	"lynxgate.dev/lynxgate/internal/retry"
)

// serve answers one request of a caller.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	// The bound on sending the request must not end a long answer too.
	if e.catalog.Load().revision == 0 {
		o := outcome.Not(outcome.NoConfiguration, "this entry has no configuration yet", noBackendRetry)
		e.answerRefusal(w, &refusal{o})
		return
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(e.cfg.ReadBodyTimeout))
	c, err := e.resolve(r)
	if err != nil {
		// The bound stays: net/http may still read the rest of the body.
		e.answerRefusal(w, err)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	w.Header().Set(HeaderRequestID, c.id)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	a := &answer{w: w}
	end := e.admit(ctx, c, a)
	e.finish(c, a, end)
}

// admit waits for the call's turn and runs it, or returns why it did not run.
func (e *Entry) admit(ctx context.Context, c *call, a *answer) outcome.Outcome {
	ticket, refused := e.admission.Acquire(ctx, admission.Request{
		Organisation: c.organisation.Name,
		Service:      c.service.Name,
		Priority:     c.priority,
		Deadline:     c.deadline,
		Tokens:       float64(c.tokens),
	})
	if ticket == nil {
		return refused
	}
	// A repeat or a panic says nothing about the service time.
	ran := outcome.NotRun
	defer func() { ticket.Finish(ran, float64(a.tokens)) }()
	end := e.runCall(ctx, c, a)
	if !a.repeated {
		ran = end.Kind
	}
	return end
}

// runCall dispatches an admitted call and passes the whole answer on.
func (e *Entry) runCall(ctx context.Context, c *call, a *answer) outcome.Outcome {
	if c.rule.AtMostOnce {
		return e.serveClaimed(ctx, c, a)
	}
	end := e.dispatch(ctx, c, a)
	if end.Kind == outcome.Completed {
		_ = a.end()
	}
	return end
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
	var excluded []string
	for {
		t := e.newAttempt(c, a, attempts.Made())
		o := t.start(ctx, excluded)
		excluded = append(excluded, t.target.VM)
		begun := a.sent && !a.resumable()
		decision := attempts.Ended(o, begun, time.Now(), budget)
		if !decision.Retry || ctx.Err() != nil {
			return decision.Final
		}
		e.metrics.retries.WithLabelValues(c.service.Name, string(o.Reason)).Inc()
		a.restart()
		pause.For(ctx, decision.After)
	}
}

func seedOf(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
