package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/frames"
	"lynxgate.dev/lynxgate/internal/headers"
	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/shutdown"
)

const (
	// bufferBytes is the maximum response data in one frame.
	bufferBytes = 32 << 10
	// firstBufferBytes is the size of the buffer that every response starts
	// with; most streamed responses never fill it.
	firstBufferBytes = 2 << 10
)

// firstBuffers and buffers pool the read buffers. Reuse is safe because a frame
// is encoded before Send returns.
var (
	firstBuffers = sync.Pool{New: func() any { return new([firstBufferBytes]byte) }}
	buffers      = sync.Pool{New: func() any { return new([bufferBytes]byte) }}
)

// Run implements rpc.DRPCDispatchServer: it forwards one request to the
// backend server and returns the response as frames. The last frame is
// FRAME_NOT_RUN if the backend server did not run the request, and
// FRAME_UNKNOWN if it may have run but there is no complete response.
func (a *Agent) Run(in *rpc.RunRequest, stream rpc.DRPCDispatch_RunStream) error {
	w := &sender{frames: frames.NewWriter(in.RequestId), stream: stream, gate: a.gate}
	if in.Service != a.cfg.Service {
		return a.notRun(w, outcome.NotFound, 0)
	}
	if reason := a.gate.admit(orders.Ref{Model: in.Model, Version: in.Version}); reason != admitted {
		return a.notRun(w, reason, 0)
	}
	defer a.gate.done()
	if wait, ok := a.limiter.admit(time.Now()); !ok {
		return a.notRun(w, outcome.Overloaded, wait)
	}
	a.countTraffic(0, len(in.Body))
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(in.DeadlineMs)*time.Millisecond)
	defer cancel()
	ctx, release := a.end.Context(ctx, 0)
	defer release()
	return a.forward(ctx, in, w)
}

func (a *Agent) notRun(w *sender, reason outcome.Reason, retryAfter time.Duration) error {
	a.metrics.requests.WithLabelValues("not_run").Inc()
	return w.send(w.frames.Fail(outcome.NewNotRun(reason, "", retryAfter)))
}

func (a *Agent) unknown(w *sender, reason outcome.Reason) error {
	a.metrics.requests.WithLabelValues("unknown").Inc()
	return w.send(w.frames.Fail(outcome.NewUnknown(reason, "")))
}

// invalid ends a request of which a head came back that is no answer.
func (a *Agent) invalid(w *sender, cause string) error {
	a.metrics.invalidAnswers.WithLabelValues(cause).Inc()
	return a.unknown(w, outcome.AnswerCorrupt)
}

// sender numbers and sends the frames of one response.
type sender struct {
	frames *frames.Writer
	stream rpc.DRPCDispatch_RunStream
	gate   *gate
}

// send sends a frame. Every frame but FRAME_DATA contains the current number of
// requests in progress.
func (w *sender) send(f *rpc.ResponseFrame) error {
	if f.Kind != rpc.FrameKind_FRAME_DATA {
		f.InFlight = uint32(w.gate.state().inFlight)
	}
	return w.stream.Send(f)
}

func (a *Agent) forward(ctx context.Context, in *rpc.RunRequest, w *sender) error {
	started := time.Now()
	resp, err := a.backend.do(ctx, in)
	var notSent *notSentError
	switch {
	case errors.As(err, &notSent):
		a.clearBackendLeaving()
		return a.notRun(w, outcome.BackendRefused, 0)
	case errors.Is(err, headlimit.ErrInvalidStatus):
		return a.invalid(w, "invalid-status")
	case errors.Is(err, headlimit.ErrSplicedHead):
		return a.invalid(w, "spliced-head")
	case errors.Is(err, headlimit.ErrUnasked):
		return a.invalid(w, "other-request")
	case err != nil:
		return a.unknown(w, a.unknownReason(ctx))
	}
	defer resp.Body.Close()
	now := time.Now()
	a.limiter.observeLimit(now, started, resp)
	backoff := a.limiter.observeBackoff(now, resp)
	a.observeLeaving(resp)
	if a.refusedByEngine(resp) {
		return a.notRun(w, outcome.BackendRefused, backoff)
	}
	if !a.fromServedWeights(in, resp) {
		a.metrics.foreignWeights.Inc()
		return a.unknown(w, outcome.AnswerCorrupt)
	}
	head := w.frames.Head(resp.StatusCode, headers.EndToEnd(resp.Header, withheldHeaders))
	if err := w.send(head); err != nil {
		return err
	}
	return a.stream(ctx, resp, w, started)
}

// refusedByEngine reports whether an engine refused the request. The same
// status codes from a plain service are a response for the caller.
func (a *Agent) refusedByEngine(resp *http.Response) bool {
	if a.plain() {
		return false
	}
	return resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
}

// fromServedWeights compares the weights digest in an engine's response, if
// present, with the verified digest of the pinned version.
func (a *Agent) fromServedWeights(in *rpc.RunRequest, resp *http.Response) bool {
	stated := resp.Header.Get(headerWeightsDigest)
	if stated == "" || a.plain() {
		return true
	}
	staged := *a.staged.Load()
	weights, ok := staged[orders.Ref{Model: in.Model, Version: in.Version}]
	return !ok || weights.Digest == stated
}

func (a *Agent) stream(ctx context.Context, resp *http.Response, w *sender, started time.Time) error {
	small := firstBuffers.Get().(*[firstBufferBytes]byte)
	defer firstBuffers.Put(small)
	buf := small[:]
	first := true
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if first {
				a.observeFirstByte(time.Since(started))
				first = false
			}
			a.countTraffic(n, 0)
			if err := w.send(w.frames.Data(buf[:n])); err != nil {
				return err
			}
		}
		if n == len(buf) && n == firstBufferBytes {
			large := buffers.Get().(*[bufferBytes]byte)
			defer buffers.Put(large)
			buf = large[:]
		}
		if errors.Is(err, io.EOF) && !a.endsWithServer(ctx, resp) {
			a.metrics.requests.WithLabelValues("completed").Inc()
			return w.send(w.frames.End())
		}
		if err != nil {
			return a.unknown(w, a.unknownReason(ctx))
		}
	}
}

// endsWithServer reports whether the end of a body may be that of its server. A body with neither a length nor chunks ends with its
// connection, and so does one whose server crashes: it is complete if the server still accepts connections, or has signalled
// that it leaves.
func (a *Agent) endsWithServer(ctx context.Context, resp *http.Response) bool {
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	return unframed && !a.gate.isBackendLeaving() && !a.backend.reachable(ctx)
}

// unknownReason distinguishes an expired deadline from a failed backend server, and counts requests that the stop of the agent has
// ended.
func (a *Agent) unknownReason(ctx context.Context) outcome.Reason {
	if errors.Is(context.Cause(ctx), shutdown.ErrStopping) {
		a.stopped.Add(1)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.DeadlineExceeded
	}
	return outcome.AnswerCut
}

// countTraffic subtracts request and response bytes from the bandwidth that weight
// transfers may use on the VM's link.
func (a *Agent) countTraffic(up, down int) {
	if a.transfers != nil {
		a.transfers.CountTraffic(up, down)
	}
}

func (a *Agent) observeFirstByte(d time.Duration) {
	a.metrics.firstByte.Observe(d.Seconds())
	if a.transfers != nil {
		a.transfers.ObserveFirstToken(d)
	}
}
