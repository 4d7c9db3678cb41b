package gateway

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/dispatch"
)

const (
	// moveAfter is how long a server that is to load may go on with its streams
	// before another one is asked for them: half of them have ended by then.
	moveAfter = 700 * time.Millisecond
	// moveShare of the objective is the longest predicted time until the other
	// server goes on: a pause must not be noticed.
	moveShare = 0.6
	// holdLimit is how long a caller's last event may be past before a handover is called
	// off: events of the first server are held back until the other one writes. Callers
	// leave after 2 s. With 600 ms a calm day with a roll of weights earned 0.803 of the
	// credit, with 240 ms 0.777, without handovers 0.770 (mean of one played day on each of
	// two fleets; 0.03 is noise).
	holdLimit = 600 * time.Millisecond
	// askLimit is how long another server may take until it goes on. A full one
	// refuses within 0.3 s, one that reads prompts goes on within 1 s.
	askLimit = 1200 * time.Millisecond
	// maxAsks is how many servers beyond the route's attempts may be asked.
	maxAsks = 2
)

// errHandedOver ends a send whose stream goes on at another server.
var errHandedOver = errors.New("another server goes on with the stream")

// handover asks another server for the rest of a running stream while the first
// one goes on writing it. The first server keeps the stream until the other one has
// written an event: room there is only predicted, from reports 0.1 to 0.3 s old, and
// a stream that was given up for a server that then refuses it would be cut. Events of
// the first server are held back meanwhile, since those of two runs can't be joined.
type handover struct {
	choice  balance.Choice
	request *dispatch.Request
	// silent: the first server is silent; else it is to load.
	silent bool
	// next watches the other server once it has taken the stream over.
	next *watchdog
	// settled is closed when the other server has taken over or has not.
	settled chan struct{}

	// answer of the server that has taken over, and what was read of it. Guarded by
	// call.passing, as calledOff is.
	answer    *dispatch.Answer
	read      []byte
	calledOff bool
}

// callOff ends a handover that is not settled. call.passing is held.
func (h *handover) callOff() {
	h.calledOff = true
	h.next.cancel()
}

// handOver asks another server to go on with the stream that w watches.
func (c *call) handOver(w *watchdog, silent bool) {
	if h := c.beginHandover(w, silent); h != nil {
		c.ask(w, h)
	}
}

// beginHandover chooses the other server; nil if there is none.
func (c *call) beginHandover(w *watchdog, silent bool) *handover {
	c.passing.Lock()
	defer c.passing.Unlock()
	most := max(c.route.MaxAttempts, 1)
	if w.ended || c.runs >= most || c.sends >= most+maxAsks {
		return nil
	}
	now := time.Now()
	want := c.want(moveShare)
	want.Free = true
	want.Version = c.versionNumber()
	choice, _ := c.g.balancer.Pick(now, want)
	if choice.Server == nil {
		return nil
	}
	if !c.g.budget(c.service).TryRetry(c.g.steady(now)) {
		c.g.balancer.Done(&choice, now, balance.EndedElse)
		return nil
	}
	c.sends++
	c.handover = &handover{
		choice: choice, silent: silent, next: newWatchdog(w.parent), settled: make(chan struct{}),
		request: c.request(choice.Server),
	}
	c.logHandover("another server is asked to go on with the stream", w, c.handover, nil)
	return c.handover
}

// ask asks the other server, until it has written an event or has refused.
func (c *call) ask(w *watchdog, h *handover) {
	defer close(h.settled)
	limit := time.AfterFunc(askLimit, h.next.cancel)
	defer limit.Stop()
	answer, err := h.choice.Server.Pool.Send(h.next.ctx, h.request, c.by)
	if err != nil {
		c.askFailed(w, h, balance.EndedFailed, err)
		return
	}
	now := time.Now()
	c.g.balancer.Heard(h.choice.Server, now)
	c.noteLoad(h.choice.Server, answer.Header, now)
	read, ending, err := c.firstEvents(h, answer)
	if err != nil {
		answer.Close()
		c.askFailed(w, h, ending, err)
		return
	}
	c.passing.Lock()
	defer c.passing.Unlock()
	if h.calledOff || !limit.Stop() {
		answer.Close()
		c.dropHandover(w, h, balance.EndedElse, context.Canceled)
		return
	}
	c.runs++
	h.answer, h.read = answer, read
	w.cancel() // the first server's work ends here
}

// errRefused says that a server did not run the request.
var errRefused = errors.New("not run")

// firstEvents reads the first whole events of the rest of a stream. If the server
// does not go on, it tells how the send ended.
func (c *call) firstEvents(h *handover, a *dispatch.Answer) ([]byte, balance.Ending, error) {
	switch {
	case c.isNotRun(a):
		_, _ = io.Copy(io.Discard, a)
		return nil, c.refusal(a, &h.choice), errRefused
	case a.StatusCode/100 != 2, !c.signed(a):
		return nil, balance.EndedFailed, errors.New("no signed answer: " + strconv.Itoa(a.StatusCode))
	}
	a.ReadBy(c.by)
	buf := make([]byte, 0, streamBuffer)
	for wholeEvents(buf) == 0 {
		if len(buf) == cap(buf) {
			return nil, balance.EndedFailed, errEventTooLarge
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
	if h.next.ctx.Err() != nil {
		ending = balance.EndedElse // ended by us: it tells nothing of the server
	}
	switch ending {
	case balance.EndedFailed:
		c.tried = append(c.tried, h.choice.Server)
		if !errors.Is(err, dispatch.ErrNotSent) {
			c.runs++ // it may have begun
		}
	case balance.EndedGone:
		c.tried = append(c.tried, h.choice.Server)
	}
	c.dropHandover(w, h, ending, err)
}

// dropHandover ends a handover that failed. call.passing is held.
func (c *call) dropHandover(w *watchdog, h *handover, ending balance.Ending, err error) {
	c.handover = nil
	if errors.Is(err, dispatch.ErrNotSent) {
		c.sends--
	}
	h.next.cancel()
	c.g.balancer.Done(&h.choice, time.Now(), ending)
	c.logHandover("stream stays at its server", w, h, err)
}

// takeEvents passes events of a stream's server on, or holds them back while another
// server is asked to go on.
func (c *call) takeEvents(a *dispatch.Answer, events []byte) error {
	c.passing.Lock()
	defer c.passing.Unlock()
	if h := c.handover; h != nil && !h.calledOff {
		if h.answer != nil {
			return errHandedOver
		}
		if time.Since(c.eventAt) < holdLimit {
			c.held = append(c.held, events...)
			return nil
		}
		h.callOff()
	}
	return c.release(a, events)
}

// endEvents ends a stream that its server has written to its end.
func (c *call) endEvents(a *dispatch.Answer) error {
	c.passing.Lock()
	defer c.passing.Unlock()
	if h := c.handover; h != nil && !h.calledOff {
		if h.answer != nil {
			return errHandedOver
		}
		h.callOff()
	}
	c.commit(a) // a stream without events
	return c.release(a, nil)
}

// release passes the events on that were held back, and these. call.passing is held.
func (c *call) release(a *dispatch.Answer, events []byte) error {
	if len(c.held) > 0 {
		events = append(c.held, events...)
		c.held = nil
	}
	if len(events) == 0 {
		return nil
	}
	return c.passOn(a, events)
}

// settleHandover ends the watch over a server's stream, once it is known whether another
// server has taken over; it returns the handover then. What was held back is passed on
// if none has.
func (c *call) settleHandover(w *watchdog, a *dispatch.Answer, err error) (*handover, error) {
	c.passing.Lock()
	w.ended = true
	h := c.handover
	if h != nil && h.answer == nil && (err == nil || errors.Is(err, errCallerGone)) {
		h.callOff()
	}
	c.passing.Unlock()
	if h != nil {
		<-h.settled
	}
	c.passing.Lock()
	defer c.passing.Unlock()
	c.handover = nil
	if h != nil && h.answer != nil {
		c.held = nil
		return h, errHandedOver
	}
	if err != nil && !errors.Is(err, errCallerGone) {
		if gone := c.release(a, nil); gone != nil {
			return nil, gone
		}
	}
	return nil, err
}

// goOn passes on the rest of a stream from the server that has taken it over.
func (c *call) goOn(h *handover) sendResult {
	c.choice = h.choice
	c.tried = append(c.tried, h.choice.Server)
	defer h.next.stop()
	defer h.answer.Close()
	h.next.begun.Store(true)
	c.startWatch(h.next)
	return c.stream(h.next, h.answer, h.read)
}

// releaseNext gives up the server that would go on with a stream whose caller left.
func (c *call) releaseNext() {
	h := c.next
	if h == nil {
		return
	}
	c.next = nil
	h.answer.Close()
	h.next.stop()
	c.g.balancer.Done(&h.choice, time.Now(), balance.EndedElse)
}

// logHandover writes one line for a step of a handover. call.passing is held.
func (c *call) logHandover(what string, w *watchdog, h *handover, err error) {
	event := c.g.log.Info()
	if err != nil {
		event.AnErr("cause", err).Bool("called_off", h.calledOff)
	}
	c.describe(event).Str("server", w.server.ID).Bool("silent", h.silent).Str("to", h.choice.Server.ID).
		Float64("queue", h.choice.Queue).Int("slots", h.choice.Slots).Dur("wait_ms", h.choice.Wait).
		Dur("load_age_ms", h.choice.Told).Uint64("weights", h.choice.Version).Str("after_event", c.lastEvent).Msg(what)
}
