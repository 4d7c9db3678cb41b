package admission

import (
	"time"

	"lynxgate.dev/lynxgate/internal/outcome"
)

// noBackendRetryAfter is the advice while a service has no slots at all: new
// capacity is announced within seconds.
const noBackendRetryAfter = 2 * time.Second

// admit checks a new request against the limits and the queue. It changes
// nothing but the service's probe.
func (m *Machine) admit(now time.Time, r *request) (Action, bool) {
	o, s := r.org, r.service
	if s.slots == 0 {
		return m.refusal(r, outcome.NoBackend, noBackendRetryAfter), false
	}
	if wait := o.rate.wait(1, now); wait > 0 {
		return m.refusal(r, outcome.RateLimited, wait), false
	}
	if o.limits.Concurrency > 0 && o.inFlight >= o.limits.Concurrency {
		return m.refusal(r, outcome.ConcurrencyLimited, s.took.mean/time.Duration(o.inFlight)), false
	}
	if wait := o.tokens.wait(r.reserved, now); wait > 0 {
		return m.refusal(r, outcome.TokensLimited, wait), false
	}
	if s.queued == 0 && s.running < s.slots {
		return m.admitIdle(now, r)
	}
	return m.admitQueued(now, r)
}

// admitIdle lets a request into a free slot. One that is not expected to
// finish in time is let through only as the single probe, so that an estimate
// that has become too high can come down again.
func (m *Machine) admitIdle(now time.Time, r *request) (Action, bool) {
	s := r.service
	if r.deadline.IsZero() || !now.Add(s.took.mean).After(r.deadline) {
		return Action{}, true
	}
	if s.probe != 0 || !now.Before(r.deadline) {
		return m.refusal(r, outcome.DeadlineExceeded, 0), false
	}
	s.probe = r.id
	return Action{}, true
}

// admitQueued lets a request into the queue if it, and every one of its patience, can be
// expected to finish in time.
func (m *Machine) admitQueued(now time.Time, r *request) (Action, bool) {
	s := r.service
	wait := s.wait(r.class, r.flow, r.flow.length, now)
	allowed := m.cfg.MaxWait
	if !r.deadline.IsZero() {
		left := r.deadline.Sub(now)
		if left < s.took.mean {
			return m.refusal(r, outcome.DeadlineExceeded, 0), false
		}
		spare := float64(r.flow.patience.least() - s.took.likely())
		allowed = min(allowed, time.Duration(m.cfg.WaitShare*spare))
	}
	if wait > allowed || s.queued >= m.cfg.MaxQueued {
		return m.refusal(r, outcome.Overloaded, wait), false
	}
	return Action{}, true
}

// dropLate refuses the queued requests that would not finish in time even if
// they started now.
func (m *Machine) dropLate(now time.Time, s *service) {
	for len(s.byDeadline) > 0 {
		r := s.byDeadline[0]
		if !now.Add(s.took.mean).After(r.deadline) {
			return
		}
		m.drop(now, r)
	}
}

// dropHopeless refuses the requests at the ends of flows that are no longer
// expected to start in time, because capacity went away, service became
// slower or more urgent requests came.
func (m *Machine) dropHopeless(now time.Time, s *service) {
	for i := range s.classes {
		flows := s.classes[i].backlog
		for k := len(flows) - 1; k >= 0; k-- {
			m.dropTail(now, s, i, flows[k])
		}
	}
}

func (m *Machine) dropTail(now time.Time, s *service, classIndex int, f *flow) {
	for r := f.tail; r != nil && !r.deadline.IsZero(); r = f.tail {
		wait := s.leastWait(classIndex, f, f.length-1, now)
		if !now.Add(wait + s.took.mean).After(r.deadline) {
			return
		}
		m.drop(now, r)
	}
}

// drop refuses a queued request.
func (m *Machine) drop(now time.Time, r *request) {
	s := r.service
	s.remove(r)
	m.release(now, r, 0)
	after := s.wait(r.class, r.flow, r.flow.length, now)
	m.actions = append(m.actions, m.refusal(r, outcome.Overloaded, after))
}

// refuseAll refuses the whole queue of a service that lost its last slot.
func (m *Machine) refuseAll(now time.Time, s *service) {
	for i := range s.classes {
		c := &s.classes[i]
		for len(c.backlog) > 0 {
			r := c.backlog[0].head
			s.remove(r)
			m.release(now, r, 0)
			m.actions = append(m.actions, m.refusal(r, outcome.NoBackend, noBackendRetryAfter))
		}
	}
}

// refusal makes the action that refuses a request. The advice is spread by up
// to a quarter, so that callers refused together do not come back together.
func (m *Machine) refusal(r *request, reason outcome.Reason, after time.Duration) Action {
	if reason == outcome.DeadlineExceeded {
		return Action{ID: r.id, Reason: reason}
	}
	m.spread = m.spread*6364136223846793005 + 1442695040888963407
	part := float64(m.spread>>11) / (1 << 53)
	after = min(after, m.cfg.MaxRetryAfter)
	after += time.Duration(part / 4 * float64(after))
	after = min(max(after, m.cfg.MinRetryAfter), m.cfg.MaxRetryAfter)
	return Action{ID: r.id, Reason: reason, RetryAfter: after}
}
