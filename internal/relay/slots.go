package relay

import (
	"slices"
	"sync"
	"time"
)

const (
	// slotWait is how long a request waits for a free slot. It is shorter than the lease of a reservation, after which its agent
	// grants the slot to another one.
	slotWait = 250 * time.Millisecond
	// slotCheckInterval is how often the engine's report is looked at for a free slot while a request waits.
	slotCheckInterval = 10 * time.Millisecond
	// maxBeginTime is how long a request may take to begin that was passed on while a slot was free, at an engine of usual pace;
	// probeBeginTime applies to an engine that has exceeded it lately. A full engine reads long prompts for some 0.5 s before it
	// begins one more.
	maxBeginTime   = 800 * time.Millisecond
	probeBeginTime = 250 * time.Millisecond
	// minHoldingBackoff is how long an engine that has exceeded one of them gets no requests that must begin at once. It doubles
	// each time, up to maxHoldingBackoff, until the engine begins one in time: it may hold some requests only.
	minHoldingBackoff = 100 * time.Millisecond
	maxHoldingBackoff = 4 * time.Second
	// holdingMemory is for how long such an engine then gets them one at a time. It is longer than the time before a bound in
	// which requests are relayed.
	holdingMemory = 5 * time.Second
	// arrivalTime is how long a request that was passed on may take until the engine's report counts it.
	arrivalTime = 10 * time.Millisecond
	// maxPace bounds a stated pace.
	maxPace = 10
	// maxQueueTime is how long a request that can't be cancelled may wait in the engine's queue, before its margin.
	maxQueueTime = 2 * time.Second
	// maxHeldTime is how long before the bound a request that the engine holds in a free slot may stay there.
	maxHeldTime = 3 * time.Second
)

// slotQueue gives the engine's free slots to requests in the order of their arrival. A request without a deadline at the bound
// must not wait at the engine, which may begin it at any time.
type slotQueue struct {
	mu sync.Mutex
	// unbegun are the requests that were passed on and whose answer has not begun. closed are those of them whose connection was
	// closed and that the engine's report may not count yet: the engine may have kept them.
	unbegun []*slotTicket
	closed  []*slotTicket
	waiting []*slotTicket
	// heldAt is when the engine was last found to hold a request in a free slot, a time of package clock. It gets none until
	// backoffUntil. holds counts how often it was found so within holdingMemory, since it last began one in time.
	heldAt, backoffUntil time.Time
	holds                int
	// atOnce is how many requests that have not begun an engine may have that was found to hold some: one, and one more for each
	// that it has begun in time since.
	atOnce int
	begins beginTimes
}

// slotTicket is the place of a request among those that wait, or among those that were passed on.
type slotTicket struct {
	// passedAt is when it was passed on, beginBy when its answer must have begun if the engine does not hold requests in free
	// slots; zero if no slot was free. Both are times of package clock.
	passedAt, beginBy time.Time
}

// EngineReport is what the engine states of its slots.
type EngineReport struct {
	// FreeSlots is 0 if requests wait for one.
	FreeSlots int
	// Pace is how many times as long as usual the engine's work takes.
	Pace float64
	// AsOf is when the report was asked for, a time of package clock.
	AsOf time.Time
	// ConnectedAt is when the connection was established over which it came, a time of package clock; zero if not known. The engine's
	// process has run at least since then.
	ConnectedAt time.Time
}

// scaled returns how long work takes by this report that usually takes d.
func (r EngineReport) scaled(d time.Duration) time.Duration {
	if !(r.Pace > 1) { // also for NaN
		return d
	}
	return time.Duration(float64(d) * min(r.Pace, maxPace))
}

// join adds a request to those that wait. It is followed by a leave.
func (q *slotQueue) join() *slotTicket {
	t := &slotTicket{}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, t)
	return t
}

// claim takes a slot for a waiting request if enough are free for it, and for those before it.
func (q *slotQueue) claim(t *slotTicket, report EngineReport, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	left := q.left(report)
	if q.hasHeld(now) {
		left = min(left, q.atOnce-len(q.unbegun))
	}
	if slices.Index(q.waiting, t) >= left {
		return false
	}
	q.waiting = without(q.waiting, t)
	q.pass(t, now, report, true)
	return true
}

// take counts a request that may wait at the engine. It is followed by a leave.
func (q *slotQueue) take(report EngineReport, now time.Time) *slotTicket {
	t := &slotTicket{}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pass(t, now, report, q.left(report) > 0)
	return t
}

// left returns how many slots are free, without those for requests that were passed on so late that the report does not count them.
// q.mu must be locked.
func (q *slotQueue) left(report EngineReport) int {
	counted := func(t *slotTicket) bool { return !t.passedAt.After(report.AsOf.Add(-arrivalTime)) }
	q.closed = slices.DeleteFunc(q.closed, counted)
	left := report.FreeSlots - len(q.closed)
	for _, passed := range q.unbegun {
		if !counted(passed) {
			left--
		}
	}
	return left
}

// pass adds a request to those that were passed on. q.mu must be locked.
func (q *slotQueue) pass(t *slotTicket, now time.Time, report EngineReport, hasSlot bool) {
	t.passedAt = now
	switch {
	case !hasSlot:
	case q.hasHeld(now):
		t.beginBy = now.Add(report.scaled(probeBeginTime))
	default:
		t.beginBy = now.Add(report.scaled(maxBeginTime))
	}
	q.unbegun = append(q.unbegun, t)
}

// leave removes a request: it waits no longer, its answer has begun, or its connection was closed.
func (q *slotQueue) leave(t *slotTicket, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = without(q.waiting, t)
	if slices.Contains(q.unbegun, t) {
		q.noteBegin(t, now)
		q.unbegun, q.closed = without(q.unbegun, t), append(q.closed, t)
	}
}

// begun removes a request whose answer has begun. An engine that begins one in time, after it has held some, does not hold all.
func (q *slotQueue) begun(t *slotTicket, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.hasHeld(now) && t.passedAt.After(q.heldAt) && now.Before(t.beginBy) {
		q.holds = 0
		q.atOnce++
	}
	if slices.Contains(q.unbegun, t) {
		q.noteBegin(t, now)
	}
	q.unbegun = without(q.unbegun, t)
}

// noteBegin records how long a request has taken to begin, or until it was closed. q.mu must be locked.
func (q *slotQueue) noteBegin(t *slotTicket, now time.Time) {
	if !t.beginBy.IsZero() {
		q.begins.add(now.Sub(t.passedAt), now)
	}
}

// beginTime returns the longest time that the engine took lately to begin a request in a free slot, or takes by now.
func (q *slotQueue) beginTime(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	longest := q.begins.last(now)
	for _, t := range q.unbegun {
		if !t.beginBy.IsZero() {
			longest = max(longest, now.Sub(t.passedAt))
		}
	}
	return longest
}

// hasSlot reports whether a slot was free when the request was passed on.
func (q *slotQueue) hasSlot(t *slotTicket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !t.beginBy.IsZero()
}

func without(tickets []*slotTicket, t *slotTicket) []*slotTicket {
	if i := slices.Index(tickets, t); i >= 0 {
		return slices.Delete(tickets, i, i+1)
	}
	return tickets
}

// holding reports whether the engine gets no requests that must begin at once, since it holds one in a free slot, or did lately.
func (q *slotQueue) holding(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Before(q.backoffUntil) {
		return true
	}
	held := slices.ContainsFunc(q.unbegun, func(t *slotTicket) bool { return !t.beginBy.IsZero() && !now.Before(t.beginBy) })
	if held {
		q.backOff(now)
	}
	return held
}

// backOff begins a backoff from an engine that holds a request. q.mu must be locked.
func (q *slotQueue) backOff(now time.Time) {
	if !q.hasHeld(now) {
		q.holds = 0
	}
	q.backoffUntil = now.Add(min(minHoldingBackoff<<min(q.holds, 10), maxHoldingBackoff))
	q.heldAt, q.atOnce = now, 1
	q.holds++
}

// hasHeld reports whether the engine was found to hold requests lately. q.mu must be locked.
func (q *slotQueue) hasHeld(now time.Time) bool {
	return !q.heldAt.IsZero() && now.Sub(q.heldAt) < holdingMemory
}
