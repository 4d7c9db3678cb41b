package routing

// distance orders backend servers by locality as seen from an entry.
type distance int

const (
	sameZone distance = iota
	sameRegion
	farAway
)

func (c *Candidates) distanceTo(s *ServerView) distance {
	switch {
	case s.Zone == c.Request.Zone:
		return sameZone
	case s.Region != "" && s.Region == c.region:
		return sameRegion
	default:
		return farAway
	}
}

// nearest returns the candidates of the nearest group with free capacity: the
// zone, the region, or all. A group with fewer than MinNear members is skipped,
// so that a single slow neighbour does not get all requests.
func (c *Candidates) nearest() []*ServerView {
	for limit := sameZone; limit < farAway; limit++ {
		group := make([]*ServerView, 0, len(c.Servers))
		load, slots := 0.0, 0.0
		for _, s := range c.Servers {
			if c.distanceTo(s) > limit {
				continue
			}
			group = append(group, s)
			load += s.load(c.Now)
			slots += s.slots()
		}
		if len(group) >= c.cfg.MinNear && load < c.cfg.SpillUtilisation*slots {
			return group
		}
	}
	return c.Servers
}
