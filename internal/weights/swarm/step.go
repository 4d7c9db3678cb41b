package swarm

import (
	"slices"
	"time"
)

const (
	// usualWeight is the weight of a new duration in the smoothed one.
	usualWeight = 0.1
	// goodPerStrike verified chunks make up for one strike.
	goodPerStrike = 32
	// failedPause is the first pause after a failed or stalled request; it
	// doubles with each one in a row up to maxPause.
	failedPause = 100 * time.Millisecond
	maxPause    = 30 * time.Second
)

// Step takes events, in the order in which they happened, and returns what is
// to be done. All are taken in before anything is decided: whoever was kept from
// running for a while must not judge others, or ask the origin, by a view that
// is older than what it has been told. Call it with Tick at least every
// TickInterval.
func (s *State) Step(now time.Time, events ...Event) []Action {
	if s.begun.IsZero() {
		s.begin(now)
	}
	var out []Action
	decide := false
	for _, ev := range events {
		out = append(out, s.take(ev, now)...)
		if _, progress := ev.(Progress); !progress {
			decide = true // progress frees nothing, so there is nothing to schedule
		}
	}
	if !decide {
		return out
	}
	out = append(out, s.expire(now)...)
	return append(out, s.schedule(now)...)
}

// take brings the state up to date with an event.
func (s *State) take(ev Event, now time.Time) []Action {
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

// TickInterval is how often Step wants a Tick when nothing else happens.
const TickInterval = 25 * time.Millisecond

func (s *State) begin(now time.Time) {
	s.begun = now
	s.gained = now
	for i := range s.absent {
		s.absent[i] = now
	}
	s.feed.last = now
}

func (s *State) membersChanged(members []Peer, now time.Time) []Action {
	s.members = withSelf(s.self, slices.Clone(members))
	s.candidates, s.base = neighbours(s.strategy, s.self, s.members, s.version)
	s.wanted = s.base
	out := s.connect(now)
	s.feedersChanged(now)
	return out
}

// connect makes the first of the candidates the peers.
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
			s.peers = append(s.peers, &peer{Peer: w, holds: NewBits(s.n), doubted: now})
			out = append(out, Connect{Peer: w})
		}
	}
	return out
}

// substitute adds a candidate for each peer that has been doubted for long.
func (s *State) substitute(now time.Time) []Action {
	trusted := 0
	for _, p := range s.peers {
		if p.doubted.IsZero() || now.Sub(p.doubted) < doubtFactor*s.cfg.ProgressTimeout {
			trusted++
		}
	}
	if trusted >= s.base || s.wanted >= len(s.candidates) {
		return nil
	}
	s.wanted = min(len(s.candidates), s.wanted+s.base-trusted)
	return s.connect(now)
}

// doubtFactor times the progress timeout a peer may be doubted before it gets
// a substitute.
const doubtFactor = 2

// drop forgets what a peer holds and gives up its requests.
func (s *State) drop(p *peer, now time.Time) []Action {
	var out []Action
	p.holds.each(func(i int) { s.removeCopy(i, now) })
	p.holds = NewBits(s.n)
	p.up = false
	p.queue = 0
	for _, r := range slices.Clone(s.order) {
		if r.peer == p {
			s.end(r)
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
	p.doubt(now)
	return s.drop(p, now)
}

func (s *State) peerHaves(ev PeerHaves, now time.Time) []Action {
	p := s.peer(ev.VM)
	if p == nil {
		return nil
	}
	p.up = true
	if ev.Reset && p.stalls == 0 && !now.Before(p.notAsked) {
		p.doubted = time.Time{}
	}
	p.setQueue(ev.Queue)
	var news []int
	if ev.Reset {
		p.holds.each(func(i int) { s.removeCopy(i, now) })
		p.holds = NewBits(s.n)
		ev.Holds.each(func(i int) { news = s.peerGained(p, i, now, news) })
		ev.Seen.each(func(i int) { news = s.see(i, now, news) })
	}
	for _, i := range ev.Added {
		if int(i) < s.n {
			news = s.peerGained(p, int(i), now, news)
		}
	}
	for _, i := range ev.SeenAdded {
		if int(i) < s.n {
			news = s.see(int(i), now, news)
		}
	}
	if len(news) == 0 {
		return nil
	}
	return []Action{Seen{Indexes: news}}
}

func (s *State) peerGained(p *peer, i int, now time.Time, news []int) []int {
	if !p.holds.Has(i) {
		p.holds.Set(i)
		s.copies[i]++
	}
	return s.see(i, now, news)
}

// setQueue takes a peer's report; a short queue has room again.
func (p *peer) setQueue(queue int) {
	p.queue = queue
	if queue <= 1 {
		p.busy = time.Time{}
	}
}

// see notes that some member holds chunk i.
func (s *State) see(i int, now time.Time, news []int) []int {
	if s.seen.Has(i) {
		return news
	}
	s.seen.Set(i)
	s.absent[i] = now
	s.feed.saw(i, now)
	return append(news, i)
}

// end removes a request.
func (s *State) end(r *request) {
	delete(s.requests, r.id)
	s.order = slices.DeleteFunc(s.order, func(q *request) bool { return q == r })
	if r.peer != nil {
		r.peer.asked--
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
	s.end(r)
	var out []Action
	if ev.Outcome == Verified {
		out = s.gain(r, now)
	}
	if r.peer == nil {
		s.source.ended(ev, now.Sub(r.started), now)
		return out
	}
	return append(out, s.judge(r.peer, r, ev, now)...)
}

// gain notes a verified chunk and cancels other requests for it.
func (s *State) gain(r *request, now time.Time) []Action {
	var out []Action
	s.held.Set(r.index)
	s.gained = now
	s.see(r.index, now, nil)
	for _, q := range slices.Clone(s.order) {
		if q.index == r.index {
			s.end(q)
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

// judge draws conclusions about the peer from how its request ended.
func (s *State) judge(p *peer, r *request, ev Ended, now time.Time) []Action {
	switch ev.Outcome {
	case Verified:
		s.took(now.Sub(r.started))
		p.stalls = 0
		p.doubted = time.Time{}
		p.good++
		if p.good >= goodPerStrike && p.strikes > 0 {
			p.good = 0
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
		s.pause(p, failedPause, now)
	case Dropped:
	}
	return nil
}

func (s *State) took(d time.Duration) { s.usual = smoothed(s.usual, d) }

// smoothed moves a usual duration towards a new one; 0 is none yet.
func smoothed(usual, d time.Duration) time.Duration {
	if usual == 0 {
		return d
	}
	return usual + time.Duration(usualWeight*float64(d-usual))
}

func (s *State) strike(p *peer, now time.Time) []Action {
	p.strikes++
	p.good = 0
	if p.strikes < s.cfg.Strikes {
		return nil
	}
	p.strikes = 0
	p.notAsked = now.Add(s.cfg.AsideFor)
	p.doubt(now)
	return []Action{SetAside{VM: p.VM, For: s.cfg.AsideFor}}
}

// pause keeps a peer from being asked, longer with each time in a row.
func (s *State) pause(p *peer, first time.Duration, now time.Time) {
	p.notAsked = now.Add(backoff(first, p.stalls))
	p.stalls++
	p.doubt(now)
}

func (p *peer) doubt(now time.Time) {
	if p.doubted.IsZero() {
		p.doubted = now
	}
}

func backoff(first time.Duration, times int) time.Duration {
	return min(maxPause, first<<min(times, 10))
}

// patience is how long a request may bring nothing.
func (s *State) patience(r *request) time.Duration {
	if r.peer == nil {
		return s.source.patience(s.cfg.ProgressTimeout)
	}
	return max(s.cfg.ProgressTimeout, slowFactor*s.usual)
}

// expire gives up requests without progress.
func (s *State) expire(now time.Time) []Action {
	var out []Action
	for _, r := range slices.Clone(s.order) {
		patience := s.patience(r)
		if now.Sub(r.progress) < patience {
			continue
		}
		s.end(r)
		out = append(out, Cancel{ID: r.id})
		if r.peer == nil {
			s.source.failed(now)
			out = append(out, Stalled{})
			continue
		}
		s.pause(r.peer, patience, now)
		out = append(out, Stalled{VM: r.peer.VM})
	}
	return out
}
