package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
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

// stream passes events on as they come, whole ones only; read is what was read of the
// answer already. When it breaks off and the route allows it, the rest is asked of
// another server.
func (c *call) stream(watch *watchdog, a *dispatch.Answer, read []byte) sendResult {
	c.noteVersion(a)
	h, err := c.settleHandover(watch, a, c.passEvents(watch, a, read))
	switch {
	case err == nil:
		c.g.balancer.Done(&c.choice, clock.Now(), balance.EndedWell)
		c.clear()
		c.status, c.reason = a.StatusCode, "served"
		return sendFinal
	case errors.Is(err, errCallerGone):
		c.g.balancer.Done(&c.choice, clock.Now(), balance.EndedElse)
		c.status, c.reason = statusClientGone, "caller left"
		return sendFinal
	case h != nil:
		c.handedOver(h)
		return sendAgain
	}
	return c.brokenAnswer(watch, "stream broke off", err)
}

// noteVersion takes the version of weights that a stream begins on.
func (c *call) noteVersion(a *dispatch.Answer) {
	c.passing.Lock()
	defer c.passing.Unlock()
	if c.version == "" {
		c.version = a.Header.Get(c.g.cfg.Headers.Version)
	}
}

// handedOver ends a send whose stream another server has taken over.
func (c *call) handedOver(h *handover) {
	ending := balance.EndedElse
	switch h.why {
	case moveServerSilent, moveLate:
		ending = balance.EndedSilent
	case moveConnectionSilent:
		c.choice.Server.Pool.CloseIdle() // they may have gone silent, too
	}
	c.endedBy = "entry: " + string(h.why)
	c.noteInterrupted()
	c.g.balancer.Done(&c.choice, clock.Now(), ending)
	c.logSend("request goes on at another server", nil)
	c.next = h
}

// noteInterrupted notes who ended the first send of a stream that has begun.
func (c *call) noteInterrupted() {
	if c.events > 0 && c.interruptedBy == "" {
		c.interruptedBy = c.endedBy
	}
}

// versionNumber is the version of weights that the events so far bind the rest of the
// stream to. One that can't be read is 0, which binds to none: the server is then
// asked to check it.
func (c *call) versionNumber() uint64 {
	number, _ := strconv.ParseUint(c.version, 10, 64)
	return number
}

// errCallerGone says that the caller takes no more bytes.
var errCallerGone = errors.New("caller is gone")

// passEvents copies whole events until the answer's proper end.
func (c *call) passEvents(watch *watchdog, a *dispatch.Answer, read []byte) error {
	a.ReadBy(c.by)
	buf, err := c.passWhole(watch, a, append(make([]byte, 0, max(streamBuffer, 2*len(read))), read...))
	if err != nil {
		return err
	}
	for {
		if buf, err = roomFor(buf); err != nil {
			return err
		}
		n, readErr := a.Read(buf[len(buf):cap(buf)])
		if buf, err = c.passWhole(watch, a, buf[:len(buf)+n]); err != nil {
			return err
		}
		switch {
		case readErr == io.EOF && len(buf) > 0:
			return io.ErrUnexpectedEOF // in the middle of an event
		case readErr == io.EOF:
			return c.endEvents(watch, a)
		case readErr != nil:
			return readErr
		}
	}
}

// roomFor makes room behind buf for more of an event.
func roomFor(buf []byte) ([]byte, error) {
	if len(buf) < cap(buf) {
		return buf, nil
	}
	if cap(buf) >= maxEvent {
		return nil, errEventTooLarge
	}
	return append(make([]byte, 0, 2*cap(buf)), buf...), nil
}

// passWhole passes the whole events in buf on and returns the rest.
func (c *call) passWhole(watch *watchdog, a *dispatch.Answer, buf []byte) ([]byte, error) {
	end := wholeEvents(buf)
	if end == 0 {
		return buf, nil
	}
	c.g.balancer.Heard(c.choice.Server, clock.Now())
	if err := c.takeEvents(a, buf[:end]); err != nil {
		return nil, err
	}
	watch.begun.Store(true)
	return buf[:copy(buf, buf[end:])], nil
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
	now := clock.Now()
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
