package swarm

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// A member's peers are its two neighbours on each of several rings, every
	// ring ordered by another hash: all members agree on the rings, each has
	// as many peers as the others, and a join or a leave moves only two links
	// per ring.
	zoneRings   = 4
	globalRings = 2

	treeFanOut = 2
)

// hash mixes strings and a number into 64 well spread bits.
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

// neighbours returns whom self fetches from, nearest first.
func neighbours(strategy Strategy, self Peer, members []Peer, version uint64) []Peer {
	switch strategy {
	case StrategyOrigin:
		return nil
	case StrategyChain:
		return parentIn(byHash(members, version), self, 1)
	case StrategyZoneTree:
		return parentIn(byHash(sameZone(members, self.Zone), version), self, treeFanOut)
	default:
		return ringNeighbours(self, members, version)
	}
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

func ringNeighbours(self Peer, members []Peer, version uint64) []Peer {
	chosen := map[string]bool{self.VM: true}
	var list []Peer
	add := func(p Peer) {
		if !chosen[p.VM] {
			chosen[p.VM] = true
			list = append(list, p)
		}
	}
	near := sameZone(members, self.Zone)
	for ring := range uint64(zoneRings) {
		addRing(near, self, version+ring, add)
	}
	for ring := range uint64(globalRings) {
		addRing(members, self, version+zoneRings+ring, add)
	}
	return list
}

func addRing(members []Peer, self Peer, seed uint64, add func(Peer)) {
	order := byHash(members, seed)
	at := slices.IndexFunc(order, func(p Peer) bool { return p.VM == self.VM })
	if at < 0 {
		return
	}
	add(order[(at+1)%len(order)])
	add(order[(at+len(order)-1)%len(order)])
}

// feeders returns the members that fetch from the origin, first the ones that
// do so unless they fail.
func feeders(strategy Strategy, self Peer, members []Peer, version uint64) (order []Peer, count int) {
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

// Neighbours returns whom self fetches from: a bounded set, of its own zone
// first, that all members can work out alike.
func Neighbours(strategy Strategy, self Peer, members []Peer, version uint64) []Peer {
	return neighbours(strategy, self, withSelf(self, members), version)
}

// OriginRank returns self's place in the order of those that fetch from the
// origin.
func OriginRank(strategy Strategy, self Peer, members []Peer, version uint64) int {
	order, _ := feeders(strategy, self, withSelf(self, members), version)
	return slices.IndexFunc(order, func(p Peer) bool { return p.VM == self.VM })
}

func withSelf(self Peer, members []Peer) []Peer {
	if slices.ContainsFunc(members, func(p Peer) bool { return p.VM == self.VM }) {
		return members
	}
	return append(slices.Clone(members), self)
}
