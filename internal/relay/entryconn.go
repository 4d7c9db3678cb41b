package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// restTimeout is how long the rest of a message is waited for that the engine has begun before a request is passed on.
const restTimeout = 50 * time.Millisecond

// errMidMessage means that nothing was written, since it would be read as the rest of another source's message.
var errMidMessage = errors.New("entry's connection is in the middle of a message")

// entryConn owns the connection of an entry. Several sources write on it in turn: the connections to the engine, and the agent with
// its refusals. Its rule: a source begins a message only where a whole one ends, and only that source writes until its own is whole.
// If it never is, nothing follows it. A message that ends with the connection is never whole before.
type entryConn struct {
	conn net.Conn

	mu sync.Mutex
	// writer is the source whose message is not whole yet, nil if the bytes written end with a whole one.
	writer *entrySource
	// whole is closed once the message of writer is whole.
	whole chan struct{}
}

// entrySource is one source of messages on an entryConn.
type entrySource struct{ entry *entryConn }

func newEntryConn(conn net.Conn) *entryConn { return &entryConn{conn: conn} }

// source returns a new source, whose messages follow those written so far. Its error is errMidMessage if none can.
func (c *entryConn) source() (*entrySource, error) {
	if c.midMessage() {
		return nil, errMidMessage
	}
	return &entrySource{entry: c}, nil
}

// write writes bytes of a message. whole tells that they, or those before them if there are none, end with a whole message. Its error
// is errMidMessage if another source's message is not whole.
func (s *entrySource) write(p []byte, whole bool) error {
	if !s.entry.claim(s) {
		return errMidMessage
	}
	if len(p) > 0 {
		if _, err := s.entry.conn.Write(p); err != nil {
			return fmt.Errorf("write to the entry: %w", err)
		}
	}
	if whole {
		s.entry.release()
	}
	return nil
}

// writeMessage writes a whole message of a new source within timeout. Its error is errMidMessage if none can follow what was written.
func (c *entryConn) writeMessage(p []byte, timeout time.Duration) error {
	s := &entrySource{entry: c}
	if !c.claim(s) {
		return errMidMessage
	}
	_ = c.conn.SetWriteDeadline(clock.Deadline(clock.Now().Add(timeout)))
	defer func() { _ = c.conn.SetWriteDeadline(time.Time{}) }()
	return s.write(p, true)
}

// claim makes s the writer. It reports false if that is another source.
func (c *entryConn) claim(s *entrySource) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writer == nil {
		c.writer, c.whole = s, make(chan struct{})
	}
	return c.writer == s
}

// release ends the writer's message.
func (c *entryConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writer = nil
	close(c.whole)
}

// midMessage reports whether the bytes written do not end with a whole message.
func (c *entryConn) midMessage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writer != nil
}

// awaitWhole waits up to restTimeout until the bytes written end with a whole message. Its error is errMidMessage if they don't, or if
// their source has ended before.
func (c *entryConn) awaitWhole(ctx context.Context, ended <-chan struct{}) error {
	c.mu.Lock()
	mid, whole := c.writer != nil, c.whole
	c.mu.Unlock()
	if !mid {
		return nil
	}
	limit := time.NewTimer(restTimeout)
	defer limit.Stop()
	select {
	case <-whole:
	case <-ended:
	case <-limit.C:
	case <-ctx.Done():
		return fmt.Errorf("wait for the rest of a message: %w", ctx.Err())
	}
	if c.midMessage() {
		return errMidMessage
	}
	return nil
}

// Read reads what the entry sends.
func (c *entryConn) Read(p []byte) (int, error) { return c.conn.Read(p) }

// closeWrite ends the connection behind the bytes that were written. It reports whether it could.
func (c *entryConn) closeWrite() bool {
	half, ok := c.conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// abort resets the connection, so that no answer on it looks complete.
func (c *entryConn) abort() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.close()
}

func (c *entryConn) close() { _ = c.conn.Close() }
