package placement

import (
	"sort"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// servicePool holds the rules of one service and the VMs that they share: those of the
// service that no rule chose.
type servicePool struct {
	service string
	rules   []*ruleState
	// released VMs are chosen by no rule. Some may still hold a replica, others are empty.
	released []*vmState
	// takenDown counts the live replicas that rolls of this plan take down.
	takenDown int
}

// pools groups the rules by service, in order of service name.
func (p *planner) pools() []*servicePool {
	byService := map[string]*servicePool{}
	var pools []*servicePool
	for _, r := range p.rules {
		pool := byService[r.Service]
		if pool == nil {
			pool = &servicePool{service: r.Service}
			byService[r.Service] = pool
			pools = append(pools, pool)
		}
		pool.rules = append(pool.rules, r)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].service < pools[j].service })
	return pools
}

// findReleased rebuilds the list of released VMs.
func (pool *servicePool) findReleased(p *planner) {
	pool.released = pool.released[:0]
	for _, v := range p.byService[pool.service] {
		if v.chosenBy == nil {
			pool.released = append(pool.released, v)
		}
	}
}

// credit counts the released live replicas that may replace a rule's own: those
// in its zones that are not credited to another rule.
func (pool *servicePool) credit(r *ruleState) int {
	n := 0
	for _, v := range pool.released {
		if v.live() && r.allows(v.zone) && !v.credited {
			n++
		}
	}
	return n
}

// disruptionBudget returns the number of live replicas that a rule may take
// down: those above its floor, and the released ones credited to it.
func (pool *servicePool) disruptionBudget(r *ruleState, floor int) int {
	return r.live() - floor + pool.credit(r)
}

// takeDown records that a rule takes n live replicas down. Beyond the rule's own
// surplus, released replicas are credited to it, so that no other rule counts
// on them.
func (pool *servicePool) takeDown(r *ruleState, floor, n int) {
	pool.takenDown += n
	excess := n - max(0, r.live()-floor)
	for _, v := range pool.released {
		if excess > 0 && v.live() && r.allows(v.zone) && !v.credited {
			v.credited = true
			excess--
		}
	}
}

// release removes replicas from VMs that no rule chose; a live one only while
// the service has more live replicas than its rules need.
func (p *planner) release(pool *servicePool) {
	need, live := 0, -pool.takenDown
	settled := true
	for _, r := range pool.rules {
		need += max(len(r.holders), minLive(r.Rule, r.Copies))
		for _, v := range r.holders {
			if v.live() {
				live++
				continue
			}
			if !v.failed(r.target) {
				settled = false
			}
		}
	}
	for _, v := range pool.released {
		if v.live() {
			live++
		}
	}
	surplus := live - need
	for _, v := range pool.released {
		switch {
		case !v.hasActive || !v.mayBeLive():
			p.releaseVM(pool, v)
		case !v.serving && settled:
			p.releaseVM(pool, v)
		case v.live() && surplus > 0:
			surplus--
			p.releaseVM(pool, v)
		default:
			p.keepActive(v)
		}
	}
}

// releaseVM removes all wants from a VM, except for one version that failed
// there and that a rule still targets: it stays staged, so that the agent keeps
// reporting the failure and the VM is not chosen again.
func (p *planner) releaseVM(pool *servicePool, v *vmState) {
	delete(p.wants, v.name)
	if !v.serving {
		return
	}
	for _, r := range pool.rules {
		known := v.hasActive && v.active == r.target || v.stages(r.target)
		if known && v.failed(r.target) && !r.frozen {
			p.wants[v.name] = []inventory.Want{want(r, r.target, inventory.PhaseStage)}
			return
		}
	}
}

// keepActive keeps the version that a VM serves and removes its other wants.
func (p *planner) keepActive(v *vmState) {
	for _, w := range p.in.Current[v.name].Wants {
		if w.Service == v.service && w.Phase == inventory.PhaseActivate {
			p.wants[v.name] = []inventory.Want{w}
			return
		}
	}
}
