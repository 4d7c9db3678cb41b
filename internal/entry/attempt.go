package entry

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"lynxgate.dev/lynxgate/internal/frames"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// headerResume tells an engine after how many tokens to go on.
const headerResume = "X-Resume-Tokens"

// errCallerGone says that the caller no longer takes the answer.
var errCallerGone = errors.New("caller is gone")

// attempt is one dispatch of a call to one backend server.
type attempt struct {
	call   *call
	number int
	target choice
	answer *answer
	pool   *rpcconn.Pool
}

// run dispatches the call and passes the answer on until it ends.
func (t *attempt) run(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := t.pool.Get(ctx, t.target.addr)
	defer conn.Close()
	request := t.request()
	stream, err := rpc.NewDRPCDispatchClient(conn).Run(ctx, request)
	if err != nil {
		return lost(ctx, err)
	}
	defer stream.Close()
	assembler := frames.NewAssembler(frames.DefaultConfig, request.RequestId)
	for {
		frame, err := stream.Recv()
		if err != nil {
			o := lost(ctx, err)
			return assembler.Cut(o.Reason, o.Detail).Outcome
		}
		result := assembler.Step(frame)
		if err := t.pass(result); err != nil {
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
		RequestId:    fmt.Sprintf("%s/%d", c.id, t.number),
		Organisation: c.organisation.Name,
		Service:      c.service.Name,
		Model:        t.target.model,
		Version:      t.target.version,
		Method:       c.method,
		Path:         c.path,
		Headers:      headers,
		Body:         c.body,
		DeadlineMs:   max(1, time.Until(c.deadline).Milliseconds()),
		Priority:     uint32(c.priority),
	}
}

func (t *attempt) pass(result frames.Result) error {
	if result.Head != nil {
		t.answer.head(result.Head.Status, result.Head.Headers)
	}
	for _, piece := range result.Data {
		if err := t.answer.data(piece); err != nil {
			return fmt.Errorf("%w: %w", errCallerGone, err)
		}
	}
	return nil
}

// lost tells what an error of the connection to the agent means: the request
// certainly did not run only if the connection could not be made.
func lost(ctx context.Context, err error) outcome.Outcome {
	var dial *rpcconn.DialError
	switch {
	case errors.As(err, &dial):
		return outcome.Not(outcome.BackendFailed, "the agent does not accept connections", 0)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.May(outcome.DeadlineExceeded, "the deadline has passed")
	case ctx.Err() != nil:
		return outcome.May(outcome.Cancelled, "the caller is gone")
	}
	return outcome.May(outcome.ConnectionLost, "the connection to the agent was lost")
}
