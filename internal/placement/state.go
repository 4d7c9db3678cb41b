package placement

import (
	"slices"
	"sort"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// ref identifies a model version.
type ref struct{ model, version string }

// vmState is the planner's state of one VM whose agent is up or leaving.
type vmState struct {
	name    string
	zone    string
	region  string
	service string
	// serving VMs are up, declared and not drained: they may hold replicas
	// and their live ones count.
	serving bool
	// reported is false until the VM's first report.
	reported bool
	reports  []Replica
	// active is the version that the assignment activates.
	active    ref
	hasActive bool
	// staged are the other versions of the assignment.
	staged []ref
	// credited is true when a rule counts the released replica as its own.
	credited bool
	// chosenBy is the rule that chose the VM in this plan.
	chosenBy *ruleState
}

// phase returns the reported phase of a version, empty if there is none.
func (v *vmState) phase(r ref) ReplicaPhase {
	for i := range v.reports {
		if v.reports[i].Version == r.version && v.reports[i].Model == r.model {
			return v.reports[i].Phase
		}
	}
	return ""
}

// live reports whether the VM is known to serve its active version.
func (v *vmState) live() bool {
	return v.serving && v.hasActive && v.phase(v.active) == ReplicaLive
}

// mayBeLive reports whether the active version is live or, before the VM's first
// report, may be live.
func (v *vmState) mayBeLive() bool {
	return v.hasActive && (!v.reported || v.phase(v.active) == ReplicaLive)
}

func (v *vmState) failed(r ref) bool { return v.phase(r) == ReplicaFailed }

// assign records that this plan activates another version on the VM.
func (v *vmState) assign(r ref) {
	v.active, v.hasActive = r, true
	v.staged = nil
}

// fallback returns the version that the VM served before its switch, if the
// assignment still stages it.
func (v *vmState) fallback() (ref, bool) {
	if len(v.staged) == 0 {
		return ref{}, false
	}
	return v.staged[0], true
}

func (v *vmState) stages(r ref) bool {
	for _, s := range v.staged {
		if s == r {
			return true
		}
	}
	return false
}

// ruleState is the planner's state of one rule.
type ruleState struct {
	inventory.Rule
	target ref
	// frozen rules refer to something that is not declared: replicas that run
	// are kept, no new ones are placed.
	frozen bool
	// zones are the allowed zones; nil allows any.
	zones   map[string]bool
	holders []*vmState
	// spares are unchosen VMs that serve nothing.
	spares []*vmState
	unmet  []Unmet
}

func (r *ruleState) allows(zone string) bool { return r.zones == nil || r.zones[zone] }

func (r *ruleState) report(reason Reason, possible int) {
	r.unmet = append(r.unmet, Unmet{Rule: r.Name, Reason: reason, Wanted: r.Copies, Possible: possible})
}

// live counts the rule's holders that serve their assigned version.
func (r *ruleState) live() int {
	n := 0
	for _, v := range r.holders {
		if v.live() {
			n++
		}
	}
	return n
}

// failures counts the VMs that report a failure of the target.
func (r *ruleState) failures(vms []*vmState) int {
	n := 0
	for _, v := range vms {
		if r.allows(v.zone) && v.failed(r.target) {
			n++
		}
	}
	return n
}

// planner holds the state of one planning round.
type planner struct {
	in        Input
	byService map[string][]*vmState
	rules     []*ruleState
	wants     map[string][]inventory.Want
	// byRuleService holds the rules of each service.
	byRuleService map[string][]*ruleState
}

func newPlanner(in Input) *planner {
	p := &planner{
		in:            in,
		byService:     map[string][]*vmState{},
		wants:         map[string][]inventory.Want{},
		byRuleService: map[string][]*ruleState{},
	}
	regions := map[string]string{}
	for _, z := range in.Inventory.Zones {
		regions[z.Name] = z.Region
	}
	p.loadVMs(regions)
	p.loadRules(regions)
	return p
}

func (p *planner) loadVMs(regions map[string]string) {
	declared := make(map[string]inventory.VM, len(p.in.Inventory.VMs))
	for _, vm := range p.in.Inventory.VMs {
		declared[vm.Name] = vm
	}
	for _, m := range p.in.Members {
		if m.State == inventory.MemberDown {
			p.keepDown(m.VM)
			continue
		}
		vm, known := declared[m.VM]
		v := &vmState{
			name:    m.VM,
			zone:    m.Zone,
			service: m.Service,
			serving: known && !vm.Drained && m.State == inventory.MemberUp,
		}
		if v.zone == "" {
			v.zone = vm.Zone
		}
		v.region = regions[v.zone]
		p.loadReplicas(v)
		p.byService[v.service] = append(p.byService[v.service], v)
	}
	for _, vms := range p.byService {
		sort.Slice(vms, func(i, j int) bool { return vms[i].name < vms[j].name })
	}
}

// keepDown keeps the assignment of a VM that is down. The VM counts for no rule,
// and its copies are placed elsewhere. If the VM was only cut off by the network,
// its replicas are still loaded when it is up again, and the plan can choose them
// instead of having them unloaded.
func (p *planner) keepDown(vm string) {
	if wants := p.in.Current[vm].Wants; len(wants) > 0 {
		p.wants[vm] = wants
	}
}

func (p *planner) loadReplicas(v *vmState) {
	reports, reported := p.in.Reports[v.name]
	v.reported = reported
	v.reports = reports
	for _, w := range p.in.Current[v.name].Wants {
		if w.Service != v.service {
			continue
		}
		r := ref{w.Model, w.Version}
		if w.Phase == inventory.PhaseActivate && !v.hasActive {
			v.active, v.hasActive = r, true
			continue
		}
		v.staged = append(v.staged, r)
	}
}

func (p *planner) loadRules(regions map[string]string) {
	services := map[string]inventory.Service{}
	for _, s := range p.in.Inventory.Services {
		services[s.Name] = s
	}
	versions := map[ref]bool{}
	for _, m := range p.in.Inventory.Models {
		versions[ref{m.Model, m.Version}] = true
	}
	for _, rule := range p.in.Inventory.Rules {
		r := &ruleState{Rule: rule, zones: allowedZones(rule, regions)}
		service, known := services[rule.Service]
		r.target = ref{service.Model, rule.Version}
		switch {
		case rule.Copies < 0:
			r.Copies = 0
			r.report(ReasonNegativeCopies, 0)
		case !known:
			r.freeze(ReasonNoService)
		case service.Model == "":
			r.freeze(ReasonNoModel)
		case !versions[r.target]:
			r.freeze(ReasonNoVersion)
		}
		p.rules = append(p.rules, r)
		p.byRuleService[r.Service] = append(p.byRuleService[r.Service], r)
	}
	p.sortRules()
}

func (r *ruleState) freeze(reason Reason) {
	r.frozen = true
	r.report(reason, 0)
}

// sortRules sorts rules with fewer allowed zones first, so that an unrestricted
// rule does not take the VMs that a restricted one needs.
func (p *planner) sortRules() {
	sort.SliceStable(p.rules, func(i, j int) bool {
		a, b := p.rules[i], p.rules[j]
		if (a.zones == nil) != (b.zones == nil) {
			return b.zones == nil
		}
		if len(a.zones) != len(b.zones) {
			return len(a.zones) < len(b.zones)
		}
		return a.Name < b.Name
	})
}

// allowedZones returns the zones that a rule allows, nil for an unrestricted
// rule.
func allowedZones(rule inventory.Rule, regions map[string]string) map[string]bool {
	if len(rule.Zones) == 0 && len(rule.Regions) == 0 {
		return nil
	}
	allowed := map[string]bool{}
	for zone, region := range regions {
		inZones := len(rule.Zones) == 0 || slices.Contains(rule.Zones, zone)
		inRegions := len(rule.Regions) == 0 || slices.Contains(rule.Regions, region)
		if inZones && inRegions {
			allowed[zone] = true
		}
	}
	return allowed
}
