// Package waiting decides which requests may wait at an entry for room at a backend
// server, for how long, and which of them gets the next room.
//
// The load that it answers: more requests than the backend servers bear, for seconds, as
// in a burst, while engines load new weights, or after a loss of servers. Without it a
// request is sent or refused at the moment at which it comes: room that becomes free a
// moment later goes to whoever comes next, and that is often a caller who comes back late
// after a refusal. TestUnderOverloadRoomGoesToCallersThatAreStillInTime compares both.
//
// State: the requests that wait. Messages: none; time is an argument, and a Queue belongs
// to its caller.
package waiting

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstPart is the part of its objective for which a first attempt may wait. A caller
	// that is refused by then knows it early enough to turn elsewhere; and what is left of
	// the objective must do for the prompt, a pass of the engine and what the prediction
	// does not know, which take half of it. A fifth leaves time for the refusal to reach
	// its caller within a quarter.
	firstPart = 0.2
	// comebackPart is the same for a caller that comes back after a refusal: it is late
	// already, and its next refusal is its last.
	comebackPart = 0.5
)

// Request is one that waits.
type Request struct {
	// Organisation whose request it is, empty where there are none.
	Organisation string
	// CameBack: its caller was refused before, so that it is late whatever happens.
	CameBack bool
	// Since is when it began to wait, By when it is refused.
	Since, By time.Time
}

// Until returns when the wait of a request ends that came at this time and whose first
// event is due within objective.
func Until(came time.Time, objective time.Duration, cameBack bool) time.Time {
	part := firstPart
	if cameBack {
		part = comebackPart
	}
	return came.Add(time.Duration(part * float64(objective)))
}

// Queue holds the requests that wait for servers of one service.
type Queue struct {
	waiting []*Request
	// granted is, by organisation, the number of the grant that it got last.
	granted map[string]uint64
	grants  uint64
}

// New returns an empty queue.
func New() *Queue { return &Queue{granted: map[string]uint64{}} }

// Add makes a request wait.
func (q *Queue) Add(r *Request) { q.waiting = append(q.waiting, r) }

// Remove takes a request out, and tells whether it still waited.
func (q *Queue) Remove(r *Request) bool {
	i := slices.Index(q.waiting, r)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Granted takes a request out that has got room.
func (q *Queue) Granted(r *Request) {
	if !q.Remove(r) {
		return
	}
	q.grants++
	q.granted[r.Organisation] = q.grants
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.waiting) }

// FirstAttempts tells whether any request waits whose caller is not late yet.
func (q *Queue) FirstAttempts() bool {
	return slices.ContainsFunc(q.waiting, func(r *Request) bool { return !r.CameBack })
}

// InOrder returns the requests that wait at this time, the one that is to get the next
// room first: first attempts before callers that are late already; then the organisation
// that got room longest ago, so that one with many requests doesn't push others out; then
// the one that came last, which is the likeliest to be in time. Ordered by the time that is left,
// those with a short objective would always stand behind the others.
func (q *Queue) InOrder(now time.Time) []*Request {
	order := make([]*Request, 0, len(q.waiting))
	for _, r := range q.waiting {
		if now.Before(r.By) {
			order = append(order, r)
		}
	}
	slices.SortStableFunc(order, func(a, b *Request) int {
		return cmp.Or(
			compareBool(a.CameBack, b.CameBack),
			cmp.Compare(q.granted[a.Organisation], q.granted[b.Organisation]),
			b.Since.Compare(a.Since),
		)
	})
	return order
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
