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
	return newTurns(s.cfg.EngineAddr, servers).of(piece)
}

// turns is the order in which the agents beside some servers are to do something with each
// piece. It remembers what it has worked out: a fetch asks for all pieces again and again,
// which took 455 us among 184 servers, and takes 23 us so (BenchmarkFetchStart). It belongs to its caller.
type turns struct {
	own     uint64
	servers []*fleet.BackendServer
	// hashes are those of the servers' addresses, ownAt is this agent's place among them.
	hashes []uint64
	ownAt  int
	known  map[int]int
}

func newTurns(ownAddr string, servers []*fleet.BackendServer) *turns {
	t := &turns{own: rendezvous.Hash(ownAddr), servers: servers, ownAt: -1, known: map[int]int{}}
	for i, b := range servers {
		t.hashes = append(t.hashes, rendezvous.Hash(b.Addr))
		if b.Addr == ownAddr {
			t.ownAt = i
		}
	}
	return t
}

// of is how many come before this agent at a piece.
func (t *turns) of(piece int) int {
	if before, ok := t.known[piece]; ok {
		return before
	}
	own := rendezvous.Weight(t.own, uint64(piece))
	before := 0
	for i, hash := range t.hashes {
		if i != t.ownAt && rendezvous.Weight(hash, uint64(piece)) > own {
			before++
		}
	}
	t.known[piece] = before
	return before
}

// first is the server that comes first at a piece; nil if there are none.
func (t *turns) first(piece int) *fleet.BackendServer {
	var first *fleet.BackendServer
	var most uint64
	for i, hash := range t.hashes {
		if weight := rendezvous.Weight(hash, uint64(piece)); first == nil || weight > most {
			first, most = t.servers[i], weight
		}
	}
	return first
}
