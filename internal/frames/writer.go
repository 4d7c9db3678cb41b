// Package frames carries one answer between an agent and an entry as numbered
// rpc.ResponseFrames. The agent's Writer numbers the frames and closes the
// answer with its length and BLAKE3 digest; the entry's Assembler puts the
// frames in order, drops duplicates and returns the outcome. An answer without
// a matching end mark never counts as completed.
//
// Both types keep the state of one answer, do no I/O and are not safe for
// concurrent use.
package frames

import (
	"time"

	"lukechampine.com/blake3"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// digestSize is the size of the answer's digest in bytes.
const digestSize = 32

// Writer creates the frames of one answer.
type Writer struct {
	requestID string
	seq       uint64
	length    uint64
	hasher    *blake3.Hasher
	headSent  bool
	ended     bool
}

// NewWriter returns a Writer for the answer to one request.
func NewWriter(requestID string) *Writer {
	return &Writer{requestID: requestID, hasher: getHasher()}
}

// Head returns the first frame of an answer: its HTTP status and headers.
func (w *Writer) Head(status int, headers []*rpc.Header) *rpc.ResponseFrame {
	if w.headSent {
		panic("frames: second head in the answer to " + w.requestID)
	}
	w.headSent = true
	f := w.next(rpc.FrameKind_FRAME_HEAD)
	f.Status = uint32(status)
	f.Headers = headers
	return f
}

// Data returns a frame with the next bytes of the body. The frame keeps a
// reference to data.
func (w *Writer) Data(data []byte) *rpc.ResponseFrame {
	if !w.headSent {
		panic("frames: data before the head in the answer to " + w.requestID)
	}
	f := w.next(rpc.FrameKind_FRAME_DATA)
	w.length += uint64(len(data))
	w.hasher.Write(data) // never fails
	f.Data = data
	return f
}

// End returns the end mark of a complete answer.
func (w *Writer) End() *rpc.ResponseFrame {
	if !w.headSent {
		panic("frames: end before the head in the answer to " + w.requestID)
	}
	f := w.next(rpc.FrameKind_FRAME_END)
	f.Length = w.length
	f.Digest = w.hasher.Sum(nil)
	w.finish()
	return f
}

// Fail returns the last frame of an incomplete answer. After a head has been sent,
// the request may have run, so "not run" is sent as unknown.
func (w *Writer) Fail(o outcome.Outcome) *rpc.ResponseFrame {
	if o.Kind == outcome.Completed {
		panic("frames: completed is no failure, in the answer to " + w.requestID)
	}
	kind := rpc.FrameKind_FRAME_UNKNOWN
	if o.Kind == outcome.NotRun && !w.headSent {
		kind = rpc.FrameKind_FRAME_NOT_RUN
	}
	f := w.next(kind)
	f.Reason = string(o.Reason)
	f.RetryAfterMs = int64((o.RetryAfter + time.Millisecond - 1) / time.Millisecond)
	w.finish()
	return f
}

// Started reports whether a frame has been created.
func (w *Writer) Started() bool { return w.seq > 0 }

// Ended reports whether the last frame has been created.
func (w *Writer) Ended() bool { return w.ended }

// Length returns the number of body bytes so far.
func (w *Writer) Length() uint64 { return w.length }

func (w *Writer) finish() {
	w.ended = true
	hashers.Put(w.hasher)
	w.hasher = nil
}

func (w *Writer) next(kind rpc.FrameKind) *rpc.ResponseFrame {
	if w.ended {
		panic("frames: frame after the end of the answer to " + w.requestID)
	}
	f := &rpc.ResponseFrame{RequestId: w.requestID, Seq: w.seq, Kind: kind}
	w.seq++
	return f
}
