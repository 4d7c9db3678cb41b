package staging

import (
	"math/rand/v2"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// refresh takes over who there is, from time to time.
func (f *fetcher) refresh(now time.Time) {
	if now.Sub(f.refreshed) < refreshInterval {
		return
	}
	f.refreshed = now
	before := f.servers
	f.servers, f.near, f.nearPeers = nil, nil, map[string]bool{}
	for _, b := range f.s.servers() {
		peer := f.s.cfg.PeerAddr(b.Addr)
		if at, ok := f.refused[peer]; ok && now.Sub(at) < refusedPause {
			continue
		}
		f.servers = append(f.servers, b)
		if b.Zone == f.s.cfg.Zone {
			f.near = append(f.near, b)
			f.nearPeers[peer] = true
		}
	}
	if !slices.EqualFunc(before, f.servers, func(a, b *fleet.BackendServer) bool { return a.Addr == b.Addr && a.Zone == b.Zone }) {
		f.allTurns, f.nearTurns = nil, nil
	}
}

// turn is how many agents are to fetch a piece from the origin before this one.
func (f *fetcher) turn(piece int) int { return f.turns().of(piece) }

func (f *fetcher) turns() *turns {
	if f.allTurns == nil {
		f.allTurns = newTurns(f.s.cfg.EngineAddr, f.servers)
	}
	return f.allTurns
}

// turnNear is the same among the agents of the own zone.
func (f *fetcher) turnNear(piece int) int {
	if f.nearTurns == nil {
		f.nearTurns = newTurns(f.s.cfg.EngineAddr, f.near)
	}
	return f.nearTurns.of(piece)
}

// noteRefused drops an agent that refused a connection until refusedPause has passed.
func (f *fetcher) noteRefused(peer string, now time.Time) {
	f.refused[peer] = now
	f.badUntil[peer] = now.Add(refusedPause)
	f.refreshed = time.Time{}
}

// listened are the peers whose holdings are followed: some of the own zone, and
// fewer of others, which stand in where nobody near holds a piece. They are drawn,
// so that all together form one connected swarm.
func (f *fetcher) listened() []string {
	var near, far []string
	for _, b := range f.servers {
		peer := f.s.cfg.PeerAddr(b.Addr)
		switch {
		case b.Addr == f.s.cfg.EngineAddr:
		case f.nearPeers[peer]:
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
	return append(near[:min(len(near), listenNear)], far[:min(len(far), listenFar)]...)
}

// large tells whether the swarm is too large for each to listen to all.
func (f *fetcher) large() bool { return len(f.servers) > listenAll }
