package swarm

import "time"

// schedule returns new requests to the origin and to peers, up to the limits on
// concurrent requests.
func (s *State) schedule(now time.Time) []Action {
	if s.Complete() {
		return nil
	}
	out := s.scheduleOrigin(now)
	for s.peerRequests() < s.cfg.Window {
		p, index := s.choose(now)
		if p == nil {
			break
		}
		out = append(out, s.requestFrom(p, index, now))
	}
	return append(out, s.scheduleEndgame(now)...)
}

func (s *State) peerRequests() int {
	count := 0
	for _, r := range s.order {
		if r.peer != nil {
			count++
		}
	}
	return count
}

func (s *State) requestFrom(p *peer, index int, now time.Time) Action {
	r := s.startRequest(p, index, now)
	p.inFlight++
	return Request{ID: r.id, VM: p.VM, Index: index}
}

func (s *State) startRequest(p *peer, index int, now time.Time) *request {
	s.nextID++
	r := &request{id: s.nextID, index: index, peer: p, started: now, progress: now}
	s.requests[r.id] = r
	s.order = append(s.order, r)
	s.pending.Set(index)
	return r
}

func (s *State) available(p *peer, now time.Time) bool {
	return p.connected && p.inFlight < s.cfg.PerPeer && !now.Before(p.notBefore) && !now.Before(p.busy)
}

// choose picks the peer with the shortest upload queue among those that hold
// a needed chunk, so that no uploader idles while another has a queue. Of that
// peer's chunks it picks the rarest. Ties are broken at random.
func (s *State) choose(now time.Time) (*peer, int) {
	var best *peer
	ties := 0
	for _, p := range s.peers {
		if !s.available(p, now) || !s.hasNeeded(p) {
			continue
		}
		switch {
		case best == nil || p.load() < best.load():
			best, ties = p, 1
		case p.load() == best.load():
			ties++
			if s.rng.IntN(ties) == 0 {
				best = p
			}
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, s.rarest(best)
}

func (p *peer) load() int { return p.queue + p.inFlight }

// hasNeeded reports whether p holds a chunk that is neither held nor requested.
func (s *State) hasNeeded(p *peer) bool {
	for w, word := range p.holds {
		if word&^(s.held[w]|s.pending[w]) != 0 {
			return true
		}
	}
	return false
}

func (s *State) rarest(p *peer) int {
	best, ties := -1, 0
	p.holds.each(func(i int) {
		if s.held.Has(i) || s.pending.Has(i) {
			return
		}
		switch {
		case best < 0 || s.copies[i] < s.copies[best]:
			best, ties = i, 1
		case s.copies[i] == s.copies[best]:
			ties++
			if s.rng.IntN(ties) == 0 {
				best = i
			}
		}
	})
	return best
}

// scheduleEndgame hedges slow requests: once every missing chunk has been
// requested, it requests a chunk that takes longer than usual from a second peer.
func (s *State) scheduleEndgame(now time.Time) []Action {
	missing := s.n - s.held.Count()
	if s.pending.Count() < missing {
		return nil
	}
	var out []Action
	for _, r := range s.order {
		if s.peerRequests() >= s.cfg.Window {
			break
		}
		if now.Sub(r.started) < endgameFactor*s.average || s.requestsFor(r.index) > 1 {
			continue
		}
		if p := s.alternative(r, now); p != nil {
			out = append(out, s.requestFrom(p, r.index, now))
		}
	}
	return out
}

// A request is slow if it takes longer than endgameFactor times the average.
const endgameFactor = 2

func (s *State) requestsFor(index int) int {
	count := 0
	for _, r := range s.order {
		if r.index == index {
			count++
		}
	}
	return count
}

// alternative returns the least loaded other peer that holds r's chunk, or nil.
func (s *State) alternative(r *request, now time.Time) *peer {
	var best *peer
	for _, p := range s.peers {
		if p == r.peer || !s.available(p, now) || !p.holds.Has(r.index) {
			continue
		}
		if best == nil || p.load() < best.load() {
			best = p
		}
	}
	return best
}
