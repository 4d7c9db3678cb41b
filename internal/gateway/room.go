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

// maxMisses is how many requests in a row may find no room until the others are left
// waiting: they differ in their prompts and in the time that they have left, so that a
// later one may fit where an earlier one does not.
const maxMisses = 3

// roomQueues are the requests that wait for room, by service. What frees room looks for
// one that can take it (offer), on the goroutine that has freed it.
type roomQueues struct {
	balancer *balance.Balancer
	// count of all that wait: nothing is locked while it is 0.
	count atomic.Int64

	mu        sync.Mutex
	services  map[string]*roomQueue
	deadlines *waiting.Deadlines
	// allowances are by service.
	allowances map[string]*waiting.Allowance
}

type roomQueue struct {
	queue   *waiting.Queue
	waiters map[*waiting.Request]*waiter
	// opens is when a server that has room may be sent to again, as far as that is waited for;
	// zero if it is not.
	opens time.Time
}

// waiter is a request that waits. Its want is not changed while it does.
type waiter struct {
	want  balance.Want
	given chan balance.Choice
}

func newRoomQueues(b *balance.Balancer) *roomQueues {
	return &roomQueues{balancer: b, services: map[string]*roomQueue{}, deadlines: waiting.NewDeadlines(), allowances: map[string]*waiting.Allowance{}}
}

// comesBack tells whether a caller was refused before, by its deadline.
func (q *roomQueues) comesBack(now time.Time, route *fleet.Route, deadline time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.deadlines.ComesBack(now, route.Name, deadline, route.Timeout)
}

// keepRoutes forgets what was learned of routes and services that a configuration no longer has.
func (q *roomQueues) keepRoutes(t *fleet.Table) {
	names := make([]string, len(t.Config.Routes))
	for i, route := range t.Config.Routes {
		names[i] = route.Name
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deadlines.Keep(names)
	maps.DeleteFunc(q.allowances, func(service string, _ *waiting.Allowance) bool { return t.Service(service) == nil })
}

// refused notes that a caller was told to come back.
func (q *roomQueues) refused(now time.Time, after time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deadlines.Refused(now, after)
}

// firstAttempts tells whether callers that are not late yet wait for a service.
func (q *roomQueues) firstAttempts(service string) bool {
	if q.count.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[service]
	return s != nil && s.queue.FirstAttempts()
}

// wait waits until a server has room, the request's time to wait is over, or ctx ends;
// false in the latter cases. opens is when a server may be sent to again that has room, zero if
// there is none.
func (q *roomQueues) wait(ctx context.Context, r *waiting.Request, want balance.Want, opens time.Time) (balance.Choice, bool) {
	w := &waiter{want: want, given: make(chan balance.Choice, 1)}
	q.add(r, w, opens)
	timer := time.NewTimer(clock.Until(r.By))
	defer timer.Stop()
	select {
	case choice := <-w.given:
		return choice, true
	case <-timer.C:
	case <-ctx.Done():
	}
	if q.remove(r, want.Service) {
		return balance.Choice{}, false
	}
	return <-w.given, true // given meanwhile
}

// offerAt looks for requests that wait once a server may be sent to again; zero is never. The lock is
// held.
func (q *roomQueues) offerAt(s *roomQueue, opens time.Time) {
	if opens.IsZero() || !s.opens.IsZero() && !opens.Before(s.opens) {
		return
	}
	s.opens = opens
	time.AfterFunc(clock.Until(opens), q.offer)
}

func (q *roomQueues) add(r *waiting.Request, w *waiter, opens time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.want.Service]
	if s == nil {
		s = &roomQueue{queue: waiting.New(), waiters: map[*waiting.Request]*waiter{}}
		q.services[w.want.Service] = s
	}
	s.queue.Add(r)
	s.waiters[r] = w
	q.count.Add(1)
	q.offerAt(s, opens)
}

// remove takes a request out, and tells whether it still waited.
func (q *roomQueues) remove(r *waiting.Request, service string) bool {
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

// offer gives room that may have become free to requests that wait, in their order.
func (q *roomQueues) offer() {
	if q.count.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	for _, s := range q.services {
		q.offerTo(s, now)
	}
}

func (q *roomQueues) offerTo(s *roomQueue, now time.Time) {
	if !now.Before(s.opens) {
		s.opens = time.Time{}
	}
	misses := 0
	for _, r := range s.queue.InOrder(now) {
		w := s.waiters[r]
		want := w.want
		want.Budget = max(want.Budget-now.Sub(r.Since), leastBudget)
		choice, room := q.balancer.Pick(now, want)
		if choice.Server == nil {
			q.offerAt(s, room.Opens)
			if misses++; misses >= maxMisses {
				return
			}
			continue
		}
		s.queue.Granted(r)
		delete(s.waiters, r)
		q.count.Add(-1)
		w.given <- choice
	}
}

// waitForRoom makes a request that has not been sent wait in the queue of its service,
// where servers fit but are full, refused a moment ago, or may be sent to again soon; false if
// room will not come in time, or has not.
func (c *call) waitForRoom(ctx context.Context, want balance.Want, room balance.Room) (balance.Choice, bool) {
	if c.sends > 0 || c.events > 0 || c.engine() == nil || room.Fit+room.Busy+room.Limited+room.BackingOff == 0 {
		return balance.Choice{}, false
	}
	r := &waiting.Request{CameBack: c.cameBack, Since: clock.Now()}
	r.By = waiting.Until(c.began, c.route.Objective, r.CameBack)
	if !comesInTime(r, want, room) {
		return balance.Choice{}, false
	}
	if c.org != nil {
		r.Organisation = c.org.Name
	}
	choice, ok := c.g.rooms.wait(ctx, r, want, room.Opens)
	c.waited = clock.Since(r.Since)
	c.g.cfg.Metrics.room.WithLabelValues(c.service, strconv.FormatBool(ok)).Observe(c.waited.Seconds())
	return choice, ok
}

// comesInTime tells whether room may come while the request waits, by what is known.
func comesInTime(r *waiting.Request, want balance.Want, room balance.Room) bool {
	left := r.By.Sub(r.Since)
	switch {
	case left <= 0:
		return false
	case !room.Opens.IsZero() && !room.Opens.After(r.By):
		return true
	case room.Fit > 0:
		return room.Soonest <= want.Budget+left
	}
	return room.Busy > 0
}
