// Package dispatch is an HTTP/1.1 client for requests to backend servers. It never
// resends a request by itself, distinguishes requests that were certainly not sent
// from those that may have run, and accepts an answer only if it belongs to the
// request.
//
// State: idle connections by backend server. Messages: HTTP/1.1.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/headlimit"
)

const (
	// dialTimeout bounds connecting to a backend server. Links between regions
	// take some ms; a lost SYN packet is retransmitted only after a second.
	dialTimeout = 400 * time.Millisecond
	// maxIdle is how long a connection may be idle before it is closed, unless
	// the server states a shorter timeout.
	maxIdle = 4 * time.Second
	// idleMargin is how long before the server's idle timeout a connection is
	// closed, so that no request is sent while the server closes it.
	idleMargin = 700 * time.Millisecond
	// maxUnmatched is how many interim answers and answers to other requests are
	// skipped before the connection is closed.
	maxUnmatched = 3
	// maxDiscard bounds the body of an answer that is skipped, in bytes, and discardTime how long it is waited for. Otherwise
	// the connection is closed.
	maxDiscard  = 64 << 10
	discardTime = 50 * time.Millisecond
	readBuffer  = 4 << 10
	// unackedTimeout is how long sent data may stay unacknowledged by the server's
	// kernel before the connection fails, as after a network partition. It is shorter
	// than the 2 s that callers wait at least for the first event of a stream, and
	// longer than the half second by which a saturated link delays a packet.
	unackedTimeout = 1500 * time.Millisecond
)

// Errors of Send. Only ErrNotSent means that certainly nothing was sent.
var (
	ErrNotSent = errors.New("request was not sent")
	// ErrNoConnection means that the limit on open connections to the server is
	// reached. It wraps ErrNotSent.
	ErrNoConnection = fmt.Errorf("%w: no free connection", ErrNotSent)
	// ErrTooLate means that there was a connection only after SendBy. It wraps ErrNotSent.
	ErrTooLate = fmt.Errorf("%w: too late to be sent", ErrNotSent)
	// ErrConnectionLost means that the connection failed after at least part of the request
	// was sent and before an answer was received: the request may have run.
	ErrConnectionLost = errors.New("connection failed without an answer")
)

// conn is one connection; it carries one request at a time.
type conn struct {
	net.Conn
	in        *headlimit.Reader
	idleSince time.Time
	idleLimit time.Duration
	reused    bool
	// connectTook is how long the connect took.
	connectTook time.Duration
}

// stillIdle reports whether the peer has neither closed an idle connection nor sent
// anything on it: bytes received on an idle connection belong to no request.
func (c *conn) stillIdle() bool {
	var one [1]byte
	_, err := c.peek(one[:])
	return errors.Is(err, syscall.EAGAIN)
}

// peek copies bytes that the kernel has received into p without waiting. They stay to be read.
func (c *conn) peek(p []byte) (n int, err error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, fmt.Errorf("peek: %w", errors.ErrUnsupported)
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("peek: %w", err)
	}
	var recvErr error
	err = raw.Read(func(fd uintptr) bool {
		n, _, recvErr = syscall.Recvfrom(int(fd), p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return max(n, 0), errors.Join(err, recvErr)
}

// received returns the bytes that have come and were not read, up to the size of a head, without waiting for more. A large read of a
// body passes the buffer, and leaves what follows in the kernel.
func (c *conn) received() []byte {
	var one [1]byte
	waiting, _ := c.peek(one[:]) // none if the connection has failed
	buffered, _ := c.in.Buffered().Peek(c.in.Buffered().Buffered())
	if waiting == 0 {
		return buffered
	}
	out := make([]byte, headlimit.MaxBytes)
	n := copy(out, buffered)
	more, _ := c.peek(out[n:])
	return out[:n+more]
}

// Request is a request to be sent.
type Request struct {
	Method string
	// Encode returns the head and the body, which are sent unchanged. It is called once a connection is established, since
	// the head states the time that is left.
	Encode func() []byte
	// SendBy, a time of package clock, is when the request may be sent at the latest; zero means at any time.
	SendBy time.Time
	// ID is the value of the header IDHeader. An answer with another value belongs to
	// another request.
	IDHeader string
	ID       string
	// OwnFields are the fields that servers add to HTTP's, IDHeader among them.
	OwnFields headlimit.Fields
	// Memory is reserved for a head that is longer than usual until its answer is closed; nil sets no bound.
	Memory headlimit.Memory
}

// Answer is the head of an answer together with its body, which the caller reads
// until io.EOF and then closes. Close before io.EOF closes the connection, at which
// most servers drop the request; some go on with it.
type Answer struct {
	*http.Response
	// Took is the time from the send, without the connect before it, to the head of the answer.
	Took time.Duration
	pool *Pool
	conn *conn
	stop func() bool
	// complete is true once the body has been read completely.
	complete bool
	// unframed is true if the body ends only when the connection is closed.
	unframed  bool
	own       headlimit.Fields
	closeOnce sync.Once
}

// sendable returns why a request must not be sent any more, nil if it may be.
func (r *Request) sendable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if !r.SendBy.IsZero() && clock.Now().After(r.SendBy) {
		return ErrTooLate
	}
	return nil
}

// Send sends a request and returns the head of its answer, which must arrive before
// headBy (a time of package clock). Errors match ErrNotSent, ErrConnectionLost or
// ErrInvalidAnswer.
// Cancelling ctx closes the connection at any time until the answer is closed.
func (p *Pool) Send(ctx context.Context, r *Request, headBy time.Time) (*Answer, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	if err := r.sendable(ctx); err != nil {
		p.put(c, true)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	sentAt := clock.Now()
	c.in.ReserveIn(r.Memory)
	resp, err := c.roundTrip(r, headBy)
	if err != nil {
		stop()
		c.in.ReleaseHead()
		p.mu.Lock()
		p.drop(c)
		if errors.Is(err, syscall.ETIMEDOUT) {
			p.dropIdle()
		}
		p.mu.Unlock()
		return nil, err
	}
	c.applyKeepAlive(resp.Header)
	return &Answer{
		Response: resp, Took: clock.Since(sentAt), pool: p, conn: c, stop: stop,
		unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0, own: r.OwnFields,
	}, nil
}

func (c *conn) roundTrip(r *Request, headBy time.Time) (*http.Response, error) {
	_ = c.SetDeadline(clock.Deadline(headBy))
	if _, err := c.Write(r.Encode()); err != nil {
		return nil, fmt.Errorf("%w: write: %w", ErrConnectionLost, err)
	}
	for unmatched := 0; unmatched <= maxUnmatched; unmatched++ {
		if _, err := c.in.Buffered().Peek(1); err != nil {
			return nil, fmt.Errorf("%w: read: %w", ErrConnectionLost, err)
		}
		resp, err := c.in.ReadResponse(&http.Request{Method: r.Method}, r.OwnFields)
		if err != nil {
			return nil, invalidHead(err)
		}
		if headlimit.IsInterim(resp.StatusCode) {
			continue
		}
		id := resp.Header.Get(r.IDHeader)
		if id == r.ID || (id == "" && resp.StatusCode >= http.StatusMultipleChoices) {
			return resp, nil
		}
		if err := discard(resp); err != nil {
			return nil, err
		}
	}
	return nil, invalidAnswer(CauseOtherRequest, "answers to other requests")
}

// discard reads and drops an answer to another request.
func discard(resp *http.Response) error {
	if resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		return invalidAnswer(CauseOtherRequest, "answer to request %q", resp.Header)
	}
	switch _, err := io.CopyN(io.Discard, resp.Body, maxDiscard); {
	case err == nil:
		return invalidAnswer(CauseOtherRequest, "answer to another request of %d bytes or more", maxDiscard)
	case err != io.EOF:
		return invalidAnswer(CauseOtherRequest, "answer to another request: %w", err)
	}
	return nil
}

// applyKeepAlive applies the idle timeout that the server states.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleLimit = min(maxIdle, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}

// ConnectTook returns how long the connect for this request took, 0 if its connection had carried others.
func (a *Answer) ConnectTook() time.Duration {
	if a.conn.reused {
		return 0
	}
	return a.conn.connectTook
}

// Reused reports whether the connection had already carried other requests.
func (a *Answer) Reused() bool { return a.conn.reused }

// Unframed reports whether the body has neither a length nor chunks, so that it ends with the connection.
func (a *Answer) Unframed() bool { return a.unframed && a.Body != http.NoBody }

// SetReadDeadline sets the deadline of further reads of the body, a time of package clock.
func (a *Answer) SetReadDeadline(t time.Time) { _ = a.conn.SetReadDeadline(clock.Deadline(t)) }

// Buffered returns the number of bytes that can be read without waiting.
func (a *Answer) Buffered() int { return a.conn.in.Buffered().Buffered() }

// CompletedByAnother reports whether a body with a length, read to its end, is a part of this answer and the beginning of another
// one, whose head goes on in the bytes that have come since. If a field of this one holds the text of a status line, bytes behind the body
// show that the body is another one's, which has no length.
func (a *Answer) CompletedByAnother(body []byte) bool {
	if a.ContentLength <= 0 {
		return false
	}
	following := a.conn.received()
	return headlimit.HeadBegins(body, following, a.own) || len(following) > 0 && headlimit.HoldsStatusLine(a.Header)
}

// Read reads the body. It returns io.EOF only if the body is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// Discard reads and drops the rest of the body if it is short and comes at once, so that the connection can be used again.
func (a *Answer) Discard() {
	a.SetReadDeadline(clock.Now().Add(discardTime))
	_, _ = io.CopyN(io.Discard, a, maxDiscard) // Close closes the connection unless the body was read to its end
}

// Close returns the connection to the pool after a complete answer, and closes it
// otherwise.
func (a *Answer) Close() {
	a.closeOnce.Do(func() {
		alive := a.stop()
		a.conn.in.ReleaseHead()
		a.pool.put(a.conn, alive && a.complete && !a.Response.Close && !a.unframed)
	})
}
