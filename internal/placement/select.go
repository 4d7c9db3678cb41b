package placement

import "sort"

// rank orders the VMs a rule may choose; the lower the fewer moves it costs.
type rank int

// The ranks. Those from rankFailedOnOld on are used only when nothing better is
// left, in any zone.
const (
	rankLive          rank = iota // serves the target
	rankComing                    // is assigned the target, not live yet
	rankOldStaging                // serves another version and stages the target
	rankOldLive                   // serves another version of the rule's service
	rankOld                       // is assigned another version, not live
	rankStaged                    // holds the target's weights only
	rankEmpty                     // holds nothing
	rankOtherRule                 // serves what another rule of the service asks for
	rankFailedOnOld               // failed on the target, serves another version
	rankFailedOnEmpty             // failed on the target, serves nothing
)

func (p *planner) rankOf(r *ruleState, v *vmState) rank {
	if v.failed(r.target) {
		if v.hasActive && v.active != r.target {
			return rankFailedOnOld
		}
		return rankFailedOnEmpty
	}
	switch {
	case v.hasActive && v.active == r.target && v.live():
		return rankLive
	case v.hasActive && v.active == r.target:
		return rankComing
	case v.hasActive && p.askedByOther(r, v):
		if v.mayBeLive() {
			return rankOtherRule
		}
		return rankEmpty
	case v.mayBeLive() && v.stages(r.target):
		return rankOldStaging
	case v.mayBeLive():
		return rankOldLive
	case v.hasActive:
		return rankOld
	case v.phase(r.target) == ReplicaStaged:
		return rankStaged
	default:
		return rankEmpty
	}
}

// askedByOther says that another rule of the service could choose the VM for
// the version it is assigned.
func (p *planner) askedByOther(r *ruleState, v *vmState) bool {
	for _, other := range p.byRuleService[r.Service] {
		if other != r && other.target == v.active && other.allows(v.zone) {
			return true
		}
	}
	return false
}

// candidate is a VM that a rule may choose.
type candidate struct {
	vm   *vmState
	rank rank
}

// zoneCandidates are one zone's candidates, best first.
type zoneCandidates struct {
	zone, region string
	list         []candidate
	taken        int
}

func (z *zoneCandidates) next() candidate { return z.list[z.taken] }

// selectHolders chooses the VMs of a rule, as evenly over its zones as the
// VMs allow; on a tie the VM with the better rank wins, then the region with
// fewer copies.
func (p *planner) selectHolders(r *ruleState) {
	zones := p.candidates(r)
	regionCopies := map[string]int{}
	for _, limit := range []rank{rankOtherRule, rankFailedOnEmpty} {
		for len(r.holders) < r.Copies {
			z := nextZone(zones, regionCopies, limit)
			if z == nil {
				break
			}
			v := z.next().vm
			r.choose(v)
			z.taken++
			regionCopies[z.region]++
			r.holders = append(r.holders, v)
		}
	}
	for _, z := range zones {
		for _, c := range z.list[z.taken:] {
			if c.rank <= rankOtherRule && !c.vm.mayBeLive() {
				r.spares = append(r.spares, c.vm)
			}
		}
	}
	if len(r.holders) < r.Copies && !r.frozen {
		r.report(ReasonTooFewVMs, len(r.holders))
	}
}

// choose makes the rule the VM's owner; one that serves nothing is assigned
// the target.
func (r *ruleState) choose(v *vmState) {
	v.owner = r
	if !v.hasActive {
		v.assign(r.target)
	}
}

func (p *planner) candidates(r *ruleState) []*zoneCandidates {
	byZone := map[string]*zoneCandidates{}
	var zones []*zoneCandidates
	for _, v := range p.byService[r.Service] {
		if !v.serving || v.owner != nil || !r.allows(v.zone) {
			continue
		}
		if r.frozen && !v.hasActive {
			continue
		}
		z := byZone[v.zone]
		if z == nil {
			z = &zoneCandidates{zone: v.zone, region: v.region}
			byZone[v.zone] = z
			zones = append(zones, z)
		}
		z.list = append(z.list, candidate{v, p.rankOf(r, v)})
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i].zone < zones[j].zone })
	for _, z := range zones {
		sort.SliceStable(z.list, func(i, j int) bool { return z.list[i].rank < z.list[j].rank })
	}
	return zones
}

// nextZone returns the zone that takes the next copy, or nil when no zone
// has a candidate within the limit.
func nextZone(zones []*zoneCandidates, regionCopies map[string]int, limit rank) *zoneCandidates {
	var best *zoneCandidates
	for _, z := range zones {
		if z.taken == len(z.list) || z.next().rank > limit {
			continue
		}
		if best == nil || betterZone(z, best, regionCopies) {
			best = z
		}
	}
	return best
}

func betterZone(a, b *zoneCandidates, regionCopies map[string]int) bool {
	if a.taken != b.taken {
		return a.taken < b.taken
	}
	if a.next().rank != b.next().rank {
		return a.next().rank < b.next().rank
	}
	return regionCopies[a.region] < regionCopies[b.region]
}
