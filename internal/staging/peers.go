package staging

import (
	"math/rand/v2"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// refresh updates the servers unless that was done within refreshInterval.
func (f *fetcher) refresh(now time.Time) {
	if now.Sub(f.refreshed) < refreshInterval {
		return
	}
	f.refreshed = now
	before := f.servers
	f.servers, f.zoneServers, f.zonePeers = nil, nil, map[string]bool{}
	for _, b := range f.s.servers() {
		peer := f.s.cfg.PeerAddr(b.Addr)
		if at, ok := f.refused[peer]; ok && now.Sub(at) < refusedBackoff {
			continue
		}
		f.servers = append(f.servers, b)
		if b.Zone == f.s.cfg.Zone {
			f.zoneServers = append(f.zoneServers, b)
			f.zonePeers[peer] = true
		}
	}
	if !slices.EqualFunc(before, f.servers, func(a, b *fleet.BackendServer) bool { return a.Addr == b.Addr && a.Zone == b.Zone }) {
		f.ranking, f.zoneRanking = nil, nil
	}
}

// rank returns this agent's rank among all agents for a piece.
func (f *fetcher) rank(piece int) int { return f.fleetRanks().rank(piece) }

func (f *fetcher) fleetRanks() *pieceRanks {
	if f.ranking == nil {
		f.ranking = newPieceRanks(f.s.cfg.EngineAddr, f.servers)
	}
	return f.ranking
}

// zoneRank returns this agent's rank among the agents of its zone.
func (f *fetcher) zoneRank(piece int) int {
	if f.zoneRanking == nil {
		f.zoneRanking = newPieceRanks(f.s.cfg.EngineAddr, f.zoneServers)
	}
	return f.zoneRanking.rank(piece)
}

// excludePeer excludes an agent that refused a connection for refusedBackoff.
func (f *fetcher) excludePeer(peer string, now time.Time) {
	f.refused[peer] = now
	f.backoffUntil[peer] = now.Add(refusedBackoff)
	f.refreshed = time.Time{}
}

// watchedPeers returns the peers to watch: some of this agent's zone, and fewer of other
// zones for pieces that no peer of the zone has. They are chosen at random, so that
// together the agents form one connected swarm.
func (f *fetcher) watchedPeers() []string {
	var near, far []string
	for _, b := range f.servers {
		peer := f.s.cfg.PeerAddr(b.Addr)
		switch {
		case b.Addr == f.s.cfg.EngineAddr:
		case f.zonePeers[peer]:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	if !f.large() {
		return append(near, far...)
	}
	return append(near[:min(len(near), watchSameZone)], far[:min(len(far), watchOtherZones)]...)
}

// large reports whether the swarm is too large for each agent to watch all others.
func (f *fetcher) large() bool { return len(f.servers) > watchAllMax }
