package gateway

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
)

// heldBytes bounds the bodies that the entry holds, whose callers or servers may be slow.
type heldBytes struct {
	most int64
	now  atomic.Int64
}

// reserve reports whether n more bytes may be held. If so, the caller must release them.
func (h *heldBytes) reserve(n int64) bool {
	if h.now.Add(n) > h.most && h.most > 0 {
		h.now.Add(-n)
		return false
	}
	return true
}

func (h *heldBytes) release(n int64) { h.now.Add(-n) }

// headMemory counts the heads of answers among the bodies that the entry holds. It implements headlimit.Memory.
type headMemory struct{ g *Gateway }

// Reserve implements headlimit.Memory.
func (m headMemory) Reserve(n int64) bool {
	if !m.g.held.reserve(n) {
		m.g.cfg.Metrics.noMemory.Inc()
		return false
	}
	return true
}

// Release implements headlimit.Memory.
func (m headMemory) Release(n int64) { m.g.held.release(n) }

// errNoMemory means that the bodies and events of other requests use up the memory for them.
var errNoMemory = errors.New("no memory for the body")

// minRead is the size of the first read of a body of unknown length, in bytes.
const minRead = 1 << 10

// readHeld reads r to its end and reserves what it reads. The bytes stay reserved until the end of
// the call. It returns a part with errNoMemory if more than most bytes would be held of r, or too
// much in all.
func (c *call) readHeld(r io.Reader, most int) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			grown := max(minRead, 2*cap(buf))
			if grown > most || !c.hold(int64(grown-cap(buf))) {
				return buf, errNoMemory
			}
			buf = append(make([]byte, 0, grown), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// hold reserves n bytes until the end of the call.
func (c *call) hold(n int64) bool {
	if !c.g.held.reserve(n) {
		c.g.cfg.Metrics.noMemory.Inc()
		return false
	}
	c.holds.Add(n)
	return true
}

// unhold releases n of the bytes that the call has reserved.
func (c *call) unhold(n int64) {
	c.holds.Add(-n)
	c.g.held.release(n)
}

// readBody reads the whole body, so that retries can send it again.
func (c *call) readBody(limits fleet.Limits) bool {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = maxDefaultBody
	}
	if c.r.ContentLength > limit {
		c.drain()
		c.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	if c.r.ContentLength == 0 {
		return true
	}
	c.limitBodyTime(c.deadline)
	unbound := c.boundBody()
	body, err := c.readHeld(http.MaxBytesReader(c.w, c.r.Body, limit), math.MaxInt)
	unbound()
	if (err == nil || isTimeout(err)) && c.tooLateToSend.Load() {
		// The read deadline stays, since net/http may still read the rest of the body, or the next request. It has ended the request's
		// context, which does not mean here that the caller has left.
		c.refuseForStop()
		return false
	}
	c.limitBodyTime(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		c.drain()
		c.refuse(http.StatusServiceUnavailable, errNoMemory.Error(), c.retryAfter())
		return false
	case errors.As(err, &tooLarge):
		c.drain()
		c.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	case isTimeout(err):
		c.w.Header().Set("Connection", "close")
		c.fail(http.StatusRequestTimeout, "body came too slowly")
		return false
	case err != nil:
		c.w.Header().Set("Connection", "close")
		c.fail(http.StatusBadRequest, "unreadable body")
		return false
	}
	c.body = body
	return true
}

// limitBodyTime bounds the time to read the body; the zero time is no bound. A connection without
// deadlines is read without a bound.
func (c *call) limitBodyTime(until time.Time) {
	if !until.IsZero() {
		until = clock.Deadline(until)
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(until)
}

const (
	// maxDrain, in bytes, and drainTime limit what is read of a refused body. A client that is
	// still sending when the connection is closed may not see the answer.
	maxDrain  = 1 << 20
	drainTime = 500 * time.Millisecond
)

// drain reads and discards the rest of a refused body.
func (c *call) drain() {
	// A connection that does not support read deadlines is read without one, up to maxDrain.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.r.Body, maxDrain))
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
