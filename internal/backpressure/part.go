package backpressure

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/rendezvous"
)

// A limit applies to all entries together, and each entry knows only the requests that it sends itself.
// A few entries hold equal parts of the limit, the others none: with a part for each, as many requests
// as there are entries could arrive at once, whatever the limit. The holders follow from the names of
// the entries alone, so that all entries with the same list agree.

const (
	// minHolders is the number of entries that hold a part of the smallest limit; each perHolder
	// requests per second add one. All holders may send minBurst requests at one moment.
	minHolders = 2
	perHolder  = 2.0
	// minRate, in requests per second of all entries together, is also sent to a server with a lower
	// limit: otherwise no entry would learn that the limit was raised.
	minRate = 0.1
	// probeShare is the share of a limit that the entries without a part may use to detect a change,
	// and minProbeInterval the least mean time between two requests of one of them.
	probeShare       = 0.1
	minProbeInterval = 10 * time.Second
)

// Entry is one of the entries that send to a backend server.
type Entry struct{ Name, Zone string }

// Part is what one entry may send to a limited server.
type Part struct {
	// Rate is in requests per second; 0 for an entry that holds no part.
	Rate float64
	// Probe is the mean time between two requests of an entry that holds no part.
	Probe time.Duration
}

// WholePart returns the part of an entry that holds the whole limit, in requests per second.
func WholePart(rate float64) Part { return Part{Rate: max(rate, minRate)} }

// RateWithin returns the rate whose parts together never send more than most requests in any
// second: all holders may send their bursts at one moment, and their rates within the second after it.
func RateWithin(most float64) float64 {
	const perRate = 1 + minBurst/perHolder // of each request per second: itself, and the bursts of further holders
	return max((most-minHolders*minBurst)/perRate, minRate)
}

// PartOf returns the part of a limit in requests per second that the entry self holds. Entries in
// the server's zone come first. entries must contain self, and each entry once.
func PartOf(rate float64, addr, zone, self string, entries []Entry) Part {
	rate = max(rate, minRate)
	holders := len(entries)
	if most := minHolders + math.Floor(rate/perHolder); most < float64(holders) {
		holders = int(most)
	}
	if holders < len(entries) && rank(addr, zone, self, entries) >= holders {
		others := float64(len(entries) - holders)
		probe := time.Duration(others / (probeShare * rate) * float64(time.Second))
		return Part{Probe: max(probe, minProbeInterval)}
	}
	return Part{Rate: rate / float64(holders)}
}

// rank is the position, from 0, of an entry in the order in which entries get parts.
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
