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
)

// askLimit is how long another server may take until it goes on. A full one refuses
// within 0.3 s, one that reads prompts goes on within 1 s.
const askLimit = 1200 * time.Millisecond

// ask asks the other server, until it has written an event, or its whole answer, or has
// refused.
func (c *call) ask(w *watchdog, h *handover) {
	defer close(h.settled)
	limit := time.AfterFunc(c.askTime(h), h.next.cancel)
	defer limit.Stop()
	answer, err := h.choice.Server.Pool.Send(h.next.ctx, h.request, c.by)
	if err != nil {
		c.askFailed(w, h, balance.EndedFailed, err)
		return
	}
	c.noteHead(&h.choice, answer)
	read, ending, err := c.firstPart(h, answer)
	if err != nil {
		answer.Close()
		c.askFailed(w, h, ending, err)
		return
	}
	c.passing.Lock()
	defer c.passing.Unlock()
	// A server that has nothing left to write can't go on where the first one has written
	// more meanwhile.
	behind := len(read) == 0 && len(c.held) > 0
	if h.calledOff || behind || !limit.Stop() {
		answer.Close()
		c.dropHandover(w, h, balance.EndedElse, context.Canceled)
		return
	}
	c.runs++
	c.mayHaveRun = true
	h.answer, h.read = answer, read
	w.cancel() // the first server's work ends here
}

// askTime is how long the other server may take until it goes on: a request must not
// begin there on weights that are over.
func (c *call) askTime(h *handover) time.Duration {
	left, bounded := c.g.balancer.VersionLeft(c.model, h.choice.Version, clock.Now())
	if !bounded {
		return askLimit
	}
	return min(askLimit, left-overGuard)
}

// errRefused says that a server did not run the request.
var errRefused = errors.New("not run")

// firstPart reads the first whole events of a stream, or a whole answer in one piece. If
// the server does not go on, it tells how the send ended.
func (c *call) firstPart(h *handover, a *dispatch.Answer) ([]byte, balance.Ending, error) {
	switch {
	case c.isNotRun(a):
		_, _ = io.Copy(io.Discard, a)
		return nil, c.refusal(a, &h.choice), errRefused
	case a.StatusCode/100 != 2, !c.signed(a):
		return nil, balance.EndedFailed, errors.New("no signed answer: " + strconv.Itoa(a.StatusCode))
	}
	h.began = true
	a.ReadBy(c.by)
	if c.route.Kind != fleet.KindStream {
		body, err := readWhole(a, c.by)
		return body, balance.EndedFailed, err
	}
	buf := make([]byte, 0, streamBuffer)
	for wholeEvents(buf) == 0 {
		var err error
		if buf, err = roomFor(buf); err != nil {
			return nil, balance.EndedFailed, err
		}
		n, err := a.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF && len(buf) == 0 {
			return nil, 0, nil // nothing is left to write
		}
		if err != nil && wholeEvents(buf) == 0 {
			return nil, balance.EndedFailed, err
		}
	}
	return buf, 0, nil
}

// askFailed leaves the stream at its first server.
func (c *call) askFailed(w *watchdog, h *handover, ending balance.Ending, err error) {
	c.passing.Lock()
	defer c.passing.Unlock()
	switch {
	case h.next.ctx.Err() != nil:
		ending = balance.EndedElse // ended by us: it tells nothing of the server
	case errors.Is(err, dispatch.ErrNoConnection):
		ending = balance.EndedBusy
	}
	if ending == balance.EndedFailed || ending == balance.EndedGone {
		c.tried = append(c.tried, h.choice.Server)
	}
	if ending == balance.EndedFailed && !errors.Is(err, dispatch.ErrNotSent) {
		h.began = true // it may have
		go c.noteEnd(h.choice.Server, err)
	}
	c.dropHandover(w, h, ending, err)
}

// dropHandover ends a handover that failed. call.passing is held.
func (c *call) dropHandover(w *watchdog, h *handover, ending balance.Ending, err error) {
	c.handover = nil
	if errors.Is(err, dispatch.ErrNotSent) {
		c.sends--
	}
	if h.began {
		c.runs++
	}
	if !errors.Is(err, dispatch.ErrNotSent) && !errors.Is(err, errRefused) {
		c.mayHaveRun = true // whatever we have heard of it
		if !h.began {
			c.unheard++
		}
	}
	h.next.cancel()
	c.g.balancer.Done(&h.choice, clock.Now(), ending)
	c.logHandover("request stays at its server", w, h, err)
}
