package balance

import (
	"cmp"
	"slices"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/rendezvous"
)

// The servers of a zone are divided among the entries of the zone. The owner of a server
// sends most of its requests, so it knows the server's load without waiting for reports,
// which are some hundred ms old; entries that all chose by the same reports would choose
// the same server until the next one. What exceeds the free slots of an entry's own servers
// goes to those of others. The only entry of a zone owns all of its servers: entries of other
// zones use them only when they are much better, and the other way round. While a zone is evacuated,
// each of its entries joins those of another zone that has servers, by a hash of its name.

// assignOwners marks the servers of one service that this entry owns, and those that
// others own.
func (b *Balancer) assignOwners(servers []*Server) {
	zones := b.zonesOf(servers)
	zone := b.joinedZone(b.self(), zones)
	var local []*Server
	for _, s := range servers {
		s.owned, s.otherOwner = false, false
		if s.record.Zone == zone && s.engine != nil && !s.replaced() {
			local = append(local, s)
		}
	}
	entries := b.zoneEntries(zone, zones)
	if b.view.EntryCount() < 2 || len(local) < len(entries) {
		return
	}
	owned := owners(entries, local)
	for _, s := range servers {
		s.owned = owned[s.Addr] == b.cfg.Name
		s.otherOwner = !s.owned
	}
}

// zonesOf returns the zones of the engines of a service that are not evacuated, sorted.
func (b *Balancer) zonesOf(servers []*Server) []string {
	var zones []string
	for _, s := range servers {
		if s.engine != nil && !s.replaced() && !b.evacuated(s.record.Zone) {
			zones = append(zones, s.record.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// joinedZone returns the zone whose servers an entry shares with others: its own unless that is
// evacuated.
func (b *Balancer) joinedZone(e backpressure.Entry, zones []string) string {
	if !b.evacuated(e.Zone) || len(zones) == 0 {
		return e.Zone
	}
	return slices.MaxFunc(zones, func(a, b string) int {
		return cmp.Compare(rendezvous.Weight(rendezvous.Hash(e.Name), rendezvous.Hash(a)), rendezvous.Weight(rendezvous.Hash(e.Name), rendezvous.Hash(b)))
	})
}

// zoneEntries returns the names of the entries that share the servers of this entry's zone,
// including its own.
func (b *Balancer) zoneEntries(zone string, zones []string) []string {
	var names []string
	for _, e := range b.view.Entries {
		if b.joinedZone(backpressure.Entry(e), zones) == zone {
			names = append(names, e.Name)
		}
	}
	if !slices.Contains(names, b.cfg.Name) {
		names = append(names, b.cfg.Name)
	}
	return names
}

// owners returns the owner of each server by its address: the entry with the highest random weight
// among those that own less than their share, rounded up. All entries that know the same servers
// get the same result; an entry that joins or leaves changes few owners.
func owners(entries []string, servers []*Server) map[string]string {
	maxOwned := (len(servers) + len(entries) - 1) / len(entries)
	sorted := slices.SortedFunc(slices.Values(servers), func(a, b *Server) int {
		return cmp.Or(cmp.Compare(rendezvous.Hash(a.Addr), rendezvous.Hash(b.Addr)), cmp.Compare(a.ID, b.ID))
	})
	owned := map[string]int{}
	out := make(map[string]string, len(servers))
	for _, s := range sorted {
		var best string
		var bestWeight uint64
		for _, name := range entries {
			weight := rendezvous.Weight(rendezvous.Hash(name), rendezvous.Hash(s.Addr))
			if owned[name] < maxOwned && (best == "" || weight > bestWeight) {
				best, bestWeight = name, weight
			}
		}
		owned[best]++
		out[s.Addr] = best
	}
	return out
}
