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
	s.retired = true
	b.cfg.Logger.Warn().Str("server", s.ID).Str("addr", s.Addr).Msg("backend server's address has another owner")
	service := s.record.Service
	b.services[service] = slices.DeleteFunc(b.services[service], func(o *Server) bool { return o == s })
	b.shareOut(b.services[service])
}
