package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/headlimit"
)

const (
	// dialTimeout bounds connecting to the engine, which is on the same VM.
	dialTimeout = 400 * time.Millisecond
	// engineBuffer is how many bytes of the engine are passed back at one time.
	engineBuffer = 16 << 10
	// maxRest is how many bytes are passed back of what is no response, so that the entry learns what came. The connection ends
	// after them.
	maxRest = headlimit.MaxBytes
)

// engineConn is the connection to the engine that belongs to a connection of an entry. One goroutine passes the engine's bytes
// back unchanged, and parses them to know when an answer has begun and when it is complete.
type engineConn struct {
	net.Conn
	source endRecorder
	passer passer
	in     *headlimit.Reader
	server *Server
	// current is the request whose answer is awaited, nil if there is none.
	current atomic.Pointer[exchange]
	// ended is closed once nothing more is passed back.
	ended chan struct{}
}

// endRecorder records the error that ended a connection, and returns it from then on: a connection that was reset looks properly
// closed at the next read.
type endRecorder struct {
	io.Reader
	err error
}

func (r *endRecorder) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.Reader.Read(p)
	r.err = err
	return n, err
}

// passer reads the engine's bytes, and writes them to the entry when the next ones are read, or at flush. So what is learned of an
// answer from the last bytes takes effect before the entry has them.
type passer struct {
	source io.Reader
	entry  *entrySource
	unsent []byte
	// chunked: what is read next belongs to a body that is passed back in chunks.
	chunked bool
	// err is that of the last write to the entry; nothing follows it.
	err error
}

func (p *passer) Read(b []byte) (int, error) {
	if err := p.flush(false); err != nil {
		return 0, err
	}
	n, err := p.source.Read(b)
	if p.chunked {
		p.unsent = appendChunk(p.unsent[:0], b[:n])
	} else {
		p.unsent = append(p.unsent[:0], b[:n]...)
	}
	return n, err
}

// flush writes the bytes read. whole tells that they end with a whole message.
func (p *passer) flush(whole bool) error {
	if p.err == nil && (whole || len(p.unsent) > 0) {
		p.err = p.entry.write(p.unsent, whole)
		p.unsent = p.unsent[:0]
	}
	return p.err
}

// drop forgets the bytes read, so that what they end is not passed on whole.
func (p *passer) drop() { p.unsent = p.unsent[:0] }

// dialEngine connects to the engine and starts to pass its bytes back to the entry. Its error wraps errMidMessage if they could not be told
// from those before them.
func (s *Server) dialEngine(ctx context.Context, entry *entryConn) (*engineConn, error) {
	source, err := entry.source()
	if err != nil {
		return nil, fmt.Errorf("pass back what the engine sends: %w", err)
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", s.cfg.DialAddr)
	if err != nil {
		return nil, fmt.Errorf("connect to the engine: %w", err)
	}
	e := &engineConn{Conn: nc, source: endRecorder{Reader: nc}, server: s, ended: make(chan struct{})}
	e.passer = passer{source: &e.source, entry: source}
	e.in = headlimit.NewReader(&e.passer, engineBuffer)
	go e.passBack()
	return e, nil
}

// passBack passes the engine's bytes back until one of the connections ends.
func (e *engineConn) passBack() {
	defer close(e.ended)
	for {
		if err := e.passMessage(); err != nil {
			_ = e.passer.flush(false) // nothing follows
			return
		}
	}
}

// passMessage passes one response back. It returns an error when nothing can follow.
func (e *engineConn) passMessage() error {
	if _, err := e.in.Buffered().Peek(1); err != nil {
		return err
	}
	x, method := e.current.Load(), http.MethodGet
	var own headlimit.Fields
	if x != nil {
		method, own = x.method, headlimit.Fields{x.idHeader}
	}
	resp, err := e.in.ReadResponse(&http.Request{Method: method}, own)
	if errors.Is(err, headlimit.ErrInvalidStatus) {
		e.source.err = err
		return err
	}
	if err != nil {
		return e.passRest()
	}
	if x != nil {
		x.observeInterim(resp)
	}
	answer := x != nil && x.answeredBy(resp)
	unframed, check := isUnframed(resp), endUnchecked
	if answer {
		check = e.beginCheck(x, resp)
	}
	if answer && hasBody(resp) {
		x.begin()
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return e.passRest()
	}
	if err := e.verifyEnd(x, check); err != nil {
		return err
	}
	if answer {
		x.begin()
		e.current.Store(nil)
	}
	if err := e.endMessage(check, unframed); err != nil {
		return err
	}
	if answer {
		close(x.complete)
	}
	if unframed {
		return io.EOF
	}
	return nil
}

// endCheck is what of an answer's end is checked.
type endCheck int

const (
	endUnchecked endCheck = iota
	// endOfChunks: the answer is in chunks. endOfConn: it ends with its connection, and is passed back in chunks.
	endOfChunks
	endOfConn
)

// beginCheck prepares the head of an answer that was just read for a check of its end, if the framing needs one.
func (e *engineConn) beginCheck(x *exchange, resp *http.Response) endCheck {
	chunks, unframed := len(resp.TransferEncoding) > 0, isUnframed(resp) && resp.ProtoAtLeast(1, 1)
	var fields string
	if x.tellsEnd && (chunks || unframed) {
		fields = "Connection: " + EndChecked + "\r\n" + EndChecked + ": 1\r\n"
	}
	if unframed {
		fields += "Connection: close\r\nTransfer-Encoding: chunked\r\n"
	}
	body := e.in.Buffered().Buffered()
	if fields == "" || !e.passer.addFields(fields, body) {
		return endUnchecked
	}
	if unframed {
		e.passer.beginChunks(body)
		close(x.unframed)
		return endOfConn
	}
	return endOfChunks
}

// verifyEnd checks the end of an answer that was read to its end, and states in a trailer if it came at the deadline. It returns an error if the
// end must not be passed on.
func (e *engineConn) verifyEnd(x *exchange, check endCheck) error {
	if check == endUnchecked {
		return nil
	}
	found := e.server.checkEnd(x, check)
	if found == endWhole {
		return nil
	}
	if check == endOfChunks && e.passer.addFields(EndAtDeadline+": 1\r\n", e.in.Buffered().Buffered()) {
		return nil
	}
	e.passer.drop()
	e.source.err = fmt.Errorf("%w: %s", errUnknownEnd, found)
	return e.source.err
}

// endMessage writes the end of a message that is whole.
func (e *engineConn) endMessage(check endCheck, unframed bool) error {
	if check == endOfConn {
		return e.passer.endChunks()
	}
	// Bytes that are buffered are written with those of this message, and begin the next one.
	return e.passer.flush(!unframed && e.in.Buffered().Buffered() == 0)
}

// hasBody waits for the first byte of a body. It reads no more than that one, since a reader of chunks waits for the whole chunk.
func hasBody(resp *http.Response) bool {
	var first [1]byte
	n, _ := resp.Body.Read(first[:])
	return n > 0
}

// errNoResponse means that an engine sends more bytes that are no response than are passed back.
var errNoResponse = errors.New("bytes of the engine are no response")

// passRest passes back what is no response, up to the end of the connection or to maxRest.
func (e *engineConn) passRest() error {
	if _, err := io.CopyN(io.Discard, e.in.Buffered(), maxRest); err != nil {
		return err
	}
	e.source.err = errNoResponse
	return errNoResponse
}

// closedByEngine reports whether the engine has closed the connection properly.
func (e *engineConn) closedByEngine() bool { return e.isEnded() && errors.Is(e.source.err, io.EOF) }

// endedByHead reports whether nothing more is passed back, as the last head states no status of a response.
func (e *engineConn) endedByHead() bool {
	return e.isEnded() && errors.Is(e.source.err, headlimit.ErrInvalidStatus)
}

// heldBack reports whether nothing more is passed back since it would follow a part of another source's message.
func (e *engineConn) heldBack() bool { return e.isEnded() && errors.Is(e.passer.err, errMidMessage) }

// closedByEntry reports whether nothing more is passed back since the entry takes nothing more.
func (e *engineConn) closedByEntry() bool { return e.isEnded() && e.source.err == nil }

// isEnded reports whether nothing more is passed back.
func (e *engineConn) isEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}
