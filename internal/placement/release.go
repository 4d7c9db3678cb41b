package placement

import (
	"sort"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// servicePool is what the rules of one service share: the VMs that no rule
// chose but that still hold a replica.
type servicePool struct {
	service string
	rules   []*ruleState
	// released VMs hold a replica and are chosen by no rule.
	released []*vmState
	// taken counts the live replicas that this plan takes down in rolls.
	taken int
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

// recount finds the released VMs anew.
func (pool *servicePool) recount(p *planner) {
	pool.released = pool.released[:0]
	for _, v := range p.byService[pool.service] {
		if v.owner == nil {
			pool.released = append(pool.released, v)
		}
	}
}

// credit counts the released live replicas that stand in for a rule's own:
// those in its zones that no other rule counts on.
func (pool *servicePool) credit(r *ruleState) int {
	n := 0
	for _, v := range pool.released {
		if v.live() && r.allows(v.zone) && !v.lent {
			n++
		}
	}
	return n
}

// room is how many live replicas a rule may take down: those above its floor,
// and the released ones that stand in.
func (pool *servicePool) room(r *ruleState, floor int) int {
	return r.live() - floor + pool.credit(r)
}

// take notes that a rule takes n live replicas down. What exceeds the rule's
// own surplus is lent by released ones, so that no other rule counts on them.
func (pool *servicePool) take(r *ruleState, floor, n int) {
	pool.taken += n
	borrowed := n - max(0, r.live()-floor)
	for _, v := range pool.released {
		if borrowed > 0 && v.live() && r.allows(v.zone) && !v.lent {
			v.lent = true
			borrowed--
		}
	}
}

// release takes replicas from VMs that no rule chose, each only when the
// service has a live one too many.
func (p *planner) release(pool *servicePool) {
	need, live := 0, -pool.taken
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
			p.remember(pool, v)
		case !v.serving && settled:
			p.remember(pool, v)
		case v.live() && surplus > 0:
			surplus--
			p.remember(pool, v)
		default:
			p.keepActive(v)
		}
	}
}

// remember empties a VM but for versions it failed on that are still asked
// for: they stay staged so that the failure goes on being reported and the
// VM is not chosen again.
func (p *planner) remember(pool *servicePool, v *vmState) {
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

// keepActive leaves a VM what it serves and takes the rest away.
func (p *planner) keepActive(v *vmState) {
	for _, w := range p.in.Current[v.name].Wants {
		if w.Service == v.service && w.Phase == inventory.PhaseActivate {
			p.wants[v.name] = []inventory.Want{w}
			return
		}
	}
}
