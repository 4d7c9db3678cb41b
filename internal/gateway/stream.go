package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/headlimit"
)

const (
	// streamBuffer is the initial buffer size of a stream, in bytes: some events.
	streamBuffer = 4 << 10
	// soundAfter is how long a server must write an answer without a crash for the parts of its prompt to be sound: one that
	// crashes because of a part does so within some 0.1 s of its first event. A pause counts maxCountedPause at most, so that
	// one standstill of the entry within this time does not look like it.
	soundAfter      = 500 * time.Millisecond
	maxCountedPause = 200 * time.Millisecond
	// maxEvent is the limit of one event, in bytes. The buffer of one that needs more than usualEvent counts among the bodies that the
	// entry holds.
	maxEvent   = 1 << 20
	usualEvent = 64 << 10
)

var (
	eventEnd   = []byte("\n\n")
	eventEndCR = []byte("\r\n\r\n")
	idField    = []byte("id:")
)

var (
	errEventTooLarge = errors.New("event is too large")
	// errSplicedEvent means that an event that was cut ends with the head of another answer.
	errSplicedEvent = errors.New("head of another answer within an event")
	// errEndedAtBound means that a stream has ended when its server was to stop it because of the bound on its weights, and may be
	// incomplete.
	errEndedAtBound = errors.New("stream ended at the bound on its server's weights")
)

// stream forwards whole events as they arrive; read is what was already read of the answer. If the
// stream breaks off and the route allows it, the rest is requested from another server.
func (c *call) stream(watch *watchdog, a *dispatch.Answer, read []byte) attemptResult {
	c.noteVersion(a)
	c.observeWeights(watch, a)
	h, err := c.settleHandover(watch, a, c.forwardEvents(watch, a, read))
	switch {
	case err == nil:
		c.g.balancer.Done(&c.choice, clock.Now(), balance.ResultSucceeded)
		c.clearSuspicion(a)
		c.status, c.reason = a.StatusCode, "served"
		return attemptFinal
	case errors.Is(err, errCallerGone):
		c.noteClosed(&c.choice, balance.ResultUnknown)
		c.g.balancer.Done(&c.choice, clock.Now(), balance.ResultUnknown)
		c.status, c.reason = statusClientGone, "caller left"
		return attemptFinal
	case h != nil:
		c.endHandedOver(watch, h)
		return attemptAgain
	}
	return c.brokenAnswer(watch, "stream broke off", err)
}

// noteVersion records the version of weights with which a stream begins.
func (c *call) noteVersion(a *dispatch.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == "" {
		c.version = a.Header.Get(c.g.cfg.Headers.Version)
	}
}

// endHandedOver ends an attempt whose request another server has taken over.
func (c *call) endHandedOver(watch *watchdog, h *handover) {
	result := balance.ResultUnknown
	switch h.why {
	case handoverServerSilent, handoverLate:
		result = balance.ResultSilent
	case handoverConnectionSilent:
		c.choice.Server.Pool.CloseIdle() // idle connections may be dead, too
	}
	c.endedBy = "entry: " + string(h.why)
	c.noteInterrupted()
	c.noteClosed(&c.choice, result)
	c.g.balancer.Done(&c.choice, clock.Now(), result)
	c.logAttempt(watch, "request goes on at another server", nil)
	c.next = h
}

// noteInterrupted records what ended the first attempt that failed after the first event.
func (c *call) noteInterrupted() {
	if c.events > 0 && c.interruptedBy == "" {
		c.interruptedBy = c.endedBy
	}
}

// versionNumber returns the version of weights that must write the rest of the stream, since it wrote
// the events so far. A malformed version is returned as 0, which the balancer takes as any
// version; the server then checks the ExpectVersion header.
func (c *call) versionNumber() uint64 {
	number, _ := strconv.ParseUint(c.version, 10, 64)
	return number
}

// errCallerGone means that writing to the caller failed.
var errCallerGone = errors.New("caller is gone")

// forwardEvents forwards whole events until the end of the answer. An answer that ends within an event, or when its server was
// to stop it, is an error.
func (c *call) forwardEvents(watch *watchdog, a *dispatch.Answer, read []byte) error {
	a.SetReadDeadline(c.deadline)
	held := int64(0)
	defer func() { c.unhold(held) }()
	buf, err := c.forwardWholeEvents(watch, a, append(make([]byte, 0, max(streamBuffer, 2*len(read))), read...), 0)
	if err != nil {
		return err
	}
	for {
		if buf, err = c.growBuffer(buf, &held); err != nil {
			return err
		}
		before := len(buf)
		n, readErr := a.Read(buf[before:cap(buf)])
		if buf, err = c.forwardWholeEvents(watch, a, buf[:before+n], before); err != nil {
			return err
		}
		switch {
		case readErr == io.EOF && len(buf) > 0:
			return io.ErrUnexpectedEOF // in the middle of an event
		case readErr == io.EOF:
			if err := c.checkStop(watch.parent, a); err != nil {
				return err
			}
			if err := c.checkEnd(&c.choice, a); err != nil {
				return err
			}
			return c.endStream(watch, a)
		case readErr != nil:
			c.noteBrokenOff(a, readErr)
			return readErr
		}
	}
}

// growBuffer returns buf with spare capacity for more of an event, and adds to held what it reserves for it.
func (c *call) growBuffer(buf []byte, held *int64) ([]byte, error) {
	if len(buf) < cap(buf) {
		return buf, nil
	}
	if cap(buf) >= maxEvent {
		return nil, errEventTooLarge
	}
	grown := 2 * cap(buf)
	if grown > usualEvent {
		if !c.hold(int64(grown) - *held) {
			return nil, errNoMemory
		}
		*held = int64(grown)
	}
	return append(make([]byte, 0, grown), buf...), nil
}

// forwardWholeEvents forwards the whole events in buf and returns the rest. No event ends within the first searched bytes.
func (c *call) forwardWholeEvents(watch *watchdog, a *dispatch.Answer, buf []byte, searched int) ([]byte, error) {
	from := max(searched-len(eventEndCR)+1, 0) // where an end may begin that the last bytes have completed
	end := wholeEvents(buf[from:])
	if end == 0 {
		return buf, nil
	}
	end += from
	c.g.balancer.BytesReceived(c.choice.Server, clock.Now())
	if head := headlimit.IndexHead(buf[:end], c.g.answers); head >= 0 {
		if err := c.forwardSound(watch, a, buf[:wholeEvents(buf[:head])]); err != nil {
			return nil, err
		}
		return nil, errSplicedEvent
	}
	if err := c.forwardSound(watch, a, buf[:end]); err != nil {
		return nil, err
	}
	return buf[:copy(buf, buf[end:])], nil
}

// forwardSound forwards whole events that are all of this answer.
func (c *call) forwardSound(watch *watchdog, a *dispatch.Answer, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if err := c.forwardOrBuffer(a, events); err != nil {
		return err
	}
	watch.begun.Store(true)
	c.countWriting()
	return nil
}

// countWriting counts the time since the last events, and clears the parts of the prompt once the server has written for soundAfter.
func (c *call) countWriting() {
	now, before := clock.Now(), c.writing
	if !c.wroteAt.IsZero() {
		c.writing += min(now.Sub(c.wroteAt), maxCountedPause)
	}
	c.wroteAt = now
	if before < soundAfter && c.writing >= soundAfter {
		c.clearParts()
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

// writeEvents writes whole events to the caller.
func (c *call) writeEvents(a *dispatch.Answer, events []byte) error {
	now := clock.Now()
	if c.events == 0 {
		c.firstEvent = now.Sub(c.began)
	} else {
		c.longestGap = max(c.longestGap, now.Sub(c.eventAt))
	}
	c.eventAt = now
	c.g.balancer.FirstEvent(&c.choice, now)
	c.commit(a)
	if id, ok := lastEventID(events); ok {
		c.lastEvent = id
	}
	c.events++
	c.received += max(bytes.Count(events, eventEnd), bytes.Count(events, eventEndCR))
	if err := c.writePieces(events); err != nil {
		return err
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// commit writes the status and header of the answer to the caller, once.
func (c *call) commit(a *dispatch.Answer) {
	if c.committed {
		return
	}
	c.committed = true
	c.copyHead(a)
	c.closeIfStopping()
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
