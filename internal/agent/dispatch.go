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
	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const (
	// pieceBytes is the most answer data sent in one frame.
	pieceBytes = 32 << 10
	// firstPieceBytes is the buffer that an answer begins with; most streams
	// never fill it.
	firstPieceBytes = 2 << 10
)

// firstPieces and pieces hold buffers for reuse: a frame is encoded before Send
// returns.
var (
	firstPieces = sync.Pool{New: func() any { return new([firstPieceBytes]byte) }}
	pieces      = sync.Pool{New: func() any { return new([pieceBytes]byte) }}
)

// Run implements rpc.DRPCDispatchServer: it forwards one request to the
// backend server and sends the answer back as frames. A request that did not
// reach the backend server ends with FRAME_NOT_RUN; one whose answer was cut
// ends with FRAME_UNKNOWN.
func (a *Agent) Run(in *rpc.RunRequest, stream rpc.DRPCDispatch_RunStream) error {
	w := &sender{frames: frames.NewWriter(in.RequestId), stream: stream, gate: a.gate}
	if in.Service != a.cfg.Service {
		return a.notRun(w, outcome.NotFound, 0)
	}
	if reason := a.gate.enter(orders.Ref{Model: in.Model, Version: in.Version}); reason != admitted {
		return a.notRun(w, reason, 0)
	}
	defer a.gate.leave()
	if wait, ok := a.limiter.admit(time.Now()); !ok {
		return a.notRun(w, outcome.Overloaded, wait)
	}
	a.spendLive(0, len(in.Body))
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(in.DeadlineMs)*time.Millisecond)
	defer cancel()
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

// sender numbers the frames of one answer and sends them.
type sender struct {
	frames *frames.Writer
	stream rpc.DRPCDispatch_RunStream
	gate   *gate
}

// send sends a frame. All but those with data bring the entry a fresh count
// of the requests in progress.
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
		a.backendEnded()
		return a.notRun(w, outcome.BackendRefused, 0)
	case err != nil:
		return a.unknown(w, unknownReason(ctx))
	}
	defer resp.Body.Close()
	now := time.Now()
	a.limiter.hear(now, started, resp)
	backoff := a.limiter.hearBackoff(now, resp)
	a.hearLeaving(resp)
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

// refusedByEngine reports whether an engine said that it took no work. The
// same status of a plain service is its answer.
func (a *Agent) refusedByEngine(resp *http.Response) bool {
	if a.plain() {
		return false
	}
	return resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
}

// fromServedWeights checks the weights digest that an engine states with an
// answer, if it does, against the verified digest of the pinned version.
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
	small := firstPieces.Get().(*[firstPieceBytes]byte)
	defer firstPieces.Put(small)
	buf := small[:]
	first := true
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if first {
				a.observeFirst(time.Since(started))
				first = false
			}
			a.spendLive(n, 0)
			if err := w.send(w.frames.Data(buf[:n])); err != nil {
				return err
			}
		}
		if n == len(buf) && n == firstPieceBytes {
			large := pieces.Get().(*[pieceBytes]byte)
			defer pieces.Put(large)
			buf = large[:]
		}
		if errors.Is(err, io.EOF) {
			a.metrics.requests.WithLabelValues("completed").Inc()
			return w.send(w.frames.End())
		}
		if err != nil {
			return a.unknown(w, unknownReason(ctx))
		}
	}
}

// unknownReason tells a deadline from a backend server that failed.
func unknownReason(ctx context.Context) outcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.DeadlineExceeded
	}
	return outcome.AnswerCut
}

// spendLive counts bytes of requests on the VM's link, so that transfers make
// room for them.
func (a *Agent) spendLive(up, down int) {
	if a.transfers != nil {
		a.transfers.SpendLive(up, down)
	}
}

func (a *Agent) observeFirst(d time.Duration) {
	a.metrics.firstByte.Observe(d.Seconds())
	if a.transfers != nil {
		a.transfers.ObserveLive(d)
	}
}
