package balance

import (
	"cmp"
	"slices"

	"lynxgate.dev/lynxgate/internal/rendezvous"
)

// Servers of a zone are shared out among the entries of the zone. The owner of a
// server sends most of what it gets, so it knows its load without waiting for
// reports, which are some hundred ms old; entries that all chose by the same
// reports would choose the same server until the next one. What an entry's own
// servers have no room for goes to those of others. The only entry of a zone owns all of
// its servers: entries of other zones take them when they are much better only, as it
// does theirs.

// shareOut marks the servers of one service that this entry owns, and those that
// others own.
func (b *Balancer) shareOut(servers []*Server) {
	var near []*Server
	for _, s := range servers {
		s.own, s.foreign = false, false
		if s.near && s.engine != nil && !s.replaced() {
			near = append(near, s)
		}
	}
	entries := b.entriesNear()
	if b.view.EntryCount() < 2 || len(near) < len(entries) {
		return
	}
	owned := owners(entries, near)
	for _, s := range servers {
		s.own = owned[s.Addr] == b.cfg.Name
		s.foreign = !s.own
	}
}

// entriesNear are the names of the entries of this one's zone, itself among them.
func (b *Balancer) entriesNear() []string {
	var names []string
	for _, e := range b.view.Entries {
		if e.Zone == b.cfg.Zone {
			names = append(names, e.Name)
		}
	}
	if !slices.Contains(names, b.cfg.Name) {
		names = append(names, b.cfg.Name)
	}
	return names
}

// owners returns the owner of each server, by its address: the entry with the highest
// random weight among those that own less than their share, rounded up. All entries that know the
// same servers come to the same result; one that joins or leaves changes few.
func owners(entries []string, servers []*Server) map[string]string {
	most := (len(servers) + len(entries) - 1) / len(entries)
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
			if owned[name] < most && (best == "" || weight > bestWeight) {
				best, bestWeight = name, weight
			}
		}
		owned[best]++
		out[s.Addr] = best
	}
	return out
}
