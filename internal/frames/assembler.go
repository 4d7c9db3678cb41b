package frames

import (
	"bytes"
	"fmt"
	"time"

	"lukechampine.com/blake3"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Config bounds what an Assembler holds back for frames still missing.
type Config struct {
	// Window is how far ahead of the next expected frame a frame may be.
	Window uint64
	// WindowBytes bounds the body bytes held back.
	WindowBytes int
}

// DefaultConfig allows for some frames overtaking each other. The transport
// in use keeps order, so a larger gap means that frames were lost.
var DefaultConfig = Config{Window: 64, WindowBytes: 1 << 20}

// Ignored says why a frame was dropped without harm.
type Ignored uint8

// The reasons for dropping a frame.
const (
	// Accepted means the frame was not dropped.
	Accepted Ignored = iota
	// Duplicate means the frame's number has been seen.
	Duplicate
	// Late means the answer had already ended.
	Late
	// OtherRequest means the frame belongs to another request.
	OtherRequest
)

// Counts of frames that were not simply the next one.
type Counts struct {
	Duplicate, Late, OtherRequest, Reordered uint64
}

// Result is what one step allows the entry to do.
type Result struct {
	// Head is set once, when the answer's status and headers are known.
	Head *rpc.ResponseFrame
	// Data holds the next pieces of the body in order. The slice, not the
	// pieces, is reused by the next step.
	Data [][]byte
	// Done means that the answer has ended as Outcome says. Data of the same
	// result comes before the end.
	Done    bool
	Outcome outcome.Outcome
	// Ignored is not Accepted when the frame was dropped.
	Ignored Ignored
}

// Assembler rebuilds one answer from its frames.
type Assembler struct {
	cfg       Config
	requestID string
	next      uint64
	headSeen  bool
	length    uint64
	hasher    *blake3.Hasher
	held      map[uint64]*rpc.ResponseFrame
	heldBytes int
	data      [][]byte
	done      bool
	outcome   outcome.Outcome
	counts    Counts
}

// NewAssembler returns an Assembler for the answer to one request.
func NewAssembler(cfg Config, requestID string) *Assembler {
	return &Assembler{cfg: cfg, requestID: requestID, hasher: takeHasher()}
}

// Step takes one frame as it arrives. The Assembler keeps a frame that came
// early; the caller must not change a frame after passing it in.
func (a *Assembler) Step(f *rpc.ResponseFrame) Result {
	if why := a.ignore(f); why != Accepted {
		return Result{Ignored: why}
	}
	if f.Seq > a.next {
		return a.hold(f)
	}
	a.data = a.data[:0]
	var res Result
	a.take(f, &res)
	a.takeHeld(&res)
	res.Data = a.data
	return res
}

// Cut ends the answer because no further frame can come: the stream closed,
// the deadline passed, or the caller left. It changes nothing when the answer
// has ended before. The request may have run.
func (a *Assembler) Cut(reason outcome.Reason, detail string) Result {
	if !a.done {
		a.finish(outcome.NewUnknown(reason, detail))
	}
	return Result{Done: true, Outcome: a.outcome}
}

// Done reports whether the answer has ended, and how.
func (a *Assembler) Done() (outcome.Outcome, bool) { return a.outcome, a.done }

// Delivered reports whether a head has been delivered, so that an error
// answer can no longer be sent in its place.
func (a *Assembler) Delivered() bool { return a.headSeen }

// Length returns the bytes of body delivered so far.
func (a *Assembler) Length() uint64 { return a.length }

// Counts returns how many frames were dropped or came out of order.
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
	if _, held := a.held[f.Seq]; held || f.Seq < a.next {
		a.counts.Duplicate++
		return Duplicate
	}
	return Accepted
}

// hold keeps a frame that came early, within the window.
func (a *Assembler) hold(f *rpc.ResponseFrame) Result {
	a.counts.Reordered++
	tooFar := f.Seq-a.next > a.cfg.Window
	if tooFar || a.heldBytes+len(f.Data) > a.cfg.WindowBytes {
		return a.Cut(outcome.AnswerCut, fmt.Sprintf("frame %d is missing", a.next))
	}
	if a.held == nil {
		a.held = make(map[uint64]*rpc.ResponseFrame)
	}
	a.held[f.Seq] = f
	a.heldBytes += len(f.Data)
	return Result{}
}

// takeHeld takes the held frames that are next in order.
func (a *Assembler) takeHeld(res *Result) {
	for !a.done && len(a.held) > 0 {
		f, ok := a.held[a.next]
		if !ok {
			return
		}
		delete(a.held, a.next)
		a.heldBytes -= len(f.Data)
		a.take(f, res)
	}
}

// take handles the frame that is next in order.
func (a *Assembler) take(f *rpc.ResponseFrame, res *Result) {
	first := a.next == 0
	a.next++
	switch f.Kind {
	case rpc.FrameKind_FRAME_HEAD:
		a.takeHead(f, first, res)
	case rpc.FrameKind_FRAME_DATA:
		a.takeData(f)
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

func (a *Assembler) takeHead(f *rpc.ResponseFrame, first bool, res *Result) {
	if !first {
		a.finish(corrupt("head in frame %d", f.Seq))
		return
	}
	a.headSeen = true
	res.Head = f
}

func (a *Assembler) takeData(f *rpc.ResponseFrame) {
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

// checkNotRun believes "not run" only as the one frame of the whole answer.
func (a *Assembler) checkNotRun(f *rpc.ResponseFrame, first bool) outcome.Outcome {
	if !first || len(a.held) > 0 {
		return corrupt("not run beside frames of an answer")
	}
	return failure(outcome.NotRun, f)
}

func (a *Assembler) finish(o outcome.Outcome) {
	a.done = true
	a.outcome = o
	a.held = nil
	a.heldBytes = 0
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
