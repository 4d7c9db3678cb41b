package backpressure

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/rendezvous"
)

// A limit is of all entries together, and each entry knows only what it sends itself. A few
// entries hold equal parts of it, the others none: with a part for each, as many requests as there
// are entries might come at once, whatever the limit. Which ones hold a part follows from the
// names of the entries alone, so that all that know the same entries agree.

const (
	// leastHolders is how many entries hold a part of the smallest limit; each perHolder
	// requests a second make one more. All holders may send leastBurst requests at one moment.
	leastHolders = 2
	perHolder    = 2.0
	// leastRate, in requests a second, is what a server is sent that takes less, of all entries
	// together: else nobody would hear that it takes more again.
	leastRate = 0.1
	// probeShare is the part of a limit that the entries without a part may use to hear of a
	// change, and leastProbe the least mean time between two requests of one of them.
	probeShare = 0.1
	leastProbe = 10 * time.Second
)

// Entry is one of those that send to a backend server.
type Entry struct{ Name, Zone string }

// Part is what one entry may send to a limited server.
type Part struct {
	// Rate is in requests a second; 0 for an entry that holds no part.
	Rate float64
	// Probe is the mean time between two requests of an entry that holds no part.
	Probe time.Duration
}

// WholeOf returns the part of one that holds all of a limit in requests a second.
func WholeOf(rate float64) Part { return Part{Rate: max(rate, leastRate)} }

// PartOf returns the part that the entry self holds of a limit in requests a second. Entries in
// the server's zone come first. entries must name self, and each entry once.
func PartOf(rate float64, addr, zone, self string, entries []Entry) Part {
	rate = max(rate, leastRate)
	holders := len(entries)
	if most := leastHolders + math.Floor(rate/perHolder); most < float64(holders) {
		holders = int(most)
	}
	if holders < len(entries) && rank(addr, zone, self, entries) >= holders {
		others := float64(len(entries) - holders)
		probe := time.Duration(others / (probeShare * rate) * float64(time.Second))
		return Part{Probe: max(probe, leastProbe)}
	}
	return Part{Rate: rate / float64(holders)}
}

// rank is the place of an entry in the order in which entries get parts, from 0.
func rank(addr, zone, self string, entries []Entry) int {
	server := rendezvous.Hash(addr)
	order := slices.SortedFunc(slices.Values(entries), func(a, b Entry) int {
		if nearA, nearB := a.Zone == zone, b.Zone == zone; nearA != nearB {
			if nearA {
				return -1
			}
			return 1
		}
		weightA, weightB := rendezvous.Weight(rendezvous.Hash(a.Name), server), rendezvous.Weight(rendezvous.Hash(b.Name), server)
		return cmp.Or(cmp.Compare(weightB, weightA), cmp.Compare(a.Name, b.Name))
	})
	return slices.IndexFunc(order, func(e Entry) bool { return e.Name == self })
}
