package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/dispatch"
)

const (
	// streamBuffer is the first size of the buffer of a stream: some events.
	streamBuffer = 4 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

var (
	eventEnd   = []byte("\n\n")
	eventEndCR = []byte("\r\n\r\n")
	idField    = []byte("id:")
)

var errEventTooLarge = errors.New("event is too large")

// stream passes events on as they come, whole ones only. When it breaks off and
// the route allows it, the rest is asked of another server.
func (c *call) stream(watch *watchdog, a *dispatch.Answer) sendResult {
	if c.version == "" {
		c.version = a.Header.Get(c.g.cfg.Headers.Version)
	}
	// A version that can't be read is 0: the stream is then not moved.
	number, _ := strconv.ParseUint(c.version, 10, 64)
	err := c.passEvents(a, watch, number)
	c.moved = watch.moved.Load()
	if err == nil {
		c.releaseMoved()
		c.g.balancer.Done(&c.choice, time.Now(), balance.EndedWell)
		c.status, c.reason = a.StatusCode, "served"
		return sendFinal
	}
	if errors.Is(err, errCallerGone) {
		c.releaseMoved()
		c.g.balancer.Done(&c.choice, time.Now(), balance.EndedElse)
		c.status, c.reason = statusClientGone, "caller left"
		return sendFinal
	}
	return c.brokenAnswer(watch, "stream broke off", err)
}

// releaseMoved gives the place back that was taken for the rest of a stream that
// has ended after all.
func (c *call) releaseMoved() {
	if c.moved != nil {
		c.g.balancer.Done(c.moved, time.Now(), balance.EndedElse)
		c.moved = nil
	}
}

// errCallerGone says that the caller takes no more bytes.
var errCallerGone = errors.New("caller is gone")

// passEvents copies whole events until the answer's proper end.
func (c *call) passEvents(a *dispatch.Answer, watch *watchdog, version uint64) error {
	a.ReadBy(c.by)
	buf := make([]byte, 0, streamBuffer)
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEvent {
				return errEventTooLarge
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := a.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := wholeEvents(buf); end > 0 {
			c.g.balancer.Heard(c.choice.Server, time.Now())
			watch.passing()
			if err := c.passOn(a, buf[:end]); err != nil {
				return err
			}
			watch.passed(version)
			buf = buf[:copy(buf, buf[end:])]
		}
		switch {
		case err == io.EOF && len(buf) > 0:
			return io.ErrUnexpectedEOF // in the middle of an event
		case err == io.EOF:
			c.commit(a) // a stream without events
			return nil
		case err != nil:
			return err
		}
	}
}

// wholeEvents returns the length of the whole events at the start of buf.
func wholeEvents(buf []byte) int {
	end := 0
	if i := bytes.LastIndex(buf, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(buf, eventEndCR); i >= 0 {
		end = max(end, i+len(eventEndCR))
	}
	return end
}

// passOn writes whole events to the caller.
func (c *call) passOn(a *dispatch.Answer, events []byte) error {
	now := time.Now()
	if c.events == 0 {
		c.firstEvent = now.Sub(c.began)
	} else {
		c.longestGap = max(c.longestGap, now.Sub(c.eventAt))
	}
	c.eventAt = now
	c.g.balancer.Began(&c.choice, now)
	c.commit(a)
	if id, ok := lastEventID(events); ok {
		c.lastEvent = id
	}
	c.events++
	if _, err := c.w.Write(events); err != nil {
		return errCallerGone
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// commit writes the head of the answer, once.
func (c *call) commit(a *dispatch.Answer) {
	if c.committed {
		return
	}
	c.committed = true
	c.copyHead(a)
	c.w.Header().Del("Content-Length") // the rest may come from another server
	c.w.WriteHeader(a.StatusCode)
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	for end := len(events); end > 0; {
		start := bytes.LastIndexByte(events[:end-1], '\n') + 1
		line := bytes.TrimRight(events[start:end], "\r\n")
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):])), true
		}
		end = start
	}
	return "", false
}
