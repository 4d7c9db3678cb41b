package entry

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"lynxgate.dev/lynxgate/internal/frames"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/pause"
	"lynxgate.dev/lynxgate/internal/routing"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// headerResume is the number of tokens after which an engine resumes an answer.
const headerResume = "X-Resume-Tokens"

const (
	// noBackendRetryAfter is the Retry-After of answers when no backend server is
	// live.
	noBackendRetryAfter = 2 * time.Second
	// overloadedRetryAfter is the Retry-After of answers when no backend server has
	// a free slot.
	overloadedRetryAfter = 500 * time.Millisecond
	// slotWait is how long an admitted request waits for a free slot; it polls
	// for one every slotPoll.
	slotWait = 250 * time.Millisecond
	slotPoll = 5 * time.Millisecond
)

// errCallerGone means that the answer could not be written to the caller.
var errCallerGone = errors.New("caller is gone")

// attempt is one dispatch of a call to one backend server.
type attempt struct {
	entry  *Entry
	call   *call
	id     string
	answer *answer
	target routing.Choice
	// started is the start of the attempt, and firstToken the time from it to
	// the first part of the answer, or 0 before that part has arrived.
	started    time.Time
	firstToken time.Duration
}

func (e *Entry) newAttempt(c *call, a *answer, number int) *attempt {
	return &attempt{entry: e, call: c, answer: a, id: fmt.Sprintf("%s/%d", c.id, number)}
}

// start picks a backend server that is not excluded, dispatches the call to it
// and reports the result to the routing table. A stream that has been partly
// sent to the caller is resumed only on the same version.
func (t *attempt) start(ctx context.Context, excluded []string) outcome.Outcome {
	request := routing.Request{
		Service:    t.call.service.Name,
		Model:      t.call.service.Model,
		Prefix:     t.call.prefixHash,
		Unstreamed: t.call.unstreamed(),
		Excluded:   excluded,
	}
	if t.answer.sent {
		request.Version = t.answer.version
	}
	t.started = time.Now()
	target, reason := t.acquire(ctx, request)
	if reason != routing.Picked {
		return notPicked(reason)
	}
	t.target = target
	t.answer.version = target.Version
	o := t.run(ctx)
	t.entry.router.step(context.WithoutCancel(ctx), t.event(o))
	return o
}

// acquire picks a backend server and takes a slot. Admission's count of slots
// lags slightly behind the routing table, so an admitted request that finds no
// free slot waits briefly for one instead of being refused.
func (t *attempt) acquire(ctx context.Context, request routing.Request) (routing.Choice, routing.Reason) {
	for {
		now := time.Now()
		target, reason := t.entry.router.table.Acquire(now, t.id, request)
		if reason != routing.ReasonFull || now.Sub(t.started) >= slotWait || ctx.Err() != nil {
			t.started = now
			return target, reason
		}
		pause.For(ctx, slotPoll)
	}
}

// notPicked returns the outcome of a call for which no backend server was
// picked.
func notPicked(reason routing.Reason) outcome.Outcome {
	switch reason {
	case routing.ReasonFull, routing.ReasonAllEjected, routing.ReasonAllExcluded:
		return outcome.NewNotRun(outcome.Overloaded, string(reason), overloadedRetryAfter)
	case routing.ReasonAllLeaving:
		return outcome.NewNotRun(outcome.Leaving, string(reason), noBackendRetryAfter)
	}
	return outcome.NewNotRun(outcome.NoBackend, string(reason), noBackendRetryAfter)
}

// event returns the event that reports the attempt's result to the routing
// table.
func (t *attempt) event(o outcome.Outcome) routing.Event {
	if o.Kind == outcome.NotRun {
		version := routing.Version{Model: t.call.service.Model, Version: t.target.Version}
		return routing.NotRun{VM: t.target.VM, ID: t.id, Reason: notRunReason(o.Reason), Version: version}
	}
	result := routing.Failed
	switch {
	case o.Kind == outcome.Completed:
		result = routing.Completed
	case o.Reason == outcome.Cancelled:
		result = routing.Cancelled
	}
	return routing.Finished{
		VM:         t.target.VM,
		ID:         t.id,
		Outcome:    result,
		FirstToken: t.firstToken,
		Total:      time.Since(t.started),
	}
}

func notRunReason(reason outcome.Reason) routing.NotRunReason {
	switch reason {
	case outcome.Leaving:
		return routing.NotRunLeaving
	case outcome.VersionNotLive:
		return routing.NotRunVersion
	case outcome.BackendRefused, outcome.Overloaded:
		return routing.NotRunFull
	}
	return routing.NotRunUnreachable
}

// run dispatches the call and passes its answer on.
func (t *attempt) run(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if t.call.idempotent() {
		defer t.entry.router.guard.add(t.target.VM, t.id, cancel)()
	}
	conn := t.entry.pool.Get(ctx, t.target.Addr)
	defer conn.Close()
	stream, err := rpc.NewDRPCDispatchClient(conn).Run(ctx, t.request())
	if err != nil {
		return connectionOutcome(ctx, err)
	}
	defer stream.Close()
	return t.receive(ctx, stream)
}

// receive assembles the answer from its frames and passes it on.
func (t *attempt) receive(ctx context.Context, stream rpc.DRPCDispatch_RunClient) outcome.Outcome {
	assembler := frames.NewAssembler(frames.DefaultConfig, t.id)
	for {
		frame, err := stream.Recv()
		if err != nil {
			o := connectionOutcome(ctx, err)
			return assembler.Cut(o.Reason, o.Detail).Outcome
		}
		if frame.InFlight > 0 {
			t.entry.router.noteInFlight(ctx, t.target.VM, int(frame.InFlight))
		}
		result := assembler.Step(frame)
		err = t.pass(ctx, result)
		if errors.Is(err, errEventTooLarge) {
			return outcome.NewUnknown(outcome.AnswerCorrupt, err.Error())
		}
		if err != nil {
			return outcome.NewUnknown(outcome.Cancelled, err.Error())
		}
		if result.Done {
			return result.Outcome
		}
	}
}

func (t *attempt) request() *rpc.RunRequest {
	c := t.call
	headers := c.headers
	if t.answer.tokens > 0 {
		resume := &rpc.Header{Name: headerResume, Value: strconv.Itoa(t.answer.tokens)}
		headers = append(headers[:len(headers):len(headers)], resume)
	}
	return &rpc.RunRequest{
		RequestId:    t.id,
		Organisation: c.organisation.Name,
		Service:      c.service.Name,
		Model:        c.service.Model,
		Version:      t.target.Version,
		Method:       c.method,
		Path:         c.path,
		Headers:      headers,
		Body:         c.body,
		DeadlineMs:   max(1, time.Until(c.deadline).Milliseconds()),
		Priority:     uint32(c.priority),
	}
}

func (t *attempt) pass(ctx context.Context, result frames.Result) error {
	if result.Head != nil {
		t.answer.setHead(result.Head.Status, result.Head.Headers)
	}
	if len(result.Data) > 0 && t.firstToken == 0 {
		t.noteFirstToken(ctx)
	}
	for _, piece := range result.Data {
		err := t.answer.write(piece)
		if errors.Is(err, errEventTooLarge) {
			return err
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errCallerGone, err)
		}
	}
	return nil
}

// noteFirstToken records the time to the first part of the answer. That of a
// stream is reported to the routing table at once, so that a long stream does
// not look like a stalled request.
func (t *attempt) noteFirstToken(ctx context.Context) {
	t.firstToken = time.Since(t.started)
	if t.call.unstreamed() {
		return
	}
	t.entry.router.step(ctx, routing.FirstToken{VM: t.target.VM, ID: t.id, Elapsed: t.firstToken})
}

// connectionOutcome returns the outcome of an attempt after an error of the
// connection to the agent. Only if connecting failed is it certain that the
// request did not run.
func connectionOutcome(ctx context.Context, err error) outcome.Outcome {
	var dial *rpcconn.DialError
	switch {
	case errors.As(err, &dial):
		return outcome.NewNotRun(outcome.BackendFailed, "the agent does not accept connections", 0)
	case errors.Is(context.Cause(ctx), errSilent):
		return outcome.NewUnknown(outcome.ConnectionLost, errSilent.Error())
	case isStopping(ctx):
		return outcome.NewUnknown(outcome.Leaving, detailLeaving)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.NewUnknown(outcome.DeadlineExceeded, "the deadline has passed")
	case ctx.Err() != nil:
		return outcome.NewUnknown(outcome.Cancelled, "the caller is gone")
	}
	return outcome.NewUnknown(outcome.ConnectionLost, "the connection to the agent was lost")
}
