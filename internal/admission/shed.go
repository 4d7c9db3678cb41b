package admission

import (
	"time"

	"lynxgate.dev/lynxgate/internal/outcome"
)

// noBackendRetryAfter is the Retry-After while a service has no slots: new
// capacity is announced within seconds.
const noBackendRetryAfter = 2 * time.Second

// admit checks a new request against the limits and the queue. It modifies
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
		return m.refusal(r, outcome.ConcurrencyLimited, s.serviceTime.mean/time.Duration(o.inFlight)), false
	}
	if wait := o.tokens.wait(r.reserved, now); wait > 0 {
		return m.refusal(r, outcome.TokensLimited, wait), false
	}
	if s.queued == 0 && s.running < s.slots {
		return m.admitIdle(now, r)
	}
	return m.admitQueued(now, r)
}

// admitIdle admits a request to a free slot. A request that is not expected to
// finish in time is admitted only as the service's single probe, so that an
// estimate that is too high can be corrected.
func (m *Machine) admitIdle(now time.Time, r *request) (Action, bool) {
	s := r.service
	if r.deadline.IsZero() || !now.Add(s.serviceTime.mean).After(r.deadline) {
		return Action{}, true
	}
	if s.probe != 0 || !now.Before(r.deadline) {
		return m.refusal(r, outcome.DeadlineExceeded, 0), false
	}
	s.probe = r.id
	return Action{}, true
}

// admitQueued admits a request to the queue if it, and every request of its
// deadline band, is expected to finish in time.
func (m *Machine) admitQueued(now time.Time, r *request) (Action, bool) {
	s := r.service
	wait := s.expectedWait(r.class, r.flow, r.flow.length, now)
	allowed := m.cfg.MaxWait
	if !r.deadline.IsZero() {
		left := r.deadline.Sub(now)
		if left < s.serviceTime.mean {
			return m.refusal(r, outcome.DeadlineExceeded, 0), false
		}
		spare := float64(r.flow.band.lowerBound() - s.serviceTime.likely())
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
		if !now.Add(s.serviceTime.mean).After(r.deadline) {
			return
		}
		m.drop(now, r)
	}
}

// dropTails refuses the requests at the tails of flows that are no longer
// expected to finish in time, because of lost capacity, a longer service time
// or more urgent requests.
func (m *Machine) dropTails(now time.Time, s *service) {
	for i := range s.classes {
		flows := s.classes[i].backlog
		for k := len(flows) - 1; k >= 0; k-- {
			m.dropTail(now, s, i, flows[k])
		}
	}
}

func (m *Machine) dropTail(now time.Time, s *service, classIndex int, f *flow) {
	for r := f.tail; r != nil && !r.deadline.IsZero(); r = f.tail {
		wait := s.minWait(classIndex, f, f.length-1, now)
		if !now.Add(wait + s.serviceTime.mean).After(r.deadline) {
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
	after := s.expectedWait(r.class, r.flow, r.flow.length, now)
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

// refusal returns the action that refuses a request. A jitter of up to a quarter
// is added to the Retry-After, so that callers refused at the same time do not
// retry at the same time.
func (m *Machine) refusal(r *request, reason outcome.Reason, after time.Duration) Action {
	if reason == outcome.DeadlineExceeded {
		return Action{ID: r.id, Reason: reason}
	}
	m.jitterState = m.jitterState*6364136223846793005 + 1442695040888963407
	jitter := float64(m.jitterState>>11) / (1 << 53)
	after = min(after, m.cfg.MaxRetryAfter)
	after += time.Duration(jitter / 4 * float64(after))
	after = min(max(after, m.cfg.MinRetryAfter), m.cfg.MaxRetryAfter)
	return Action{ID: r.id, Reason: reason, RetryAfter: after}
}
