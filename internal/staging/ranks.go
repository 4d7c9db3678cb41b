package staging

import (
	"cmp"
	"slices"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rendezvous"
)

// servers returns the backend servers of the service that have not left, by address.
func (s *Stager) servers() []*fleet.BackendServer {
	view := s.cfg.View()
	return activeServers(declared(view.Servers, view.Table), s.cfg.Service)
}

// declared returns the servers of the services in the configuration, so that a server of an
// unknown service does not replace another one at its address. t is nil if there is no
// configuration; all servers are returned then.
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

// activeServers returns the servers of a service, by address, that have not left and whose address
// is not used by a later incarnation of any service. It ignores SeenAt, because agents
// receive updates only on changes.
func activeServers(servers map[string][]*fleet.BackendServer, service string) []*fleet.BackendServer {
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

// loadRank returns the rank of this engine among the n of the service for the time to load.
func (s *Stager) loadRank() (rank, n int) {
	servers := s.servers()
	return s.rankAmong(servers, rankForLoad), len(servers)
}

// rankAmong returns this agent's rank among servers for a piece.
func (s *Stager) rankAmong(servers []*fleet.BackendServer, piece int) int {
	return newPieceRanks(s.cfg.EngineAddr, servers).rank(piece)
}

// pieceRanks ranks the agents of some servers for each piece by rendezvous hashing of address and
// piece: rank 0 is first to fetch the piece from the origin, the others follow in order if it
// fails. Ranks are cached because a fetch looks up all pieces repeatedly: 23 us instead of
// 455 us among 184 servers (BenchmarkFetchStart). It is not safe for concurrent use.
type pieceRanks struct {
	own     uint64
	servers []*fleet.BackendServer
	// hashes are the hashes of the servers' addresses, ownAt is the index of this agent's
	// server, and known are the ranks computed so far.
	hashes []uint64
	ownAt  int
	known  map[int]int
}

func newPieceRanks(ownAddr string, servers []*fleet.BackendServer) *pieceRanks {
	t := &pieceRanks{own: rendezvous.Hash(ownAddr), servers: servers, ownAt: -1, known: map[int]int{}}
	for i, b := range servers {
		t.hashes = append(t.hashes, rendezvous.Hash(b.Addr))
		if b.Addr == ownAddr {
			t.ownAt = i
		}
	}
	return t
}

// rank returns this agent's rank for a piece: the number of agents before it.
func (t *pieceRanks) rank(piece int) int {
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

// first returns the server with rank 0 for a piece; nil if there are no servers.
func (t *pieceRanks) first(piece int) *fleet.BackendServer {
	var first *fleet.BackendServer
	var most uint64
	for i, hash := range t.hashes {
		if weight := rendezvous.Weight(hash, uint64(piece)); first == nil || weight > most {
			first, most = t.servers[i], weight
		}
	}
	return first
}
