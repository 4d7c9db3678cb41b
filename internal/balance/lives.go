package balance

import (
	"slices"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// Starts of backend servers that announce one address, of whatever services: one of
// them is there at most. Which one is told by their lives (fleet.Life), and, where that
// is undecided or wrong, by the server itself: asked for another start it says so, and
// the start that was asked for is retired here for good.

// linkRivals finds the servers that announce an address of others.
func (b *Balancer) linkRivals() {
	byAddr := make(map[string][]*Server, len(b.servers))
	for _, s := range b.servers {
		s.rivals = nil
		if !b.declared(s) {
			continue // whoever wrote of it names no server
		}
		byAddr[s.Addr] = append(byAddr[s.Addr], s)
	}
	for _, servers := range byAddr {
		if len(servers) < 2 {
			continue
		}
		for _, s := range servers {
			s.rivals = slices.DeleteFunc(slices.Clone(servers), func(o *Server) bool { return o == s })
		}
	}
}

// declared tells whether the operators declare a server's service.
func (b *Balancer) declared(s *Server) bool {
	return b.view.Table == nil || b.view.Table.Service(s.record.Service) != nil
}

// replaced tells whether another start has the server's address. One that has taken
// its leave had it, too.
func (s *Server) replaced() bool {
	for _, o := range s.rivals {
		if !o.retired && s.life().EndedBefore(o.life()) {
			return true
		}
	}
	return false
}

func (s *Server) life() fleet.Life {
	return fleet.Life{StartedAt: s.record.StartedAt, SeenAt: s.seenAt}
}

// retire takes a server out whose address has another owner, by the owner's word.
func (b *Balancer) retire(s *Server) {
	s.Pool.Close()
	if s.retired {
		return
	}
	b.cfg.Logger.Warn().Str("server", s.ID).Str("addr", s.Addr).Msg("backend server's address has another owner")
	b.takeOut(s)
}

// startedAgain takes a server out of which a later start under the same id is known. What
// was sent to it is lost, as after a crash.
func (b *Balancer) startedAgain(s *Server, born int64) {
	s.Pool.Close()
	if s.ctx.Err() != nil {
		return
	}
	b.cfg.Logger.Warn().Str("server", s.ID).Str("addr", s.Addr).Int64("born", s.record.Born).Int64("later", born).
		Int("requests", s.inFlight).Msg("backend server has started again")
	s.end()
	b.takeOut(s)
}

func (b *Balancer) takeOut(s *Server) {
	s.retired = true
	b.removeFromService(s)
}

// removeFromService takes a server out of those that are chosen from.
func (b *Balancer) removeFromService(s *Server) {
	service := s.record.Service
	b.services[service] = slices.DeleteFunc(b.services[service], func(o *Server) bool { return o == s })
	b.shareOut(b.services[service])
}
