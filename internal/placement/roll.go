package placement

import (
	"sort"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// Defaults of a roll.
const (
	// waveDivisor gives the default share of copies that a roll may take
	// down at once: one in four, and at least one.
	waveDivisor = 4
	// minFailuresToHalt is the least number of failed VMs that halts a roll.
	minFailuresToHalt = 2
)

// waveSize returns how many replicas of a rule may be down at once.
func waveSize(copies int) int { return max(1, copies/waveDivisor) }

// minLive returns how many replicas stay live during a roll of a rule that has
// this many copies.
func minLive(rule inventory.Rule, copies int) int {
	if rule.MinLive > 0 {
		return min(rule.MinLive, rule.Copies)
	}
	return max(0, copies-waveSize(copies))
}

// haltAt returns the number of failed VMs at which a roll stops taking old
// replicas down.
func haltAt(copies int) int { return max(minFailuresToHalt, copies/waveDivisor) }

// roll sets the wants of a rule's holders and switches as many of them to the
// target version as the rule's minimum of live replicas allows.
func (p *planner) roll(pool *servicePool, r *ruleState) {
	if r.frozen {
		for _, v := range r.holders {
			p.keep(v)
		}
		return
	}
	failures := r.failures(p.byService[r.Service])
	halted := failures >= haltAt(r.Copies)
	if !halted {
		p.replaceWithSpares(pool, r)
	}
	var ready []*vmState
	pending := false
	for _, v := range r.holders {
		p.setWants(r, v, halted)
		if v.active == r.target || v.failed(r.target) {
			continue
		}
		pending = true
		if v.phase(r.target) == ReplicaStaged && v.mayBeLive() {
			ready = append(ready, v)
		}
	}
	p.reportFailures(r, failures, halted && pending)
	if halted {
		return
	}
	p.switchWave(pool, r, ready)
}

// switchWave activates the target on as many ready VMs as the disruption budget
// allows.
func (p *planner) switchWave(pool *servicePool, r *ruleState, ready []*vmState) {
	floor := minLive(r.Rule, len(r.holders))
	n := max(0, min(len(ready), pool.disruptionBudget(r, floor)))
	pool.takeDown(r, floor, n)
	sortForWave(ready)
	for _, v := range ready[:n] {
		p.wants[v.name] = []inventory.Want{
			want(r, r.target, inventory.PhaseActivate),
			want(r, v.active, inventory.PhaseStage),
		}
	}
	stuck := len(ready) > 0 && n == 0 && floor >= len(r.holders)
	if stuck && !r.replacing() {
		r.report(ReasonNoRoomToRoll, len(r.holders))
	}
}

// setWants sets the wants of a holder without taking a live replica down.
func (p *planner) setWants(r *ruleState, v *vmState, halted bool) {
	if v.active == r.target {
		p.wants[v.name] = p.wantsOnTarget(r, v)
		return
	}
	stays := v.mayBeLive() || v.failed(r.target) || halted
	if !stays {
		v.assign(r.target)
		p.wants[v.name] = []inventory.Want{want(r, r.target, inventory.PhaseActivate)}
		return
	}
	p.wants[v.name] = []inventory.Want{
		want(r, v.active, inventory.PhaseActivate),
		want(r, r.target, inventory.PhaseStage),
	}
}

// wantsOnTarget returns the wants of a VM that is assigned the target. The
// previous version stays staged until the target is live and is activated again
// if the target fails.
func (p *planner) wantsOnTarget(r *ruleState, v *vmState) []inventory.Want {
	old, hasOld := v.fallback()
	switch {
	case hasOld && v.failed(r.target):
		v.assign(old)
		return []inventory.Want{
			want(r, old, inventory.PhaseActivate),
			want(r, r.target, inventory.PhaseStage),
		}
	case hasOld && !v.live():
		return []inventory.Want{
			want(r, r.target, inventory.PhaseActivate),
			want(r, old, inventory.PhaseStage),
		}
	default:
		return []inventory.Want{want(r, r.target, inventory.PhaseActivate)}
	}
}

// replaceWithSpares replaces old replicas by spare VMs when the rule may not
// take a replica down, or would take down its last one.
func (p *planner) replaceWithSpares(pool *servicePool, r *ruleState) {
	copies := len(r.holders)
	floor := max(1, minLive(r.Rule, copies))
	if floor < copies {
		return
	}
	quota := waveSize(copies) - pool.credit(r)
	for _, v := range r.holders {
		if v.active == r.target && !v.live() {
			quota--
		}
	}
	for _, spare := range r.spares {
		if quota > 0 && spare.chosenBy == nil && r.replaceOld(spare) {
			quota--
		}
	}
	pool.findReleased(p)
}

// replaceOld replaces a holder that serves an old version by the spare VM, if
// the spread over zones allows it, and reports whether it did.
func (r *ruleState) replaceOld(spare *vmState) bool {
	counts := map[string]int{}
	for _, v := range r.holders {
		counts[v.zone]++
	}
	for i, v := range r.holders {
		if !v.mayBeLive() || v.active == r.target {
			continue
		}
		if v.zone != spare.zone && counts[spare.zone]+1 > counts[v.zone] {
			continue
		}
		v.chosenBy = nil
		spare.chosenBy = r
		spare.assign(r.target)
		r.holders[i] = spare
		return true
	}
	return false
}

// replacing reports whether spare VMs are replacing old replicas.
func (r *ruleState) replacing() bool {
	for _, v := range r.holders {
		if v.active == r.target && !v.live() {
			return true
		}
	}
	return false
}

// sortForWave orders VMs round-robin over their zones, so that a wave touches as
// many zones as possible.
func sortForWave(vms []*vmState) {
	seen := map[string]int{}
	position := make(map[*vmState]int, len(vms))
	for _, v := range vms {
		position[v] = seen[v.zone]
		seen[v.zone]++
	}
	sort.SliceStable(vms, func(i, j int) bool {
		a, b := vms[i], vms[j]
		if position[a] != position[b] {
			return position[a] < position[b]
		}
		return a.zone < b.zone
	})
}

func (p *planner) reportFailures(r *ruleState, failures int, halted bool) {
	if halted {
		r.report(ReasonRollHalted, r.usable())
		return
	}
	if failures > 0 && r.usable() < len(r.holders) {
		r.report(ReasonFailed, r.usable())
	}
}

// usable counts the holders on which the target has not failed.
func (r *ruleState) usable() int {
	n := 0
	for _, v := range r.holders {
		if !v.failed(r.target) {
			n++
		}
	}
	return n
}

// keep copies the VM's wants in force for its service into the plan.
func (p *planner) keep(v *vmState) {
	for _, w := range p.in.Current[v.name].Wants {
		if w.Service == v.service {
			p.wants[v.name] = append(p.wants[v.name], w)
		}
	}
}

func want(r *ruleState, version ref, phase inventory.Phase) inventory.Want {
	return inventory.Want{
		Model:   version.model,
		Version: version.version,
		Service: r.Service,
		Phase:   phase,
		Prefer:  r.Prefer,
	}
}
