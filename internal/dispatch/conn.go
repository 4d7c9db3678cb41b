// Package dispatch is an exact HTTP/1.1 client towards backend servers: it never
// sends a request twice by itself, tells apart what was certainly not sent from
// what may have run, and takes an answer only if it is the one to its request.
//
// State: idle connections by backend server. Messages: HTTP/1.1.
package dispatch

import (
	"bufio"
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
)

const (
	// dialTimeout bounds connecting to a backend server: links between regions
	// take some ms, a lost opening packet is sent again after a second.
	dialTimeout = 400 * time.Millisecond
	// maxIdle is after how long an idle connection is closed where the server
	// has not said less.
	maxIdle = 4 * time.Second
	// idleMargin is how much sooner than its server a connection is closed, so
	// that no request crosses the server's close.
	idleMargin = 700 * time.Millisecond
	// maxStray is how many answers to other requests are passed over on one
	// connection before it is given up.
	maxStray = 3
	// maxDiscard bounds an answer that is passed over, in bytes.
	maxDiscard = 1 << 20
	readBuffer = 4 << 10
	// unackedTimeout is for how long a request may be without an acknowledgement of the
	// server's kernel: the connection has gone silent, or the server is cut off. Callers
	// wait for the first event of a stream for 2 s at least; a link that is full
	// holds a packet for half a second.
	unackedTimeout = 1500 * time.Millisecond
)

// Errors of a send. Only after ErrNotSent is it certain that nothing was sent.
var (
	ErrNotSent = errors.New("request was not sent")
	// ErrNoConnection says that as many connections to the server are open as may be. It
	// is an ErrNotSent.
	ErrNoConnection = fmt.Errorf("%w: no free connection", ErrNotSent)
	// ErrLost says that the connection failed after the request was sent, at
	// least in part, and before an answer: it may have run.
	ErrLost = errors.New("connection failed without an answer")
	// ErrGarbled says that what came back is no answer to this request.
	ErrGarbled = errors.New("not an answer to the request")
)

// conn is one connection; it carries one request at a time.
type conn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
	idleLimit time.Duration
	reused    bool
}

// quiet tells whether the peer has neither closed an idle connection nor sent
// anything on it: such bytes belong to no request.
func (c *conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Request is a request as it is sent, byte for byte.
type Request struct {
	Method string
	// Bytes are head and body.
	Bytes []byte
	// IDHeader and ID name the request; an answer with another id is not its own.
	IDHeader string
	ID       string
}

// Answer is the head of an answer and its body, to be read until io.EOF and
// closed. Close before the end breaks the connection, which cancels the request.
type Answer struct {
	*http.Response
	pool *Pool
	conn *conn
	stop func() bool
	// ended: the body was read to its end.
	ended bool
	// unframed: the body ends with the connection.
	unframed  bool
	closeOnce sync.Once
}

// Send sends a request and returns the head of its answer. headBy, by package clock, bounds
// the wait for it. Errors match ErrNotSent, ErrLost or ErrGarbled. A cancelled
// ctx breaks the connection at any time until the answer is closed.
func (p *Pool) Send(ctx context.Context, r *Request, headBy time.Time) (*Answer, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, err := c.roundTrip(r, headBy)
	if err != nil {
		stop()
		p.mu.Lock()
		p.drop(c)
		if errors.Is(err, syscall.ETIMEDOUT) {
			p.dropIdle()
		}
		p.mu.Unlock()
		return nil, err
	}
	c.noteKeepAlive(resp.Header)
	return &Answer{
		Response: resp, pool: p, conn: c, stop: stop,
		unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}, nil
}

func (c *conn) roundTrip(r *Request, headBy time.Time) (*http.Response, error) {
	_ = c.SetDeadline(clock.Deadline(headBy))
	if _, err := c.Write(r.Bytes); err != nil {
		return nil, fmt.Errorf("%w: write: %w", ErrLost, err)
	}
	for stray := 0; stray <= maxStray; stray++ {
		if _, err := c.br.Peek(1); err != nil {
			return nil, fmt.Errorf("%w: read: %w", ErrLost, err)
		}
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrGarbled, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		id := resp.Header.Get(r.IDHeader)
		if id == r.ID || (id == "" && resp.StatusCode >= http.StatusMultipleChoices) {
			return resp, nil
		}
		if err := discard(resp); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: answers to other requests", ErrGarbled)
}

// discard passes over an answer to another request.
func discard(resp *http.Response) error {
	if resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		return fmt.Errorf("%w: answer to request %q", ErrGarbled, resp.Header)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscard)); err != nil {
		return fmt.Errorf("%w: answer to another request: %w", ErrGarbled, err)
	}
	return resp.Body.Close()
}

// noteKeepAlive takes the idle timeout that the server states.
func (c *conn) noteKeepAlive(h http.Header) {
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

// Reused tells whether the request went over a connection that had carried others.
func (a *Answer) Reused() bool { return a.conn.reused }

// ReadBy bounds the next reads of the body, by package clock.
func (a *Answer) ReadBy(t time.Time) { _ = a.conn.SetReadDeadline(clock.Deadline(t)) }

// Buffered tells whether more of the answer can be read without waiting.
func (a *Answer) Buffered() int { return a.conn.br.Buffered() }

// Read reads the body. io.EOF comes only at its proper end.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Close gives the connection back after a whole answer, and breaks it else.
func (a *Answer) Close() {
	a.closeOnce.Do(func() {
		alive := a.stop()
		a.pool.put(a.conn, alive && a.ended && !a.Response.Close && !a.unframed)
	})
}
