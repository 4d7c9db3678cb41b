// Package waiting decides which requests may wait at an entry for a slot at a backend
// server, for how long, and which of them gets the next free slot.
//
// It serves an overload of some seconds, as in a burst, while engines load new weights, or
// after a loss of servers. Without a queue a request is dispatched or refused on arrival: a
// slot that becomes free a moment later goes to whichever request arrives next, and that is
// often a late client retry. TestOverloadFreeSlotsGoToFirstAttempts compares both.
//
// State: the waiting requests. Messages: none; time is an argument, and a Queue is not safe
// for concurrent use.
package waiting

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstAttemptShare is the share of its objective for which a first attempt may wait. What is
	// left must suffice for the prompt, a pass of the engine and the error of the prediction, which
	// take half of the objective. After a wait of a fifth, a refusal reaches its caller within a
	// quarter, in time for a retry elsewhere.
	firstAttemptShare = 0.2
	// clientRetryShare is the same for a client retry after a refusal: it is late already, and
	// the next refusal is its last.
	clientRetryShare = 0.5
)

// Request is a waiting request.
type Request struct {
	// Organisation of the request, empty on routes without organisations.
	Organisation string
	// ClientRetry: it is a client retry, and late in any case.
	ClientRetry bool
	// Regions are those that it may use, in any notation that is the same for the same ones; empty
	// for all.
	Regions string
	// Since is when it began to wait, WaitDeadline when it is refused.
	Since, WaitDeadline time.Time
}

// WaitDeadline returns until when a request may wait that arrived at this time and whose first
// event is due within objective.
func WaitDeadline(arrived time.Time, objective time.Duration, clientRetry bool) time.Time {
	share := firstAttemptShare
	if clientRetry {
		share = clientRetryShare
	}
	return arrived.Add(time.Duration(share * float64(objective)))
}

// Queue is the wait queue of the servers of one service.
type Queue struct {
	waiting []*Request
	// granted is, by organisation, the number of its last grant.
	granted map[string]uint64
	grants  uint64
}

// New returns an empty queue.
func New() *Queue { return &Queue{granted: map[string]uint64{}} }

// Add adds a request.
func (q *Queue) Add(r *Request) { q.waiting = append(q.waiting, r) }

// Remove removes a request, and reports whether it was waiting.
func (q *Queue) Remove(r *Request) bool {
	i := slices.Index(q.waiting, r)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Granted removes a request that got a slot.
func (q *Queue) Granted(r *Request) {
	if !q.Remove(r) {
		return
	}
	q.grants++
	q.granted[r.Organisation] = q.grants
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// HasFirstAttempts reports whether any first attempt is waiting that may use the same servers as a
// request with these regions. Two different restrictions are taken to have no server in common.
func (q *Queue) HasFirstAttempts(regions string) bool {
	return slices.ContainsFunc(q.waiting, func(r *Request) bool {
		return !r.ClientRetry && (regions == "" || r.Regions == "" || r.Regions == regions)
	})
}

// Ordered returns the requests that may still wait at this time, the one to get the next
// slot first: first attempts before client retries; then the organisation whose last grant is
// oldest, so that one with many requests does not starve others; then the newest request,
// which is the likeliest to be in time. Ordered by the time left, requests with a short
// objective would always come after the others.
func (q *Queue) Ordered(now time.Time) []*Request {
	order := make([]*Request, 0, len(q.waiting))
	for _, r := range q.waiting {
		if now.Before(r.WaitDeadline) {
			order = append(order, r)
		}
	}
	slices.SortStableFunc(order, func(a, b *Request) int {
		return cmp.Or(
			compareBool(a.ClientRetry, b.ClientRetry),
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
