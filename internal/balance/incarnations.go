package balance

import (
	"slices"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// Of several incarnations of backend servers that announce one address, of whatever services, at
// most one exists. Their lifetimes (fleet.Lifetime) show which one; where these are inconclusive or wrong,
// the server itself answers a request for another incarnation with its own, and the one that was
// asked for is retired here for good.

// linkSameAddress finds the servers that announce the same address.
func (b *Balancer) linkSameAddress() {
	byAddr := make(map[string][]*Server, len(b.servers))
	for _, s := range b.servers {
		s.sameAddress = nil
		if !b.declared(s) {
			continue // an announcement of an undeclared service names no server
		}
		byAddr[s.Addr] = append(byAddr[s.Addr], s)
	}
	for _, servers := range byAddr {
		if len(servers) < 2 {
			continue
		}
		for _, s := range servers {
			s.sameAddress = slices.DeleteFunc(slices.Clone(servers), func(o *Server) bool { return o == s })
		}
	}
}

// declared reports whether the operators declare a server's service.
func (b *Balancer) declared(s *Server) bool {
	return b.view.Table == nil || b.view.Table.Service(s.record.Service) != nil
}

// replaced reports whether another incarnation has the server's address. One that has left had
// it, too.
func (s *Server) replaced() bool {
	for _, o := range s.sameAddress {
		if !o.retired && s.lifetime().SupersededBy(o.lifetime()) {
			return true
		}
	}
	return false
}

func (s *Server) lifetime() fleet.Lifetime {
	return fleet.Lifetime{StartedAt: s.record.StartedAt, SeenAt: s.seenAt}
}

// retire removes a server whose address another server has claimed in an answer.
func (b *Balancer) retire(s *Server) {
	s.closePools()
	if s.retired {
		return
	}
	b.cfg.Logger.Warn().Str("server", s.ID).Str("addr", s.Addr).Msg("backend server's address is used by another server")
	b.remove(s)
}

// retireIncarnation removes a server of which a later incarnation under the same id is known. Its
// requests in flight are lost, as after a crash.
func (b *Balancer) retireIncarnation(s *Server, born int64) {
	s.closePools()
	if s.ctx.Err() != nil {
		return
	}
	b.cfg.Logger.Warn().Str("server", s.ID).Str("addr", s.Addr).Int64("born", s.record.StartUnixMs).Int64("later", born).
		Int("requests", s.inFlight).Msg("backend server restarted")
	s.cancelCtx()
	b.remove(s)
}

func (b *Balancer) remove(s *Server) {
	s.retired = true
	b.removeFromService(s)
}

// removeFromService removes a server from those that may be chosen.
func (b *Balancer) removeFromService(s *Server) {
	service := s.record.Service
	b.services[service] = slices.DeleteFunc(b.services[service], func(o *Server) bool { return o == s })
	b.assignOwners(b.services[service])
}
