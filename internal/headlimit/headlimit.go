// Package headlimit reads the heads of HTTP responses of servers that may be in trouble. It bounds them, since http.ReadResponse reads
// a status line and fields into memory for as long as bytes come. It refuses those that two responses have written, since a field
// that was cut takes the next status line as the rest of its value, and those that state none of HTTP's statuses.
//
// State: the bytes of the current head, and how much of it may still be read from a connection.
package headlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// MaxBytes is the limit of the head of a response, in bytes. What the connection's buffer reads of its body counts, too.
const MaxBytes = 64 << 10

// ErrTooLarge means that a head exceeds MaxBytes.
var ErrTooLarge = errors.New("head of the response is too large")

// Reader reads responses from a source.
type Reader struct {
	source io.Reader
	// buffered reads from the Reader itself.
	buffered *bufio.Reader
	// inHead: a head is read, of which left bytes may still follow.
	inHead bool
	left   int
	// raw is what was read since the head began, nil while none is read.
	raw    []byte
	memory headMemory
}

// rawHeads are buffers for raw. Connections hold none between heads.
var rawHeads = sync.Pool{New: func() any { return new([]byte) }}

// NewReader returns a Reader with a buffer of this size in bytes, which is at most MaxBytes.
func NewReader(source io.Reader, size int) *Reader {
	r := &Reader{source: source}
	r.buffered = bufio.NewReaderSize(r, size)
	return r
}

// Buffered returns the buffer, from which everything must be read.
func (r *Reader) Buffered() *bufio.Reader { return r.buffered }

// ReadResponse is http.ReadResponse with a limit on the head, and with checks that it is that of one response; own are the fields
// that its sender adds to HTTP's, and that its status is one of HTTP's. Its error wraps ErrTooLarge, ErrSplicedHead or ErrInvalidStatus if
// these fail, or ErrNoMemory (ReserveIn): nothing more can be read then.
func (r *Reader) ReadResponse(req *http.Request, own Fields) (*http.Response, error) {
	scratch := rawHeads.Get().(*[]byte)
	r.beginHead(*scratch)
	defer func() {
		*scratch = r.raw
		r.inHead, r.raw = false, nil
		rawHeads.Put(scratch)
	}()
	resp, err := http.ReadResponse(r.buffered, req)
	if err != nil && refusesStatus(r.raw) {
		return nil, fmt.Errorf("%w: %w", ErrInvalidStatus, err)
	}
	if err != nil {
		return nil, err
	}
	switch head := r.raw[:len(r.raw)-r.buffered.Buffered()]; {
	case refusesStatus(head):
		return nil, ErrInvalidStatus
	case spliced(head, own):
		return nil, ErrSplicedHead
	}
	return resp, nil
}

// beginHead begins to record a head, with the bytes that are buffered.
func (r *Reader) beginHead(scratch []byte) {
	r.ReleaseHead()
	buffered, _ := r.buffered.Peek(r.buffered.Buffered())
	r.raw = append(scratch[:0], buffered...)
	r.inHead, r.left = true, MaxBytes-len(buffered)
}

// Read implements io.Reader for the buffer.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.source.Read(p)
	}
	if r.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.raw = append(r.raw, p[:n]...)
	if !r.memory.reserve(len(r.raw)) {
		return 0, ErrNoMemory
	}
	return n, err
}
