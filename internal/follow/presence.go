package follow

import (
	"cmp"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/rendezvous"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Presence is what control servers tell of backend servers that are ready: their records, renewals and agents'
// reports. It is most of what they send, and worth nothing a second later. Every entry follows every control
// server for what is committed and for servers that leave; presence it takes from the nearest ones alone, which relay that of
// the others. So presence crosses the links between regions once for each control server, and not once for each entry.

const (
	// DirectPresenceServers is the number of control servers up to which each sends its presence to all entries. With so few, relaying
	// saves less than half of the bytes, and costs the time to detect that control servers are cut off from one another.
	DirectPresenceServers = 3
	// nearPresenceServers is the number of control servers of an entry's own region that send it presence: two, so that
	// one that stands still interrupts nothing.
	nearPresenceServers = 2
	// coverDelay is after which time a control server whose presence no chosen one relays sends it directly. One that has just
	// started is found by the others within it.
	coverDelay = time.Second
)

// presenceSource is a control server that may send presence.
type presenceSource struct {
	addr, zone string
	// relays are the control servers whose presence it relays.
	relays []string
	// uncoveredSince is since when no chosen control server has relayed its presence, zero while one does.
	uncoveredSince time.Time
}

// relaysFor reports whether the presence of a control server comes with that of s.
func (s *presenceSource) relaysFor(addr string) bool {
	return addr == s.addr || slices.Contains(s.relays, addr)
}

// presencePolicy chooses the control servers that send presence to one entry.
type presencePolicy struct {
	name, zone string
	regionOf   func(zone string) string
}

// choose returns the addresses of the chosen sources: the nearest ones, and those whose presence none of these has relayed for
// coverDelay, the nearest first. It updates uncoveredSince of each source.
func (p *presencePolicy) choose(now time.Time, sources []*presenceSource) map[string]bool {
	sorted := slices.SortedFunc(slices.Values(sources), func(a, b *presenceSource) int {
		return cmp.Or(cmp.Compare(p.distance(a), p.distance(b)), cmp.Compare(p.weight(b), p.weight(a)))
	})
	var chosen []*presenceSource
	for _, s := range sorted {
		near := len(chosen) < nearPresenceServers && p.distance(s) <= sameRegion
		if near || len(chosen) == 0 || s.lacksRelay(now, chosen) {
			s.uncoveredSince = time.Time{}
			chosen = append(chosen, s)
		}
	}
	addrs := make(map[string]bool, len(chosen))
	for _, s := range chosen {
		addrs[s.addr] = true
	}
	return addrs
}

// lacksRelay reports whether none of the chosen sources has relayed the presence of s for coverDelay.
func (s *presenceSource) lacksRelay(now time.Time, chosen []*presenceSource) bool {
	if slices.ContainsFunc(chosen, func(c *presenceSource) bool { return c.relaysFor(s.addr) }) {
		s.uncoveredSince = time.Time{}
		return false
	}
	if s.uncoveredSince.IsZero() {
		s.uncoveredSince = now
	}
	return now.Sub(s.uncoveredSince) >= coverDelay
}

// The distances of a control server from an entry.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

func (p *presencePolicy) distance(s *presenceSource) int {
	region := p.regionOf(p.zone)
	switch {
	case s.zone == p.zone:
		return sameZone
	case region != "" && p.regionOf(s.zone) == region:
		return sameRegion
	}
	return otherRegion
}

func (p *presencePolicy) weight(s *presenceSource) uint64 {
	return rendezvous.Weight(rendezvous.Hash(p.name), rendezvous.Hash(s.addr))
}

// interestAtStart returns the interest in presence to be told at the start of a stream.
func (c *Client) interestAtStart() rpc.PresenceInterest {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.cfg.RegionOf == nil:
		return rpc.PresenceInterest_PRESENCE_INTEREST_UNSPECIFIED
	case len(c.known) <= DirectPresenceServers:
		return rpc.PresenceInterest_PRESENCE_INTEREST_WANTED
	}
	return rpc.PresenceInterest_PRESENCE_INTEREST_UNWANTED
}

// noteSender records what a control server tells of itself.
func (c *Client) noteSender(addr string, sender *rpc.ControlSender) {
	c.mu.Lock()
	if s := c.known[addr]; s != nil {
		if s.presence == nil {
			s.presence = &presenceSource{addr: addr}
		}
		s.presence.zone, s.presence.relays = sender.Zone, sender.Relays
		s.forwards = sender.Forwards
	}
	c.mu.Unlock()
	c.notifySourcesChanged()
}

func (c *Client) notifySourcesChanged() {
	select {
	case c.sourcesChanged <- struct{}{}:
	default:
	}
}

// updatePresence chooses the control servers that send presence and tells those for which the choice has changed. Only Run calls it:
// of two concurrent choices the older one could be told last.
func (c *Client) updatePresence() {
	if c.cfg.RegionOf == nil {
		return
	}
	for addr, change := range c.presenceChanges() {
		// The goroutine of a failed stream reconnects.
		_ = change.stream.Send(&rpc.FollowerMessage{Presence: change.interest})
		c.cfg.Logger.Info().Str("control", addr).Bool("wanted", change.interest == rpc.PresenceInterest_PRESENCE_INTEREST_WANTED).Msg("presence of servers")
	}
}

type presenceChange struct {
	stream   rpc.DRPCFleet_FollowClient
	interest rpc.PresenceInterest
}

// presenceChanges returns the changes of the choice since the last call, by address, and counts them as told.
func (c *Client) presenceChanges() map[string]presenceChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sources []*presenceSource
	for _, s := range c.known {
		if s.stream != nil && s.presence != nil {
			sources = append(sources, s.presence)
		}
	}
	policy := presencePolicy{name: c.cfg.Name, zone: c.cfg.Zone, regionOf: c.cfg.RegionOf}
	chosen := policy.choose(clock.Now(), sources)
	direct := len(c.known) <= DirectPresenceServers
	changes := map[string]presenceChange{}
	for _, p := range sources {
		interest := rpc.PresenceInterest_PRESENCE_INTEREST_UNWANTED
		if direct || chosen[p.addr] {
			interest = rpc.PresenceInterest_PRESENCE_INTEREST_WANTED
		}
		if s := c.known[p.addr]; s.interest != interest {
			s.interest = interest
			changes[p.addr] = presenceChange{stream: s.stream, interest: interest}
		}
	}
	return changes
}

// Forwarding returns the addresses of the control servers that are followed now and forward their presence to
// control servers, in the order of addresses.
func (c *Client) Forwarding() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addrs []string
	for addr, s := range c.known {
		if s.stream != nil && s.forwards {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	return addrs
}

// Zones returns the zones of the control servers that are followed now and have told them, by address.
func (c *Client) Zones() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	zones := map[string]string{}
	for addr, s := range c.known {
		if s.stream != nil && s.presence != nil {
			zones[addr] = s.presence.zone
		}
	}
	return zones
}
