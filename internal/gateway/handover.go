package gateway

import (
	"errors"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/fleet"
)

const (
	// holdLimit is how long a caller's last event may be past before a handover is called
	// off: events of the first server are held back until the other one writes. Callers
	// leave after 2 s.
	holdLimit = 600 * time.Millisecond
	// maxAsks is how many servers beyond the route's attempts may be asked.
	maxAsks = 2
)

// errHandedOver ends a send whose stream goes on at another server.
var errHandedOver = errors.New("another server goes on with the stream")

// handover asks another server for a request, or for the rest of a running stream, while
// the first one goes on with it. The first server keeps it until the other one has
// written an event, or its whole answer: room there is only predicted, from reports 0.1
// to 0.3 s old, and a stream that was given up for a server that then refuses it would
// be cut. Events of the first server are held back meanwhile, since those of two runs
// can't be joined.
type handover struct {
	choice  balance.Choice
	request *dispatch.Request
	why     moveReason
	// next watches the other server once it has taken the stream over.
	next *watchdog
	// settled is closed when the other server has taken over or has not.
	settled chan struct{}

	// answer of the server that has taken over, and what was read of it. Guarded by
	// call.passing, as calledOff is.
	answer    *dispatch.Answer
	read      []byte
	calledOff bool
	// began: the other server has begun. It belongs to the goroutine that asks it.
	began bool
}

// callOff ends a handover that is not settled. call.passing is held.
func (h *handover) callOff() {
	h.calledOff = true
	h.next.cancel()
}

// handOver asks another server to go on with the stream that w watches.
func (c *call) handOver(w *watchdog, why moveReason) {
	if h := c.beginHandover(w, why); h != nil {
		c.ask(w, h)
	}
}

// beginHandover chooses the other server; nil if there is none.
func (c *call) beginHandover(w *watchdog, why moveReason) *handover {
	c.passing.Lock()
	defer c.passing.Unlock()
	if w.ended || c.handover != nil || !c.mayAsk(w, why) {
		return nil
	}
	now := clock.Now()
	choice, _ := c.g.balancer.Pick(now, c.wantOther(why))
	if choice.Server == nil {
		return nil
	}
	if !c.g.budget(c.service).TryRetry(c.g.steady(now)) {
		c.g.balancer.Done(&choice, now, balance.EndedElse)
		return nil
	}
	c.sends++
	c.countSignal(&choice)
	c.handover = &handover{
		choice: choice, why: why, next: newWatchdog(w.parent, choice.Server), settled: make(chan struct{}),
		request: c.request(choice.Server),
	}
	c.logHandover("another server is asked to go on", w, c.handover, nil)
	return c.handover
}

// mayAsk tells whether another server may be asked beside the one that w watches. What
// that one was sent is counted only once it has answered.
func (c *call) mayAsk(w *watchdog, why moveReason) bool {
	if c.suspect() {
		return false // one server at a time runs it
	}
	most := max(c.route.MaxAttempts, 1)
	if why == moveLoading && c.runs+c.unheard >= most {
		return false
	}
	if w.begun.Load() {
		return c.runs < most && c.sends < most+maxAsks
	}
	return c.sends+1 < most
}

// wantOther says what another server must have. One is asked instead of a server that
// is to load only if the caller will not notice.
func (c *call) wantOther(why moveReason) balance.Want {
	want := c.want(resendShare)
	if why == moveLoading {
		want.Budget = c.unnoticed(want.Read)
		want.Free = true
	}
	if c.events > 0 {
		want.Version = c.versionNumber()
	}
	return want
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
		if clock.Since(c.eventAt) < holdLimit {
			c.held = append(c.held, events...)
			return nil
		}
		h.callOff()
	}
	return c.release(a, events)
}

// endEvents ends a stream that its server has written to its end.
func (c *call) endEvents(w *watchdog, a *dispatch.Answer) error {
	c.passing.Lock()
	defer c.passing.Unlock()
	w.ended = true // nothing is handed over of what has ended
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
	if a != nil && err != nil && !errors.Is(err, errCallerGone) {
		if gone := c.release(a, nil); gone != nil {
			return nil, gone
		}
	}
	return nil, err
}

// overtaken tells whether another server has taken over a request that the watched one
// has not begun to answer, or has answered with a failure.
func (c *call) overtaken(w *watchdog, err error) bool {
	h, _ := c.settleHandover(w, nil, err)
	if h == nil {
		return false
	}
	if err == nil || errors.Is(err, errRefused) {
		h.why = moveAnswered
	}
	c.handedOver(h)
	return true
}

// goOn passes on what the server writes that has taken a request or a stream over.
func (c *call) goOn(h *handover) sendResult {
	c.choice = h.choice
	c.tried = append(c.tried, h.choice.Server)
	defer h.next.stop()
	defer h.answer.Close()
	if c.route.Kind != fleet.KindStream {
		return c.giveWhole(h.answer, h.read)
	}
	if c.events == 0 {
		c.version = "" // that of the first server binds nothing
	}
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
	c.g.balancer.Done(&h.choice, clock.Now(), balance.EndedElse)
}

// logHandover writes one line for a step of a handover. call.passing is held.
func (c *call) logHandover(what string, w *watchdog, h *handover, err error) {
	event := c.g.log.Info()
	if err != nil {
		event.AnErr("cause", err).Bool("called_off", h.calledOff)
	}
	c.describe(event).Str("server", w.server.ID).Str("why", string(h.why)).Str("to", h.choice.Server.ID).
		Float64("queue", h.choice.Queue).Int("slots", h.choice.Slots).Dur("wait_ms", h.choice.Wait).
		Dur("load_age_ms", h.choice.Told).Uint64("weights", h.choice.Version).Str("after_event", c.lastEvent).Msg(what)
}
