package gateway

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/headlimit"
)

// handoverTimeout is how long the other server may take until the first event of a stream, whose caller sees a pause meanwhile. A full
// server refuses within 0.3 s; one that first processes the prompt begins within 1 s.
const handoverTimeout = 1200 * time.Millisecond

// runHandover sends the request to the other server and waits until that has written an event or
// its whole answer, or the handover has failed.
func (c *call) runHandover(w *watchdog, h *handover) {
	defer close(h.settled)
	limit := time.AfterFunc(c.handoverTimeLeft(h), h.next.cancel)
	defer limit.Stop()
	answer, err := h.choice.Pool().Send(h.next.ctx, h.request, c.deadline)
	if err != nil {
		c.g.cfg.Metrics.noteInvalid(c.service, err)
		c.handoverFailed(w, h, balance.ResultFailed, err)
		return
	}
	h.next.answerTook = answer.Took
	c.noteHead(&h.choice, answer)
	read, result, err := c.firstPart(h, answer)
	if err != nil {
		answer.Close()
		c.handoverFailed(w, h, result, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The other server found nothing left to write, but the first one has written more
	// events since it was asked.
	behind := len(read) == 0 && len(c.buffered) > 0
	if h.cancelled || behind || !limit.Stop() {
		answer.Close()
		c.dropHandover(w, h, balance.ResultUnknown, context.Canceled)
		return
	}
	c.runs++
	c.mayHaveRun = true
	h.answer, h.read = answer, read
	w.cancel() // ends the attempt at the first server
}

// handoverTimeLeft returns how long the other server may take until its first event, or its whole answer, which has no pause: that has
// the time of the request. The request must not begin there on expired weights.
func (c *call) handoverTimeLeft(h *handover) time.Duration {
	most := handoverTimeout
	if c.route.Kind != fleet.KindStream {
		most = clock.Until(c.deadline)
	}
	left, bounded := c.g.balancer.VersionLeft(c.model, h.choice.Version, clock.Now())
	if !bounded {
		return most
	}
	return min(most, left-h.choice.CancelMargin())
}

// errRefused means that a server did not run the request.
var errRefused = errors.New("not run")

// firstPart reads the first whole events of a stream, or the whole of a non-streaming answer. On
// failure it returns how the attempt ended for the balancer.
func (c *call) firstPart(h *handover, a *dispatch.Answer) ([]byte, balance.Result, error) {
	switch {
	case c.isNotRun(a):
		a.Discard()
		return nil, c.refusal(a, &h.choice), errRefused
	case a.StatusCode/100 != 2, !c.signed(a):
		return nil, balance.ResultFailed, errors.New("no signed answer: " + strconv.Itoa(a.StatusCode))
	}
	h.began = true
	a.SetReadDeadline(c.deadline)
	if c.route.Kind != fleet.KindStream {
		body, err := c.readWhole(&h.choice, a)
		if errors.Is(err, errLargeAnswer) {
			return nil, balance.ResultUnknown, err // the first server's answer is as large
		}
		return body, balance.ResultFailed, err
	}
	return c.firstEvents(h, a)
}

// firstEvents is firstPart of a stream.
func (c *call) firstEvents(h *handover, a *dispatch.Answer) (buf []byte, result balance.Result, err error) {
	held := int64(0)
	defer func() {
		if buf == nil {
			c.unhold(held)
		}
	}()
	buf = make([]byte, 0, streamBuffer)
	for wholeEvents(buf) == 0 {
		switch buf, err = c.growBuffer(buf, &held); {
		case errors.Is(err, errNoMemory):
			return nil, balance.ResultUnknown, err
		case err != nil:
			return nil, balance.ResultFailed, err
		}
		n, err := a.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF && len(buf) == 0 {
			// The stream has no further events.
			return nil, balance.ResultFailed, c.checkEnd(&h.choice, a)
		}
		if err != nil && wholeEvents(buf) == 0 {
			return nil, balance.ResultFailed, err
		}
	}
	return buf, 0, nil
}

// handoverFailed ends a failed handover; the request stays at its first server.
func (c *call) handoverFailed(w *watchdog, h *handover, result balance.Result, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case h.next.ctx.Err() != nil, !clock.Now().Before(c.deadline), h.choice.Expired(clock.Now()), errors.Is(err, dispatch.ErrTooLate), errors.Is(err, headlimit.ErrNoMemory):
		result = balance.ResultUnknown // ended by this entry or its deadline, which says nothing about the server
	case errors.Is(err, dispatch.ErrNoConnection):
		result = balance.ResultBusy
	case result == balance.ResultFailed && h.choice.Expiry.Relayed && c.g.endedByAgent(&h.choice, h.began):
		result = balance.ResultUnknown
	}
	if result == balance.ResultFailed || result == balance.ResultReplaced {
		c.tried = append(c.tried, h.choice.Server)
	}
	if result == balance.ResultFailed && !errors.Is(err, dispatch.ErrNotSent) {
		go c.noteCrash(&h.choice, 0, err)
	}
	c.dropHandover(w, h, result, err)
}

// dropHandover removes a failed handover from the call and counts it. call.mu must be locked.
func (c *call) dropHandover(w *watchdog, h *handover, result balance.Result, err error) {
	c.handover = nil
	if errors.Is(err, dispatch.ErrNotSent) {
		c.attempts--
	}
	if !errors.Is(err, dispatch.ErrNotSent) && !errors.Is(err, errRefused) {
		c.runs++ // also without an answer: a server may go on with a request whose connection is closed
		c.mayHaveRun = true
		c.noteClosed(&h.choice, result)
	}
	h.next.cancel()
	c.g.balancer.Done(&h.choice, clock.Now(), result)
	c.logHandover("request stays at its server", w, h, err)
}
