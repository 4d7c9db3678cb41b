package frames

import (
	"bytes"
	"fmt"
	"time"

	"lukechampine.com/blake3"
	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Config bounds the frames that an Assembler buffers until earlier ones arrive.
type Config struct {
	// Window is how many numbers ahead of the next expected frame a frame may be.
	Window uint64
	// WindowBytes bounds the buffered body bytes.
	WindowBytes int
}

// DefaultConfig allows for some reordering. The transport in use preserves
// order, so a larger gap means that frames were lost.
var DefaultConfig = Config{Window: 64, WindowBytes: 1 << 20}

// Ignored is the reason why a frame was dropped without an effect on the answer.
type Ignored uint8

// The reasons for dropping a frame.
const (
	// Accepted means the frame was not dropped.
	Accepted Ignored = iota
	// Duplicate means a frame with this number was received before.
	Duplicate
	// Late means the answer had already ended.
	Late
	// OtherRequest means the frame belongs to another request.
	OtherRequest
)

// Counts are the numbers of frames that were dropped or arrived out of order.
type Counts struct {
	Duplicate, Late, OtherRequest, Reordered uint64
}

// Result is what the entry may pass on to the caller after one step.
type Result struct {
	// Head is set once, when the answer's status and headers are known.
	Head *rpc.ResponseFrame
	// Data is the next parts of the body in order. The next step reuses the
	// slice, but not the parts.
	Data [][]byte
	// Done means that the answer has ended with Outcome. Data of the same
	// result belongs before the end.
	Done    bool
	Outcome outcome.Outcome
	// Ignored is not Accepted when the frame was dropped.
	Ignored Ignored
}

// Assembler reassembles one answer from its frames.
type Assembler struct {
	cfg           Config
	requestID     string
	next          uint64
	headSeen      bool
	length        uint64
	hasher        *blake3.Hasher
	buffered      map[uint64]*rpc.ResponseFrame
	bufferedBytes int
	data          [][]byte
	done          bool
	outcome       outcome.Outcome
	counts        Counts
}

// NewAssembler returns an Assembler for the answer to one request.
func NewAssembler(cfg Config, requestID string) *Assembler {
	return &Assembler{cfg: cfg, requestID: requestID, hasher: getHasher()}
}

// Step processes one frame as it arrives. The Assembler keeps frames that arrive
// early, so the caller must not change a frame after passing it in.
func (a *Assembler) Step(f *rpc.ResponseFrame) Result {
	if why := a.ignore(f); why != Accepted {
		return Result{Ignored: why}
	}
	if f.Seq > a.next {
		return a.buffer(f)
	}
	a.data = a.data[:0]
	var res Result
	a.process(f, &res)
	a.processBuffered(&res)
	res.Data = a.data
	return res
}

// Cut ends the answer when no further frame can arrive: the stream closed, the
// deadline passed, or the caller disconnected. The outcome is that the request may
// have run. Cut has no effect if the answer has ended before.
func (a *Assembler) Cut(reason outcome.Reason, detail string) Result {
	if !a.done {
		a.finish(outcome.NewUnknown(reason, detail))
	}
	return Result{Done: true, Outcome: a.outcome}
}

// Done returns the outcome and whether the answer has ended.
func (a *Assembler) Done() (outcome.Outcome, bool) { return a.outcome, a.done }

// Delivered reports whether a head has been delivered, so that an error
// answer can no longer be sent in its place.
func (a *Assembler) Delivered() bool { return a.headSeen }

// Length returns the number of body bytes delivered so far.
func (a *Assembler) Length() uint64 { return a.length }

// Counts returns how many frames were dropped or arrived out of order.
func (a *Assembler) Counts() Counts { return a.counts }

func (a *Assembler) ignore(f *rpc.ResponseFrame) Ignored {
	if f.RequestId != a.requestID {
		a.counts.OtherRequest++
		return OtherRequest
	}
	if a.done {
		a.counts.Late++
		return Late
	}
	if _, held := a.buffered[f.Seq]; held || f.Seq < a.next {
		a.counts.Duplicate++
		return Duplicate
	}
	return Accepted
}

// buffer keeps a frame that arrived early, or ends the answer if it exceeds the window.
func (a *Assembler) buffer(f *rpc.ResponseFrame) Result {
	a.counts.Reordered++
	tooFar := f.Seq-a.next > a.cfg.Window
	if tooFar || a.bufferedBytes+len(f.Data) > a.cfg.WindowBytes {
		return a.Cut(outcome.AnswerCut, fmt.Sprintf("frame %d is missing", a.next))
	}
	if a.buffered == nil {
		a.buffered = make(map[uint64]*rpc.ResponseFrame)
	}
	a.buffered[f.Seq] = f
	a.bufferedBytes += len(f.Data)
	return Result{}
}

// processBuffered processes the buffered frames that are next in order.
func (a *Assembler) processBuffered(res *Result) {
	for !a.done && len(a.buffered) > 0 {
		f, ok := a.buffered[a.next]
		if !ok {
			return
		}
		delete(a.buffered, a.next)
		a.bufferedBytes -= len(f.Data)
		a.process(f, res)
	}
}

// process handles the frame that is next in order.
func (a *Assembler) process(f *rpc.ResponseFrame, res *Result) {
	first := a.next == 0
	a.next++
	switch f.Kind {
	case rpc.FrameKind_FRAME_HEAD:
		a.processHead(f, first, res)
	case rpc.FrameKind_FRAME_DATA:
		a.processData(f)
	case rpc.FrameKind_FRAME_END:
		a.finish(a.checkEnd(f))
	case rpc.FrameKind_FRAME_NOT_RUN:
		a.finish(a.checkNotRun(f, first))
	case rpc.FrameKind_FRAME_UNKNOWN:
		a.finish(failure(outcome.Unknown, f))
	default:
		a.finish(corrupt("frame %d is of unknown kind %d", f.Seq, f.Kind))
	}
	if a.done {
		res.Done = true
		res.Outcome = a.outcome
	}
}

func (a *Assembler) processHead(f *rpc.ResponseFrame, first bool, res *Result) {
	if !first {
		a.finish(corrupt("head in frame %d", f.Seq))
		return
	}
	if !headlimit.IsFinal(int(f.Status)) {
		a.finish(corrupt("status %d is none of HTTP's", f.Status))
		return
	}
	a.headSeen = true
	res.Head = f
}

func (a *Assembler) processData(f *rpc.ResponseFrame) {
	if !a.headSeen {
		a.finish(corrupt("data before the head"))
		return
	}
	if len(f.Data) == 0 {
		return
	}
	a.length += uint64(len(f.Data))
	a.hasher.Write(f.Data) // never fails
	a.data = append(a.data, f.Data)
}

func (a *Assembler) checkEnd(f *rpc.ResponseFrame) outcome.Outcome {
	if !a.headSeen {
		return corrupt("end before the head")
	}
	if f.Length != a.length {
		return corrupt("length is %d, end mark says %d", a.length, f.Length)
	}
	if !bytes.Equal(f.Digest, a.hasher.Sum(nil)) {
		return corrupt("digest does not match the end mark")
	}
	return outcome.NewCompleted()
}

// checkNotRun accepts "not run" only as the only frame of the answer.
func (a *Assembler) checkNotRun(f *rpc.ResponseFrame, first bool) outcome.Outcome {
	if !first || len(a.buffered) > 0 {
		return corrupt("not run beside frames of an answer")
	}
	return failure(outcome.NotRun, f)
}

func (a *Assembler) finish(o outcome.Outcome) {
	a.done = true
	a.outcome = o
	a.buffered = nil
	a.bufferedBytes = 0
	hashers.Put(a.hasher)
	a.hasher = nil
}

func failure(kind outcome.Kind, f *rpc.ResponseFrame) outcome.Outcome {
	return outcome.Outcome{
		Kind:       kind,
		Reason:     outcome.Reason(f.Reason),
		RetryAfter: time.Duration(max(f.RetryAfterMs, 0)) * time.Millisecond,
	}
}

func corrupt(format string, args ...any) outcome.Outcome {
	return outcome.NewUnknown(outcome.AnswerCorrupt, fmt.Sprintf(format, args...))
}
