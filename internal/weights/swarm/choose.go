package swarm

import "time"

// schedule fills the free places for requests to peers and to the origin.
func (s *State) schedule(now time.Time) []Action {
	if s.Complete() {
		return nil
	}
	out := s.scheduleOrigin(now)
	for s.askedOfPeers() < s.cfg.Window {
		p, index := s.choose(now)
		if p == nil {
			break
		}
		out = append(out, s.ask(p, index, now))
	}
	return append(out, s.scheduleEndgame(now)...)
}

func (s *State) askedOfPeers() int {
	count := 0
	for _, r := range s.order {
		if r.peer != nil {
			count++
		}
	}
	return count
}

func (s *State) ask(p *peer, index int, now time.Time) Action {
	r := s.start(p, index, now)
	p.asked++
	return Request{ID: r.id, VM: p.VM, Index: index}
}

func (s *State) start(p *peer, index int, now time.Time) *request {
	s.nextID++
	r := &request{id: s.nextID, index: index, peer: p, started: now, progress: now}
	s.requests[r.id] = r
	s.order = append(s.order, r)
	s.pending.Set(index)
	return r
}

func (s *State) askable(p *peer, now time.Time) bool {
	return p.up && p.asked < s.cfg.PerPeer && !now.Before(p.notAsked) && !now.Before(p.busy)
}

// choose picks the peer with the shortest upload queue among those that hold
// a chunk still to be asked for, so that no uploader idles while another has
// a queue; of that peer's chunks it picks the rarest. Ties are broken by lot.
func (s *State) choose(now time.Time) (*peer, int) {
	var best *peer
	ties := 0
	for _, p := range s.peers {
		if !s.askable(p, now) || !s.useful(p) {
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

func (p *peer) load() int { return p.queue + p.asked }

// useful says whether p holds a chunk that is neither held nor asked for.
func (s *State) useful(p *peer) bool {
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

// scheduleEndgame asks a second peer for a chunk when every missing chunk has
// been asked for and one takes longer than usual.
func (s *State) scheduleEndgame(now time.Time) []Action {
	missing := s.n - s.held.Count()
	if s.pending.Count() < missing {
		return nil
	}
	var out []Action
	for _, r := range s.order {
		if s.askedOfPeers() >= s.cfg.Window {
			break
		}
		if now.Sub(r.started) < endgameFactor*s.usual || s.asks(r.index) > 1 {
			continue
		}
		if p := s.spare(r, now); p != nil {
			out = append(out, s.ask(p, r.index, now))
		}
	}
	return out
}

// endgameFactor times the usual duration makes a request a slow one.
const endgameFactor = 2

func (s *State) asks(index int) int {
	count := 0
	for _, r := range s.order {
		if r.index == index {
			count++
		}
	}
	return count
}

// spare returns the least loaded other peer that holds r's chunk.
func (s *State) spare(r *request, now time.Time) *peer {
	var best *peer
	for _, p := range s.peers {
		if p == r.peer || !s.askable(p, now) || !p.holds.Has(r.index) {
			continue
		}
		if best == nil || p.load() < best.load() {
			best = p
		}
	}
	return best
}
