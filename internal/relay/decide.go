package relay

import (
	"time"
)

// CancelMargin is how long before the bound on weights the last request is passed on to an engine that holds them, and how long
// before it a request without an answer is cancelled, so that its caller may be served elsewhere. An agent that is busy runs up to some
// 0.3 s late.
const CancelMargin = 400 * time.Millisecond

// PathDelay is the longest delay of the path between an entry and a VM with which the bound is kept where an end of it has to rely on
// the other's clock. A connection whose data stay unacknowledged for 1.5 s has failed by then.
const PathDelay = 2 * time.Second

const (
	// unreadSilence is the longest standstill of an engine with which a request that lies unread there keeps the bound, if neither a
	// missing body nor a deadline does.
	unreadSilence = 2500 * time.Millisecond
	// readSilence is that of an engine which has read a request without a deadline at the bound, and has not begun it.
	readSilence = 1 * time.Second
	// unreadMargin and beginMargin are how long before the bound the last such request is passed on. To close its connection later
	// is no guard: some engines go on with what they were sent.
	unreadMargin = unreadSilence + maxBeginTime
	beginMargin  = readSilence + maxBeginTime
	// keptShare: an agent that counts under 1/keptShare of the time until the bound that the entry counted gives the engine no deadline there.
	keptShare = 2
	// AskTime is how long an engine may take to ask for the body of a request that has the bound as its deadline, which counts from
	// the engine's reading of the head.
	AskTime = 200 * time.Millisecond
)

// DeadlineMargin returns how long before the bound the deadline of a request ends that has the bound as its deadline. It counts from the
// engine's reading, which a standstill delays. No body follows a late question for it, but nothing keeps an engine from beginning a
// request without one.
func DeadlineMargin(bodiless bool) time.Duration {
	if bodiless {
		return unreadSilence
	}
	return AskTime
}

// Reason says why a request was not passed on. It is the value of the header field Headers.NotRun.
type Reason string

// Reasons of refusals.
const (
	ReasonNone    Reason = ""
	ReasonExpired Reason = "expired"
	ReasonSilent  Reason = "engine-silent"
	// ReasonFull: in the engine's queue only the agent would keep the bound, and it may stand still.
	ReasonFull Reason = "engine-full"
	// ReasonHolding: the engine has not begun a request in a free slot for too long.
	ReasonHolding      Reason = "engine-holding"
	ReasonOtherEngine  Reason = "other-engine"
	ReasonDraining     Reason = "draining"
	ReasonNoTime       Reason = "no-time"
	ReasonNotConnected Reason = "engine-not-connected"
	// ReasonNoMemory: the bodies of other requests use up the agent's memory for them.
	ReasonNoMemory Reason = "no-memory"
)

// Valid reports whether r is the reason of a refusal by an agent, and not what an engine states.
func (r Reason) Valid() bool {
	switch r {
	case ReasonExpired, ReasonSilent, ReasonFull, ReasonHolding, ReasonOtherEngine, ReasonDraining, ReasonNoTime, ReasonNotConnected, ReasonNoMemory:
		return true
	}
	return false
}

// conditions are what a decision on a request depends on besides the request. Times are those of package clock.
type conditions struct {
	now time.Time
	// engineAddr is the announced address of the engine beside the agent.
	engineAddr string
	// expires is from when on no request may begin on the request's weights, as the agent knows it; zero if it does not.
	expires time.Time
	// draining: the agent stops. silent: the engine does not answer its agent. holding: it holds requests in free slots. unasked: it
	// takes bodies without asking for them.
	draining, silent, holding, unasked bool
	// beginTime is the longest time that the engine took lately to begin a request in a free slot.
	beginTime time.Duration
}

// decision is whether a request is passed on.
type decision struct {
	// reason is ReasonNone if the request is passed on.
	reason Reason
	// bound is from when on no request may begin on the weights.
	bound time.Time
	// deadline is the time that the engine is given, in whole milliseconds; endsAt is when it is over.
	deadline time.Duration
	endsAt   time.Time
	// cancelAt is when the request is cancelled unless its answer has begun.
	cancelAt time.Time
	// latest is when the request, or its body, is sent to the engine at the latest.
	latest time.Time
	// needsSlot: the request must begin at once, since nothing else keeps it from beginning past the bound.
	needsSlot bool
	// asks: the engine is to ask for the body.
	asks bool
	// endsBefore: the engine is given the bound as the deadline.
	endsBefore bool
}

// decide decides whether a request is passed on now.
func decide(c conditions, f frame) decision {
	d := decision{bound: bound(c.expires, f)}
	d.endsBefore = endsBeforeBound(f, d.bound)
	left := f.arrival.Add(micros(f.DeadlineUs)).Sub(c.now)
	if d.endsBefore {
		left = min(left, d.bound.Sub(c.now)-DeadlineMargin(len(f.Body) == 0))
	}
	d.deadline = left.Truncate(time.Millisecond)
	d.endsAt = c.now.Add(d.deadline)
	margin := c.margin(f, d.endsBefore)
	d.latest = d.bound.Add(-margin)
	d.needsSlot = margin > CancelMargin && (!f.RunOnce || d.latest.Sub(c.now) < maxQueueTime)
	d.asks = len(f.Body) > 0 && !c.unasked
	switch {
	case f.Addr != c.engineAddr:
		d.reason = ReasonOtherEngine
	case c.draining:
		d.reason = ReasonDraining
	case !c.now.Before(d.latest):
		d.reason = ReasonExpired
	case d.deadline <= 0:
		d.reason = ReasonNoTime
	case c.silent:
		d.reason = ReasonSilent
	case c.holding && d.needsSlot:
		d.reason = ReasonHolding
	}
	d.cancelAt = d.bound.Add(-CancelMargin)
	if f.RunOnce && d.endsBefore { // until then it may run; the engine ends it then, unless it reads it later
		d.cancelAt = d.bound
	}
	return d
}

// endsBeforeBound reports whether a request that its entry takes to end before the bound may have the bound as its deadline, which also
// cuts what has begun. An agent that knows of an earlier bound, or of none, counts less time than the entry did: with under a
// keptShare of it left, the answer might be cut.
func endsBeforeBound(f frame, bound time.Time) bool {
	margin := DeadlineMargin(len(f.Body) == 0)
	left, stated := bound.Sub(f.arrival)-margin, micros(f.LeftUs)-margin
	return f.EndsBefore && left*keptShare >= stated
}

// margin returns how long before the bound a request is passed on at the latest, by what keeps the engine from beginning it past the
// bound: its deadline once it has read the request, and before that the body that it does not have.
func (c conditions) margin(f frame, endsBefore bool) time.Duration {
	switch {
	case len(f.Body) == 0 || c.unasked:
		return unreadMargin
	case !endsBefore:
		return max(BeginMargin(f.RunOnce), silenceMargin(c.beginTime))
	}
	return CancelMargin
}

// BeginMargin returns how long before the bound the last request is passed on at most that an engine may read and begin, without a deadline at
// the bound; the agent of one that takes long to begin refuses them earlier. One that must not run twice is not taken back from an engine that holds it.
func BeginMargin(runOnce bool) time.Duration {
	if runOnce {
		return unreadMargin
	}
	return beginMargin
}

// bound returns from when on no request may begin on a request's weights. The time that the entry states is renewed by the path, so that
// alone it counts less the longest delay of one: an agent may hear of a version later than an entry.
func bound(expires time.Time, f frame) time.Time {
	stated := f.arrival.Add(micros(f.LeftUs))
	if expires.IsZero() {
		return stated.Add(-PathDelay)
	}
	return earlier(expires, stated)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// micros converts microseconds of a message, which may be too many for a duration.
func micros(us int64) time.Duration {
	const most = int64(24 * time.Hour / time.Microsecond)
	return time.Duration(min(max(us, -most), most)) * time.Microsecond
}
