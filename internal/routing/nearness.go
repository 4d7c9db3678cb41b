package routing

// distance orders places as seen from an entry.
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

// near narrows the candidates to the nearest group that has room: the zone,
// the region, or all. A small group is widened, so that one slow neighbour
// does not get everything.
func (c *Candidates) near() []*ServerView {
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
		if len(group) >= c.cfg.MinNear && load < c.cfg.SpillAt*slots {
			return group
		}
	}
	return c.Servers
}
