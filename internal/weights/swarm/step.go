package swarm

import (
	"slices"
	"time"
)

const (
	// averageWeight is the weight of a new duration in the moving average.
	averageWeight = 0.1
	// verifiedPerStrike verified chunks cancel one strike.
	verifiedPerStrike = 32
	// firstBackoff is the backoff after a failed request. It doubles with each
	// consecutive failed or stalled request, up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 30 * time.Second
)

// Step applies events, in the order in which they happened, and returns the
// actions to carry out. It applies all events before it decides anything: a
// process that did not run for a while must not take others for late, or fetch
// from the origin, on a state older than the updates it has received. Call it
// with Tick at least every TickInterval.
func (s *State) Step(now time.Time, events ...Event) []Action {
	if s.started.IsZero() {
		s.initialize(now)
	}
	var out []Action
	decide := false
	for _, ev := range events {
		out = append(out, s.apply(ev, now)...)
		if _, progress := ev.(Progress); !progress {
			decide = true // progress frees no request slot, so there is nothing to schedule
		}
	}
	if !decide {
		return out
	}
	out = append(out, s.cancelStalled(now)...)
	return append(out, s.schedule(now)...)
}

// apply updates the state with an event.
func (s *State) apply(ev Event, now time.Time) []Action {
	switch ev := ev.(type) {
	case MembersChanged:
		return s.membersChanged(ev.Members, now)
	case PeerHaves:
		return s.peerHaves(ev, now)
	case PeerQueue:
		if p := s.peer(ev.VM); p != nil {
			p.setQueue(ev.Queue)
		}
	case PeerLost:
		return s.peerLost(ev.VM, now)
	case Progress:
		if r := s.requests[ev.ID]; r != nil {
			r.progress = now
		}
	case Ended:
		return s.ended(ev, now)
	case Tick:
		return s.substitute(now)
	}
	return nil
}

// TickInterval is how often Step needs a Tick when nothing else happens.
const TickInterval = 25 * time.Millisecond

func (s *State) initialize(now time.Time) {
	s.started = now
	s.gained = now
	for i := range s.absent {
		s.absent[i] = now
	}
	s.assignment.last = now
}

func (s *State) membersChanged(members []Peer, now time.Time) []Action {
	s.members = withSelf(s.self, slices.Clone(members))
	s.candidates, s.base = neighbours(s.strategy, s.self, s.members, s.version)
	s.wanted = s.base
	out := s.connect(now)
	s.assignFetchers(now)
	return out
}

// connect makes the first s.wanted candidates the peers.
func (s *State) connect(now time.Time) []Action {
	if s.Complete() {
		return nil
	}
	wanted := s.candidates[:s.wanted]
	var out []Action
	for _, p := range slices.Clone(s.peers) {
		if !slices.Contains(wanted, p.Peer) {
			out = append(out, s.drop(p, now)...)
			out = append(out, Disconnect{VM: p.VM})
			s.peers = slices.DeleteFunc(s.peers, func(q *peer) bool { return q == p })
		}
	}
	for _, w := range wanted {
		if s.peer(w.VM) == nil {
			s.peers = append(s.peers, &peer{Peer: w, holds: NewBits(s.n), unhealthy: now})
			out = append(out, Connect{Peer: w})
		}
	}
	return out
}

// substitute adds a candidate for each peer that has been unhealthy for long.
func (s *State) substitute(now time.Time) []Action {
	healthy := 0
	for _, p := range s.peers {
		if p.unhealthy.IsZero() || now.Sub(p.unhealthy) < substituteFactor*s.cfg.ProgressTimeout {
			healthy++
		}
	}
	if healthy >= s.base || s.wanted >= len(s.candidates) {
		return nil
	}
	s.wanted = min(len(s.candidates), s.wanted+s.base-healthy)
	return s.connect(now)
}

// A peer that is unhealthy for substituteFactor times the progress timeout gets
// a substitute.
const substituteFactor = 2

// drop clears what a peer holds and cancels its requests.
func (s *State) drop(p *peer, now time.Time) []Action {
	var out []Action
	p.holds.each(func(i int) { s.removeCopy(i, now) })
	p.holds = NewBits(s.n)
	p.connected = false
	p.queue = 0
	for _, r := range slices.Clone(s.order) {
		if r.peer == p {
			s.remove(r)
			out = append(out, Cancel{ID: r.id})
		}
	}
	return out
}

func (s *State) removeCopy(i int, now time.Time) {
	s.copies[i]--
	if s.copies[i] == 0 {
		s.absent[i] = now
	}
}

func (s *State) peerLost(vm string, now time.Time) []Action {
	p := s.peer(vm)
	if p == nil {
		return nil
	}
	p.markUnhealthy(now)
	return s.drop(p, now)
}

func (s *State) peerHaves(ev PeerHaves, now time.Time) []Action {
	p := s.peer(ev.VM)
	if p == nil {
		return nil
	}
	p.connected = true
	if ev.Reset && p.failures == 0 && !now.Before(p.notBefore) {
		p.unhealthy = time.Time{}
	}
	p.setQueue(ev.Queue)
	var newlySeen []int
	if ev.Reset {
		p.holds.each(func(i int) { s.removeCopy(i, now) })
		p.holds = NewBits(s.n)
		ev.Holds.each(func(i int) { newlySeen = s.peerGained(p, i, now, newlySeen) })
		ev.Seen.each(func(i int) { newlySeen = s.markSeen(i, now, newlySeen) })
	}
	for _, i := range ev.Added {
		if int(i) < s.n {
			newlySeen = s.peerGained(p, int(i), now, newlySeen)
		}
	}
	for _, i := range ev.SeenAdded {
		if int(i) < s.n {
			newlySeen = s.markSeen(int(i), now, newlySeen)
		}
	}
	if len(newlySeen) == 0 {
		return nil
	}
	return []Action{Seen{Indexes: newlySeen}}
}

func (s *State) peerGained(p *peer, i int, now time.Time, newlySeen []int) []int {
	if !p.holds.Has(i) {
		p.holds.Set(i)
		s.copies[i]++
	}
	return s.markSeen(i, now, newlySeen)
}

// setQueue records a peer's reported upload queue. With at most one request
// queued, the peer accepts requests again.
func (p *peer) setQueue(queue int) {
	p.queue = queue
	if queue <= 1 {
		p.busy = time.Time{}
	}
}

// markSeen records that some member holds chunk i, and appends i to newlySeen if
// that was not known.
func (s *State) markSeen(i int, now time.Time, newlySeen []int) []int {
	if s.seen.Has(i) {
		return newlySeen
	}
	s.seen.Set(i)
	s.absent[i] = now
	s.assignment.record(i, now)
	return append(newlySeen, i)
}

// remove removes a request from all bookkeeping.
func (s *State) remove(r *request) {
	delete(s.requests, r.id)
	s.order = slices.DeleteFunc(s.order, func(q *request) bool { return q == r })
	if r.peer != nil {
		r.peer.inFlight--
	}
	if !slices.ContainsFunc(s.order, func(q *request) bool { return q.index == r.index }) {
		s.pending.Clear(r.index)
	}
}

func (s *State) ended(ev Ended, now time.Time) []Action {
	r := s.requests[ev.ID]
	if r == nil {
		return nil
	}
	s.remove(r)
	var out []Action
	if ev.Outcome == Verified {
		out = s.recordVerified(r, now)
	}
	if r.peer == nil {
		s.source.requestEnded(ev, now.Sub(r.started), now)
		return out
	}
	return append(out, s.updateHealth(r.peer, r, ev, now)...)
}

// recordVerified records a verified chunk and cancels other requests for it.
func (s *State) recordVerified(r *request, now time.Time) []Action {
	var out []Action
	s.held.Set(r.index)
	s.gained = now
	s.markSeen(r.index, now, nil)
	for _, q := range slices.Clone(s.order) {
		if q.index == r.index {
			s.remove(q)
			out = append(out, Cancel{ID: q.id})
		}
	}
	if !s.Complete() {
		return out
	}
	for _, p := range s.peers {
		out = append(out, Disconnect{VM: p.VM})
	}
	s.peers = nil
	return out
}

// updateHealth updates the peer's health from the outcome of its request.
func (s *State) updateHealth(p *peer, r *request, ev Ended, now time.Time) []Action {
	switch ev.Outcome {
	case Verified:
		s.recordDuration(now.Sub(r.started))
		p.failures = 0
		p.unhealthy = time.Time{}
		p.verified++
		if p.verified >= verifiedPerStrike && p.strikes > 0 {
			p.verified = 0
			p.strikes--
		}
	case Corrupt:
		return s.strike(p, now)
	case NotHeld:
		if p.holds.Has(r.index) {
			p.holds.Clear(r.index)
			s.removeCopy(r.index, now)
		}
		return s.strike(p, now)
	case Busy, Limited:
		p.busy = now.Add(ev.RetryAfter)
	case Failed:
		s.backOff(p, firstBackoff, now)
	case Dropped:
	}
	return nil
}

func (s *State) recordDuration(d time.Duration) { s.average = movingAverage(s.average, d) }

// movingAverage returns the moving average after a new duration; an average of 0
// means that there is none yet.
func movingAverage(average, d time.Duration) time.Duration {
	if average == 0 {
		return d
	}
	return average + time.Duration(averageWeight*float64(d-average))
}

func (s *State) strike(p *peer, now time.Time) []Action {
	p.strikes++
	p.verified = 0
	if p.strikes < s.cfg.Strikes {
		return nil
	}
	p.strikes = 0
	p.notBefore = now.Add(s.cfg.AsideFor)
	p.markUnhealthy(now)
	return []Action{SetAside{VM: p.VM, For: s.cfg.AsideFor}}
}

// backOff sends no requests to a peer for a time that doubles with each
// consecutive failure.
func (s *State) backOff(p *peer, first time.Duration, now time.Time) {
	p.notBefore = now.Add(backoff(first, p.failures))
	p.failures++
	p.markUnhealthy(now)
}

func (p *peer) markUnhealthy(now time.Time) {
	if p.unhealthy.IsZero() {
		p.unhealthy = now
	}
}

func backoff(first time.Duration, failures int) time.Duration {
	return min(maxBackoff, first<<min(failures, 10))
}

// progressTimeout is how long a request may receive no bytes.
func (s *State) progressTimeout(r *request) time.Duration {
	if r.peer == nil {
		return s.source.progressTimeout(s.cfg.ProgressTimeout)
	}
	return max(s.cfg.ProgressTimeout, slowFactor*s.average)
}

// cancelStalled cancels requests without progress.
func (s *State) cancelStalled(now time.Time) []Action {
	var out []Action
	for _, r := range slices.Clone(s.order) {
		timeout := s.progressTimeout(r)
		if now.Sub(r.progress) < timeout {
			continue
		}
		s.remove(r)
		out = append(out, Cancel{ID: r.id})
		if r.peer == nil {
			s.source.failed(now)
			out = append(out, Stalled{})
			continue
		}
		s.backOff(r.peer, timeout, now)
		out = append(out, Stalled{VM: r.peer.VM})
	}
	return out
}
