package headlimit

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
)

// ErrUnasked means that a response began before a request was written: it is that to another request, or to none.
var ErrUnasked = errors.New("response began before its request")

// DialFunc is the type of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Checked returns dial for an http.Transport without TLS, with connections on which a response with the status line of another one
// in its head is an error that wraps ErrSplicedHead, one whose status is none of HTTP's an error that wraps ErrInvalidStatus, and one that
// began before its request was written an error that wraps ErrUnasked. own are the fields that servers add to HTTP's.
func Checked(dial DialFunc, own Fields) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c, own: own}, nil
	}
}

// checkedConn checks the heads on a connection of an http.Transport, which has one request at a time on it. It follows the bodies between
// them, since bytes that come right before a request is written may be the rest of a body or a part of a head.
type checkedConn struct {
	net.Conn
	own Fields

	mu sync.Mutex
	// awaiting: a request was written, and the head of its final answer is not whole yet.
	awaiting bool
	// toHead: the last request was one for the head only.
	toHead bool
	// body is what of the last message's body was read. A head follows it.
	body framing
	// head is what was read of the current head, empty if there is none.
	head []byte
	// unasked: the head began before a request was written.
	unasked bool
	// err ends all reads.
	err error
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.noteWrite(p)
	return c.Conn.Write(p)
}

// noteWrite records that a request is written, or a part of one. The transport writes the beginning of one at once.
func (c *checkedConn) noteWrite(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	begins := beginsRequest(p)
	if begins && c.body.kind == bodyUnframed {
		c.body = framing{} // the transport knows that the body has ended
	}
	if begins || !c.awaiting && c.body.kind == bodyEnded {
		c.toHead = bytes.HasPrefix(p, []byte("HEAD "))
		c.awaiting = true
	}
}

// beginsRequest reports whether p begins with a whole request line.
func beginsRequest(p []byte) bool {
	line, _, ok := bytes.Cut(p, []byte("\r\n"))
	return ok && bytes.HasSuffix(line, []byte(" HTTP/1.1"))
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if err := c.refused(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if refused := c.observe(p[:n]); refused != nil {
		return 0, refused
	}
	return n, err
}

// refused returns the error that ends all reads.
func (c *checkedConn) refused() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// observe checks the heads that end in the bytes read.
func (c *checkedConn) observe(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for rest := c.body.skip(read); len(rest) > 0 && c.err == nil; rest = c.body.skip(rest) {
		rest = c.observeHead(rest)
	}
	return c.err
}

// observeHead takes bytes of a head, and returns what follows it.
func (c *checkedConn) observeHead(p []byte) []byte {
	if len(c.head) == 0 {
		c.unasked = !c.awaiting
	}
	searched := len(c.head)
	c.head = append(c.head, p...)
	if !c.beginsHead() {
		c.endHead(framing{kind: bodyUnframed}) // the transport refuses it
		return nil
	}
	end := headEnd(c.head, searched)
	switch {
	case refusesStatus(c.head):
		c.err = ErrInvalidStatus
	case end < 0 && len(c.head) >= MaxBytes:
		c.err = ErrTooLarge
	case end < 0:
	case spliced(c.head[:end], c.own):
		c.err = ErrSplicedHead
	case c.unasked:
		c.err = ErrUnasked
	case IsInterim(statusOf(c.head)):
		c.head = c.head[:0]
		return p[end-searched:]
	default:
		c.endHead(framingOf(c.head[:end], c.toHead))
		return p[end-searched:]
	}
	return nil
}

// endHead ends a final head.
func (c *checkedConn) endHead(body framing) {
	c.awaiting, c.body, c.head = false, body, c.head[:0]
}

// beginsHead reports whether the bytes may be those of a head.
func (c *checkedConn) beginsHead() bool {
	n := min(len(c.head), len(versionPrefix))
	return bytes.Equal(c.head[:n], versionPrefix[:n])
}

// headEnd returns the position behind the empty line that ends a head, -1 if there is none. Nothing ends in the first searched bytes.
func headEnd(head []byte, searched int) int {
	for from := max(searched-len("\n\r"), 0); ; {
		i := bytes.IndexByte(head[from:], '\n')
		if i < 0 {
			return -1
		}
		from += i + 1
		rest := head[from:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return from + 1
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return from + 2
		}
	}
}
