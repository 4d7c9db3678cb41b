package gateway

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/waiting"
)

// maxMisses is how many requests in a wait queue with the same regions are tried in vain per freed slot. Requests differ
// in their prompts and in the time that they have left, so that a later one may fit where an
// earlier one does not.
const maxMisses = 3

// waitQueues are the requests that wait for a free slot, by service. The goroutine that frees a slot
// looks for a request that can take it (grant).
type waitQueues struct {
	balancer *balance.Balancer
	// count is the number of waiting requests; while it is 0, grant takes no lock.
	count atomic.Int64

	mu        sync.Mutex
	services  map[string]*waitQueue
	deadlines *waiting.Deadlines
	// allowances are the accepted waits, by service.
	allowances map[string]*waiting.Allowance
}

type waitQueue struct {
	queue   *waiting.Queue
	waiters map[*waiting.Request]*waiter
	// availableAt is when a throttled server with free slots accepts requests again, if a timer runs
	// for that; zero if none does.
	availableAt time.Time
}

// waiter is a waiting request. want must not be changed while it waits.
type waiter struct {
	want    balance.Requirements
	granted chan balance.Choice
}

func newWaitQueues(b *balance.Balancer) *waitQueues {
	return &waitQueues{balancer: b, services: map[string]*waitQueue{}, deadlines: waiting.NewDeadlines(), allowances: map[string]*waiting.Allowance{}}
}

// isClientRetry reports whether a request is a client retry, judged by its deadline.
func (q *waitQueues) isClientRetry(now time.Time, route *fleet.Route, deadline time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.deadlines.IsClientRetry(now, route.Name, deadline, route.Timeout)
}

// keepRoutes drops the deadlines and allowances of routes and services that a configuration no longer
// has.
func (q *waitQueues) keepRoutes(t *fleet.Table) {
	names := make([]string, len(t.Config.Routes))
	for i, route := range t.Config.Routes {
		names[i] = route.Name
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deadlines.Keep(names)
	maps.DeleteFunc(q.allowances, func(service string, _ *waiting.Allowance) bool { return t.Service(service) == nil })
}

// refused records that a caller was refused with this retry delay; route is empty for a client retry.
func (q *waitQueues) refused(now time.Time, route string, after time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if route == "" {
		q.deadlines.Refused(now, after)
		return
	}
	q.deadlines.RefusedFirst(now, route, after)
}

// hasFirstAttempts reports whether requests other than client retries wait for a service that may
// use the same servers as one of this residency.
func (q *waitQueues) hasFirstAttempts(service string, residency fleet.Residency) bool {
	if q.count.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[service]
	return s != nil && s.queue.HasFirstAttempts(residency.String())
}

// wait waits until the request gets a slot, its time to wait is over, or ctx ends; it returns false
// in the latter cases. availableAt is when a throttled server with free slots accepts requests
// again, zero if there is none.
func (q *waitQueues) wait(ctx context.Context, r *waiting.Request, want balance.Requirements, availableAt time.Time) (balance.Choice, bool) {
	w := &waiter{want: want, granted: make(chan balance.Choice, 1)}
	q.add(r, w, availableAt)
	timer := time.NewTimer(clock.Until(r.WaitDeadline))
	defer timer.Stop()
	select {
	case choice := <-w.granted:
		return choice, true
	case <-timer.C:
	case <-ctx.Done():
	}
	if q.remove(r, want.Service) {
		return balance.Choice{}, false
	}
	return <-w.granted, true // granted meanwhile
}

// grantAt schedules a call of grant for the time at which a server accepts requests again; zero is
// never. q.mu must be locked.
func (q *waitQueues) grantAt(s *waitQueue, availableAt time.Time) {
	if availableAt.IsZero() || !s.availableAt.IsZero() && !availableAt.Before(s.availableAt) {
		return
	}
	s.availableAt = availableAt
	time.AfterFunc(clock.Until(availableAt), q.grant)
}

func (q *waitQueues) add(r *waiting.Request, w *waiter, availableAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.want.Service]
	if s == nil {
		s = &waitQueue{queue: waiting.New(), waiters: map[*waiting.Request]*waiter{}}
		q.services[w.want.Service] = s
	}
	s.queue.Add(r)
	s.waiters[r] = w
	q.count.Add(1)
	q.grantAt(s, availableAt)
}

// remove removes a request and reports whether it was still waiting.
func (q *waitQueues) remove(r *waiting.Request, service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[service]
	if !s.queue.Remove(r) {
		return false
	}
	delete(s.waiters, r)
	q.count.Add(-1)
	return true
}

// grant gives slots that may have become free to waiting requests, in the order of their queue.
func (q *waitQueues) grant() {
	if q.count.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	for _, s := range q.services {
		q.grantFrom(s, now)
	}
}

func (q *waitQueues) grantFrom(s *waitQueue, now time.Time) {
	if !now.Before(s.availableAt) {
		s.availableAt = time.Time{}
	}
	misses := map[string]int{} // by the regions that a request may use
	for _, r := range s.queue.Ordered(now) {
		if misses[r.Regions] >= maxMisses {
			continue
		}
		w := s.waiters[r]
		want := w.want
		want.Budget = max(want.Budget-now.Sub(r.Since), minWaitBudget)
		choice, capacity := q.balancer.Pick(now, want)
		if choice.Server == nil {
			q.grantAt(s, capacity.Opens)
			misses[r.Regions]++
			continue
		}
		s.queue.Granted(r)
		delete(s.waiters, r)
		q.count.Add(-1)
		w.granted <- choice
	}
}

// waitForSlot queues a request that has had no attempt, if some server fits but is full, refused a
// request a moment ago, or is throttled. It returns false if no slot becomes free in time, or
// none is expected to.
func (c *call) waitForSlot(ctx context.Context, want balance.Requirements, capacity balance.Availability) (balance.Choice, bool) {
	if c.attempts > 0 || c.events > 0 || c.engine() == nil || capacity.Fit+capacity.Busy+capacity.Limited+capacity.BackingOff == 0 {
		return balance.Choice{}, false
	}
	r := &waiting.Request{ClientRetry: c.clientRetry, Regions: c.residency.String(), Since: clock.Now()}
	r.WaitDeadline = waiting.WaitDeadline(c.began, c.route.Objective, r.ClientRetry)
	if !slotExpected(r, want, capacity) {
		return balance.Choice{}, false
	}
	if c.org != nil {
		r.Organisation = c.org.Name
	}
	choice, ok := c.g.queues.wait(ctx, r, want, capacity.Opens)
	c.waited = clock.Since(r.Since)
	c.g.cfg.Metrics.slotWait.WithLabelValues(c.service, strconv.FormatBool(ok)).Observe(c.waited.Seconds())
	return choice, ok
}

// slotExpected reports whether a slot is expected to become free while the request may wait.
func slotExpected(r *waiting.Request, want balance.Requirements, capacity balance.Availability) bool {
	left := r.WaitDeadline.Sub(r.Since)
	switch {
	case left <= 0:
		return false
	case !capacity.Opens.IsZero() && !capacity.Opens.After(r.WaitDeadline):
		return true
	case capacity.Fit > 0:
		return capacity.Soonest <= want.Budget+left
	}
	return capacity.Busy > 0
}
