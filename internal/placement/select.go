package placement

import "sort"

// rank orders the VMs that a rule may choose; a lower rank costs fewer moves.
type rank int

// The ranks. Those from rankFailedOnOld on are used only when no zone has a
// better one left.
const (
	rankLive          rank = iota // serves the target
	rankAssigned                  // is assigned the target, not live yet
	rankOldStaging                // serves another version and stages the target
	rankOldLive                   // serves another version of the rule's service
	rankOld                       // is assigned another version, not live
	rankStaged                    // holds the target's weights only
	rankEmpty                     // holds nothing
	rankOtherRule                 // serves the target of another rule of the service
	rankFailedOnOld               // target failed, serves another version
	rankFailedOnEmpty             // target failed, serves nothing
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
		return rankAssigned
	case v.hasActive && p.targetOfOther(r, v):
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

// targetOfOther reports whether another rule of the service could choose the VM
// for the version that it is assigned.
func (p *planner) targetOfOther(r *ruleState, v *vmState) bool {
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

// zoneCandidates holds the candidates of one zone, sorted by rank; chosen counts
// those already chosen, from the start of the list.
type zoneCandidates struct {
	zone, region string
	list         []candidate
	chosen       int
}

func (z *zoneCandidates) next() candidate { return z.list[z.chosen] }

// selectHolders chooses the VMs of a rule, as evenly over its zones as possible.
// Ties go to the VM with the lower rank, then to the region with fewer copies.
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
			z.chosen++
			regionCopies[z.region]++
			r.holders = append(r.holders, v)
		}
	}
	for _, z := range zones {
		for _, c := range z.list[z.chosen:] {
			if c.rank <= rankOtherRule && !c.vm.mayBeLive() {
				r.spares = append(r.spares, c.vm)
			}
		}
	}
	if len(r.holders) < r.Copies && !r.frozen {
		r.report(ReasonTooFewVMs, len(r.holders))
	}
}

// choose records that the rule chose the VM, and assigns the target to a VM that
// has no active version.
func (r *ruleState) choose(v *vmState) {
	v.chosenBy = r
	if !v.hasActive {
		v.assign(r.target)
	}
}

func (p *planner) candidates(r *ruleState) []*zoneCandidates {
	byZone := map[string]*zoneCandidates{}
	var zones []*zoneCandidates
	for _, v := range p.byService[r.Service] {
		if !v.serving || v.chosenBy != nil || !r.allows(v.zone) {
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

// nextZone returns the zone that gets the next copy, or nil if no zone has a
// candidate within the limit.
func nextZone(zones []*zoneCandidates, regionCopies map[string]int, limit rank) *zoneCandidates {
	var best *zoneCandidates
	for _, z := range zones {
		if z.chosen == len(z.list) || z.next().rank > limit {
			continue
		}
		if best == nil || betterZone(z, best, regionCopies) {
			best = z
		}
	}
	return best
}

func betterZone(a, b *zoneCandidates, regionCopies map[string]int) bool {
	if a.chosen != b.chosen {
		return a.chosen < b.chosen
	}
	if a.next().rank != b.next().rank {
		return a.next().rank < b.next().rank
	}
	return regionCopies[a.region] < regionCopies[b.region]
}
