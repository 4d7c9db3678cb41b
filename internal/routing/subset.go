package routing

import (
	"lynxgate.dev/lynxgate/internal/rendezvous"
	"math"
	"sort"
)

// subsetMember is a backend server that an entry may watch.
type subsetMember struct {
	vm   string
	zone string
	hash uint64
}

// subset chooses the backend servers an entry watches, by rendezvous hashing
// of the entry's name with theirs. A share is reserved for the entry's own zone;
// the rest is chosen from all zones, so that a backend server in a zone without
// entries is watched too. A join or leave changes at most one member of the
// subset.
func subset(entry uint64, zone string, members []subsetMember, size int, nearShare float64) []subsetMember {
	sorted := append([]subsetMember(nil), members...)
	sort.Slice(sorted, func(i, j int) bool {
		a, b := rendezvous.Weight(entry, sorted[i].hash), rendezvous.Weight(entry, sorted[j].hash)
		if a != b {
			return a > b
		}
		return sorted[i].vm < sorted[j].vm
	})
	if len(sorted) <= size {
		return sorted
	}
	near := int(math.Round(nearShare * float64(size)))
	chosen := make([]subsetMember, 0, size)
	rest := make([]subsetMember, 0, len(sorted))
	for _, m := range sorted {
		if m.zone == zone && len(chosen) < near {
			chosen = append(chosen, m)
			continue
		}
		rest = append(rest, m)
	}
	return append(chosen, rest[:size-len(chosen)]...)
}
