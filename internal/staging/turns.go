package staging

import (
	"cmp"
	"slices"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rendezvous"
)

// servers are the backend servers of the service that have not left, in order.
func (s *Stager) servers() []*fleet.BackendServer {
	view := s.cfg.View()
	return present(declared(view.Servers, view.Table), s.cfg.Service)
}

// declared leaves out servers of services that the operators don't declare: whoever wrote
// of them takes nobody's address. t is nil while nothing is declared.
func declared(servers map[string][]*fleet.BackendServer, t *fleet.Table) map[string][]*fleet.BackendServer {
	if t == nil {
		return servers
	}
	out := make(map[string][]*fleet.BackendServer, len(servers))
	for service, records := range servers {
		if t.Service(service) != nil {
			out[service] = records
		}
	}
	return out
}

// present are the servers of a service that have not left and whose address no later
// start has, of whatever service, in order. Agents hear of servers at changes only, so
// that when they were last heard says nothing here.
func present(servers map[string][]*fleet.BackendServer, service string) []*fleet.BackendServer {
	latest := map[string]*fleet.BackendServer{}
	for _, records := range servers {
		for _, b := range records {
			if known := latest[b.Addr]; known == nil || known.StartedAt.Before(b.StartedAt) {
				latest[b.Addr] = b
			}
		}
	}
	out := make([]*fleet.BackendServer, 0, len(latest))
	for _, b := range latest {
		if b.Service == service && b.State != fleet.StateGone {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b *fleet.BackendServer) int { return cmp.Compare(a.Addr, b.Addr) })
	return out
}

// rank is the place of this engine among those of the service.
func (s *Stager) rank() (rank, n int) {
	servers := s.servers()
	return s.turn(servers, loadTurn), len(servers)
}

// turn is how many agents are to fetch a piece from the origin before this one:
// by the highest random weight of address and piece.
func (s *Stager) turn(servers []*fleet.BackendServer, piece int) int {
	own := weight(s.cfg.EngineAddr, piece)
	before := 0
	for _, b := range servers {
		if b.Addr != s.cfg.EngineAddr && weight(b.Addr, piece) > own {
			before++
		}
	}
	return before
}

// firstInTurn is the place among servers of the one whose turn it is to fetch a piece;
// -1 if there are none.
func firstInTurn(servers []*fleet.BackendServer, piece int) int {
	first := -1
	for i, b := range servers {
		if first < 0 || weight(b.Addr, piece) > weight(servers[first].Addr, piece) {
			first = i
		}
	}
	return first
}

func weight(addr string, piece int) uint64 {
	return rendezvous.Weight(rendezvous.Hash(addr), uint64(piece))
}
