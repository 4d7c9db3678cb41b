package gateway

import (
	"errors"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/fleet"
)

// The limits of handovers of streams. A whole answer has no pause, and nothing of it is forwarded before its end.
const (
	// maxHandoverGap is the longest pause in a caller's stream that a handover may cause: events
	// of the first server are buffered until the other one writes, and a handover that takes
	// longer is cancelled. Callers leave after 2 s without an event.
	maxHandoverGap = 600 * time.Millisecond
	// maxBuffered bounds these events, in bytes.
	maxBuffered = 64 << 10
	// maxExtraHandovers is how many attempts beyond the route's limit may be made by handovers
	// of a stream that has begun.
	maxExtraHandovers = 2
)

// errHandedOver ends an attempt whose stream another server has taken over.
var errHandedOver = errors.New("another server goes on with the stream")

// handover is a hedged attempt: another server is sent the request, or the rest of a running
// stream, while the first server continues. The first attempt ends only once the other
// server has written an event or its whole answer. Free slots there are only predicted, from
// reports that are 0.1 to 0.3 s old; a stream that was taken from its server for one that then
// refuses it would break off. Events of the first server are buffered meanwhile, since the
// events of two runs can't be combined.
type handover struct {
	choice  balance.Choice
	request *dispatch.Request
	why     handoverReason
	// next is the watchdog of the other server's attempt. It is started once that server has
	// taken the request over.
	next *watchdog
	// settled is closed once it is known whether the other server takes the request over.
	settled chan struct{}

	// answer is that of the server that has taken over, read what was read of it. Both are
	// guarded by call.mu, as is cancelled.
	answer    *dispatch.Answer
	read      []byte
	cancelled bool
	// began: the other server has begun to run the request. Only the handover's goroutine uses it.
	began bool
}

// cancel ends a handover that is not settled. call.mu must be locked.
func (h *handover) cancel() {
	h.cancelled = true
	h.next.cancel()
}

// handOver tries to hand the request that w watches over to another server.
func (c *call) handOver(w *watchdog, why handoverReason) {
	choice := c.chooseForHandover(w, why)
	if choice.Server == nil {
		return
	}
	if h := c.beginHandover(w, why, choice); h != nil {
		c.runHandover(w, h)
	}
}

// chooseForHandover chooses the other server; none if there is none, or if no handover is allowed. An agent may be
// asked for a slot, so that call.mu is not locked meanwhile.
func (c *call) chooseForHandover(w *watchdog, why handoverReason) balance.Choice {
	c.mu.Lock()
	allowed := c.handoverAllowed(w)
	want := c.handoverWant(why)
	var search *slotSearch
	if allowed && c.engine() != nil && c.g.reserves(c.service) {
		search = c.newSlotSearch(want, &agentDecisions{})
	}
	c.mu.Unlock()
	switch {
	case !allowed:
		return balance.Choice{}
	case search != nil:
		return search.run(w.parent, false)
	}
	choice, _ := c.g.balancer.Pick(clock.Now(), want)
	return choice
}

func (c *call) handoverAllowed(w *watchdog) bool {
	return !w.ended && w.parent.Err() == nil && c.handover == nil && c.mayHandOver(w)
}

// beginHandover begins the handover to a chosen server. It returns nil if none is allowed any more.
func (c *call) beginHandover(w *watchdog, why handoverReason, choice balance.Choice) *handover {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if !c.handoverAllowed(w) || !c.canEnd(&choice) || !c.g.budget(c.service).TryRetry(c.g.monotonic(now)) {
		c.g.balancer.Done(&choice, now, balance.ResultUnknown)
		return nil
	}
	c.attempts++
	c.countSignal(&choice)
	c.handover = &handover{
		choice: choice, why: why, next: newWatchdog(w.parent, choice.Server), settled: make(chan struct{}),
		request: c.request(&choice),
	}
	c.logHandover("another server is asked to go on", w, c.handover, nil)
	return c.handover
}

// mayHandOver reports whether a handover is allowed for the attempt that w watches. That attempt
// itself is counted only once its server has answered.
func (c *call) mayHandOver(w *watchdog) bool {
	if c.isSuspect() {
		return false // suspect content has one attempt at a time
	}
	most := max(c.route.MaxAttempts, 1)
	if w.begun.Load() {
		return c.runs < most && c.attempts < most+maxExtraHandovers
	}
	return c.attempts+1 < most
}

// handoverWant returns what the other server of a handover must offer. If the first server only
// waits to load weights, the caller must not notice the handover.
func (c *call) handoverWant(why handoverReason) balance.Requirements {
	want := c.want(retryShare)
	if why == handoverLoading || why == handoverEndMissed {
		want.Budget = c.unnoticedWait(want.Read)
		want.Free = true
		want.Due = time.Time{}
		if c.events > 0 && c.route.GapObjective > 0 {
			want.Due = clock.Now().Add(c.route.GapObjective)
		}
	}
	if c.events > 0 {
		want.Version = c.versionNumber()
	}
	return want
}

// forwardOrBuffer forwards events of a stream to the caller, or buffers them during a handover.
func (c *call) forwardOrBuffer(a *dispatch.Answer, events []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.handover; h != nil && !h.cancelled {
		if h.answer != nil {
			return errHandedOver
		}
		if clock.Since(c.eventAt) < maxHandoverGap && len(c.buffered)+len(events) <= maxBuffered {
			c.buffered = append(c.buffered, events...)
			return nil
		}
		h.cancel()
	}
	return c.forwardBuffered(a, events)
}

// endStream ends a stream that its server has completed.
func (c *call) endStream(w *watchdog, a *dispatch.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.ended = true // no handover may begin any more
	if h := c.handover; h != nil && !h.cancelled {
		if h.answer != nil {
			return errHandedOver
		}
		h.cancel()
	}
	c.commit(a) // a stream without events
	return c.forwardBuffered(a, nil)
}

// forwardBuffered forwards the buffered events, then these. call.mu must be locked.
func (c *call) forwardBuffered(a *dispatch.Answer, events []byte) error {
	if len(c.buffered) > 0 {
		events = append(c.buffered, events...)
		c.buffered = nil
	}
	if len(events) == 0 {
		return nil
	}
	return c.writeEvents(a, events)
}

// settleHandover ends the watch over an attempt and waits until its handover, if any, is settled.
// It returns the handover if the other server has taken over; otherwise it forwards the
// buffered events.
func (c *call) settleHandover(w *watchdog, a *dispatch.Answer, err error) (*handover, error) {
	c.mu.Lock()
	w.ended = true
	h := c.handover
	if h != nil && h.answer == nil && (err == nil || errors.Is(err, errCallerGone)) {
		h.cancel()
	}
	c.mu.Unlock()
	if h != nil {
		<-h.settled
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handover = nil
	if h != nil && h.answer != nil {
		c.buffered = nil
		return h, errHandedOver
	}
	if a != nil && err != nil && !errors.Is(err, errCallerGone) {
		if gone := c.forwardBuffered(a, nil); gone != nil {
			return nil, gone
		}
	}
	return nil, err
}

// takenOver reports whether another server has taken over the request by the time that its first
// attempt has failed, was refused or has returned a whole answer. If so, it ends that attempt.
func (c *call) takenOver(w *watchdog, err error) bool {
	h, _ := c.settleHandover(w, nil, err)
	if h == nil {
		return false
	}
	if err == nil || errors.Is(err, errRefused) {
		h.why = handoverAnswered
	}
	c.endHandedOver(w, h)
	return true
}

// continueHandover forwards the answer of the server that has taken the request over.
func (c *call) continueHandover(h *handover) attemptResult {
	c.choice = h.choice
	c.writing, c.wroteAt = 0, time.Time{}
	c.tried = append(c.tried, h.choice.Server)
	defer h.next.stop()
	defer h.answer.Close()
	if c.route.Kind != fleet.KindStream {
		return c.writeWhole(h.answer, h.read)
	}
	if c.events == 0 {
		c.version = "" // the caller has no events of the first server's version
	}
	h.next.begun.Store(true)
	c.startWatch(h.next)
	return c.stream(h.next, h.answer, h.read)
}

// dropNext ends the attempt at the server that has taken over a request whose caller has left or
// whose deadline has passed.
func (c *call) dropNext() {
	h := c.next
	if h == nil {
		return
	}
	c.next = nil
	h.answer.Close()
	h.next.stop()
	c.noteClosed(&h.choice, balance.ResultUnknown)
	c.g.balancer.Done(&h.choice, clock.Now(), balance.ResultUnknown)
}

// logHandover writes one line for a step of a handover. call.mu must be locked.
func (c *call) logHandover(what string, w *watchdog, h *handover, err error) {
	event := c.g.log.Info()
	if err != nil {
		event.AnErr("cause", err).Bool("called_off", h.cancelled)
	}
	describeSigns(event, h.choice.Signs)
	if left, bounded := c.g.balancer.VersionLeft(c.model, h.choice.Version, clock.Now()); bounded {
		event.Dur("bound_left_ms", left).Bool("relayed", h.choice.Expiry.Relayed).Bool("answered", h.began)
	}
	c.describe(event).Str("server", w.server.ID).Str("why", string(h.why)).Str("to", h.choice.Server.ID).
		Float64("queue", h.choice.Queue).Int("slots", h.choice.Slots).Dur("wait_ms", h.choice.Wait).
		Dur("load_age_ms", h.choice.ReportAge).Uint64("weights", h.choice.Version).Str("after_event", c.lastEvent).Msg(what)
}
