package swarm

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// A member's peers are its two neighbours on each of several rings, each
	// ordered by a different hash. All members agree on the rings, all have
	// the same number of peers, and a join or a leave moves only two links per
	// ring.
	zoneRings   = 4
	globalRings = 2

	// substituteDistance is the maximum distance of substitutes on the rings.
	substituteDistance = 4

	treeFanOut = 2
)

// hash returns a well distributed 64-bit hash of a string and a seed.
func hash(seed uint64, text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return mix(h.Sum64() ^ mix(seed))
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// byHash returns the members ordered by hash.
func byHash(members []Peer, seed uint64) []Peer {
	type keyed struct {
		key  uint64
		peer Peer
	}
	order := make([]keyed, len(members))
	for i, m := range members {
		order[i] = keyed{key: hash(seed, m.VM), peer: m}
	}
	slices.SortFunc(order, func(a, b keyed) int {
		if byKey := cmp.Compare(a.key, b.key); byKey != 0 {
			return byKey
		}
		return cmp.Compare(a.peer.VM, b.peer.VM)
	})
	sorted := make([]Peer, len(order))
	for i, k := range order {
		sorted[i] = k.peer
	}
	return sorted
}

// neighbours returns the members that self fetches from: the first count of the
// list from the start, the others as substitutes for unhealthy peers.
func neighbours(strategy Strategy, self Peer, members []Peer, version uint64) (list []Peer, count int) {
	switch strategy {
	case StrategyOrigin:
		return nil, 0
	case StrategyChain:
		list = parentIn(byHash(members, version), self, 1)
	case StrategyZoneTree:
		list = parentIn(byHash(sameZone(members, self.Zone), version), self, treeFanOut)
	default:
		return ringNeighbours(self, members, version)
	}
	return list, len(list)
}

func sameZone(members []Peer, zone string) []Peer {
	var same []Peer
	for _, m := range members {
		if m.Zone == zone {
			same = append(same, m)
		}
	}
	return same
}

// parentIn returns self's parent in the heap order of a tree.
func parentIn(order []Peer, self Peer, fanOut int) []Peer {
	at := slices.IndexFunc(order, func(p Peer) bool { return p.VM == self.VM })
	if at <= 0 {
		return nil
	}
	return []Peer{order[(at-1)/fanOut]}
}

// ringNeighbours returns self's neighbours on the rings in order of distance.
// The first count of them are at distance 1. In a small swarm all members are
// neighbours.
func ringNeighbours(self Peer, members []Peer, version uint64) (list []Peer, count int) {
	chosen := map[string]bool{self.VM: true}
	add := func(p Peer) {
		if !chosen[p.VM] {
			chosen[p.VM] = true
			list = append(list, p)
		}
	}
	near := sameZone(members, self.Zone)
	var rings [][]Peer
	for ring := range uint64(zoneRings + globalRings) {
		if ring < zoneRings {
			rings = append(rings, byHash(near, version+ring))
		} else {
			rings = append(rings, byHash(members, version+ring))
		}
	}
	for distance := 1; distance <= substituteDistance; distance++ {
		for _, ring := range rings {
			addAround(ring, self, distance, add)
		}
		if distance == 1 {
			count = len(list)
		}
	}
	if len(members) <= 2*len(rings)+1 {
		for _, m := range members {
			add(m)
		}
		count = len(list)
	}
	return list, count
}

// addAround adds the members at a distance before and after self.
func addAround(order []Peer, self Peer, distance int, add func(Peer)) {
	at := slices.IndexFunc(order, func(p Peer) bool { return p.VM == self.VM })
	if at < 0 {
		return
	}
	add(order[(at+distance)%len(order)])
	add(order[((at-distance)%len(order)+len(order))%len(order)])
}

// originFetchers returns the members that may fetch from the origin. The first
// count of them are the designated fetchers, the others their substitutes.
func originFetchers(strategy Strategy, self Peer, members []Peer, version uint64) (order []Peer, count int) {
	switch strategy {
	case StrategyOrigin:
		return []Peer{self}, 1
	case StrategyChain:
		return byHash(members, version), 1
	case StrategyZoneTree:
		return byHash(sameZone(members, self.Zone), version), 1
	default:
		return byHash(members, version+zoneRings+globalRings), fetcherCount
	}
}

// Neighbours returns the members that self fetches from: a bounded set, members
// of its own zone first, which all members compute identically.
func Neighbours(strategy Strategy, self Peer, members []Peer, version uint64) []Peer {
	list, count := neighbours(strategy, self, withSelf(self, members), version)
	return list[:count]
}

// OriginRank returns self's rank in the order in which members fetch from the
// origin.
func OriginRank(strategy Strategy, self Peer, members []Peer, version uint64) int {
	order, _ := originFetchers(strategy, self, withSelf(self, members), version)
	return slices.IndexFunc(order, func(p Peer) bool { return p.VM == self.VM })
}

func withSelf(self Peer, members []Peer) []Peer {
	if slices.ContainsFunc(members, func(p Peer) bool { return p.VM == self.VM }) {
		return members
	}
	return append(slices.Clone(members), self)
}
