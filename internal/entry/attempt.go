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

// headerResume tells an engine after how many tokens to go on.
const headerResume = "X-Resume-Tokens"

const (
	// noBackendRetry is the advice when no backend server is live.
	noBackendRetry = 2 * time.Second
	// overloadedRetry is the advice when all are full for the moment.
	overloadedRetry = 500 * time.Millisecond
	// fullWait is how long a started request waits for a slot, which it looks
	// for every fullPoll.
	fullWait = 250 * time.Millisecond
	fullPoll = 5 * time.Millisecond
)

// errCallerGone says that the caller no longer takes the answer.
var errCallerGone = errors.New("caller is gone")

// attempt is one dispatch of a call to one backend server.
type attempt struct {
	entry  *Entry
	call   *call
	id     string
	answer *answer
	target routing.Choice
	// started and firstToken time the attempt; firstToken is 0 before any
	// part of the answer has come.
	started    time.Time
	firstToken time.Duration
}

func (e *Entry) newAttempt(c *call, a *answer, number int) *attempt {
	return &attempt{entry: e, call: c, answer: a, id: fmt.Sprintf("%s/%d", c.id, number)}
}

// start picks a backend server that is not excluded, dispatches the call to
// it and tells the routing table how that ended. A stream that the caller has
// a part of is only resumed on the same version.
func (t *attempt) start(ctx context.Context, excluded []string) outcome.Outcome {
	request := routing.Request{
		Service:  t.call.service.Name,
		Model:    t.call.service.Model,
		Prefix:   t.call.prefixHash,
		Whole:    t.call.whole(),
		Excluded: excluded,
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
	end := t.run(ctx)
	t.entry.router.step(context.WithoutCancel(ctx), t.ended(end))
	return end
}

// acquire picks a backend server. Admission counts slots a little behind the
// routing table, so a request whose turn has come waits a moment for a slot
// that is about to come free, rather than be refused.
func (t *attempt) acquire(ctx context.Context, request routing.Request) (routing.Choice, routing.Reason) {
	for {
		now := time.Now()
		target, reason := t.entry.router.table.Acquire(now, t.id, request)
		if reason != routing.ReasonFull || now.Sub(t.started) >= fullWait || ctx.Err() != nil {
			t.started = now
			return target, reason
		}
		pause.For(ctx, fullPoll)
	}
}

// notPicked tells why no backend server could take the call.
func notPicked(reason routing.Reason) outcome.Outcome {
	switch reason {
	case routing.ReasonFull, routing.ReasonAllAside, routing.ReasonAllExcluded:
		return outcome.Not(outcome.Overloaded, string(reason), overloadedRetry)
	case routing.ReasonAllLeaving:
		return outcome.Not(outcome.Leaving, string(reason), noBackendRetry)
	}
	return outcome.Not(outcome.NoBackend, string(reason), noBackendRetry)
}

// ended is what the routing table learns of the attempt.
func (t *attempt) ended(end outcome.Outcome) routing.Event {
	if end.Kind == outcome.NotRun {
		version := routing.Version{Model: t.call.service.Model, Version: t.target.Version}
		return routing.NotRun{VM: t.target.VM, ID: t.id, Reason: notRunReason(end.Reason), Version: version}
	}
	result := routing.Failed
	switch {
	case end.Kind == outcome.Completed:
		result = routing.Completed
	case end.Reason == outcome.Cancelled:
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

// run dispatches the call and passes the answer on until it ends.
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
		return lost(ctx, err)
	}
	defer stream.Close()
	return t.receive(ctx, stream)
}

// receive assembles the answer from its frames.
func (t *attempt) receive(ctx context.Context, stream rpc.DRPCDispatch_RunClient) outcome.Outcome {
	assembler := frames.NewAssembler(frames.DefaultConfig, t.id)
	for {
		frame, err := stream.Recv()
		if err != nil {
			o := lost(ctx, err)
			return assembler.Cut(o.Reason, o.Detail).Outcome
		}
		if frame.InFlight > 0 {
			t.entry.router.counted(ctx, t.target.VM, int(frame.InFlight))
		}
		result := assembler.Step(frame)
		if err := t.pass(ctx, result); err != nil {
			return outcome.May(outcome.Cancelled, err.Error())
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
		t.answer.head(result.Head.Status, result.Head.Headers)
	}
	if len(result.Data) > 0 && t.firstToken == 0 {
		t.begun(ctx)
	}
	for _, piece := range result.Data {
		if err := t.answer.data(piece); err != nil {
			return fmt.Errorf("%w: %w", errCallerGone, err)
		}
	}
	return nil
}

// begun notes the time to the first part of the answer. The routing table
// learns it at once: a long stream must not look like a stalled request.
func (t *attempt) begun(ctx context.Context) {
	t.firstToken = time.Since(t.started)
	if t.call.whole() {
		return
	}
	t.entry.router.step(ctx, routing.FirstToken{VM: t.target.VM, ID: t.id, Elapsed: t.firstToken})
}

// lost tells what an error of the connection to the agent means: the request
// certainly did not run only if the connection could not be made.
func lost(ctx context.Context, err error) outcome.Outcome {
	var dial *rpcconn.DialError
	switch {
	case errors.As(err, &dial):
		return outcome.Not(outcome.BackendFailed, "the agent does not accept connections", 0)
	case errors.Is(context.Cause(ctx), errSilent):
		return outcome.May(outcome.ConnectionLost, errSilent.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.May(outcome.DeadlineExceeded, "the deadline has passed")
	case ctx.Err() != nil:
		return outcome.May(outcome.Cancelled, "the caller is gone")
	}
	return outcome.May(outcome.ConnectionLost, "the connection to the agent was lost")
}
