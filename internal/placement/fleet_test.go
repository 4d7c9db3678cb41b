package placement

import (
	"maps"
	"slices"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// testingT is implemented by testing.T and rapid.T.
type testingT interface {
	require.TestingT
	Helper()
}

// agent simulates the agent of one VM. Each step advances the assignment by one
// phase; a load unloads the version served before.
type agent struct {
	member  inventory.Member
	wants   []inventory.Want
	staged  map[ref]bool
	failed  map[ref]bool
	bad     map[ref]bool // versions whose loads fail
	serves  ref
	loading ref
	report  []Replica
}

func (a *agent) reset() {
	a.staged, a.failed = map[ref]bool{}, map[ref]bool{}
	a.serves, a.loading = ref{}, ref{}
	a.report = nil
}

func (a *agent) wantsActive() ref {
	for _, w := range a.wants {
		if w.Phase == inventory.PhaseActivate {
			return ref{w.Model, w.Version}
		}
	}
	return ref{}
}

func (a *agent) step() {
	if a.member.State == inventory.MemberDown {
		return
	}
	wanted := map[ref]bool{}
	for _, w := range a.wants {
		wanted[ref{w.Model, w.Version}] = true
	}
	maps.DeleteFunc(a.failed, func(r ref, _ bool) bool { return !wanted[r] })
	active := a.wantsActive()
	if a.serves != active {
		a.activate(active)
	}
	a.staged = wanted
	a.makeReport()
}

func (a *agent) activate(active ref) {
	switch {
	case active == ref{}:
		a.serves, a.loading = ref{}, ref{}
	case !a.staged[active] || a.failed[active]:
	case a.loading != active:
		a.serves, a.loading = ref{}, active
	case a.bad[active]:
		a.failed[active], a.loading = true, ref{}
	default:
		a.serves, a.loading = active, ref{}
	}
}

func (a *agent) makeReport() {
	a.report = nil
	phases := map[ref]ReplicaPhase{}
	for r := range a.staged {
		phases[r] = ReplicaStaged
	}
	phases[a.loading] = ReplicaLoading
	phases[a.serves] = ReplicaLive
	for r := range a.failed {
		phases[r] = ReplicaFailed
	}
	delete(phases, ref{})
	for r, phase := range phases {
		a.report = append(a.report, Replica{r.model, r.version, phase})
	}
}

// fleet simulates an inventory, its agents and their last reports.
type fleet struct {
	inv         inventory.Inventory
	agents      map[string]*agent
	reports     map[string][]Replica
	lostReports bool
	// lag holds the VMs whose reports are delayed.
	lag map[string]bool
}

func (f *fleet) addVM(name, zone, service string) {
	f.inv.VMs = append(f.inv.VMs, inventory.VM{Name: name, Zone: zone})
	a := &agent{member: inventory.Member{VM: name, Zone: zone, Service: service, State: inventory.MemberUp}}
	a.reset()
	f.agents[name] = a
}

func (f *fleet) vm(name string) *inventory.VM {
	i := slices.IndexFunc(f.inv.VMs, func(v inventory.VM) bool { return v.Name == name })
	return &f.inv.VMs[i]
}

func (f *fleet) names() []string { return slices.Sorted(maps.Keys(f.agents)) }

func (f *fleet) input() Input {
	in := Input{Inventory: f.inv, Reports: map[string][]Replica{}, Current: map[string]inventory.Assignment{}}
	if f.reports == nil {
		f.reports = map[string][]Replica{}
	}
	for _, name := range f.names() {
		a := f.agents[name]
		in.Members = append(in.Members, a.member)
		in.Current[name] = inventory.Assignment{VM: name, Wants: a.wants}
		if !f.lag[name] {
			f.reports[name] = a.report
		}
		if !f.lostReports {
			in.Reports[name] = f.reports[name]
		}
	}
	return in
}

// plan runs Plan, checks that its result is a fixed point, and applies it.
func (f *fleet) plan(t testingT) Result {
	t.Helper()
	in := f.input()
	res := Plan(in)
	require.Equal(t, res, Plan(in), "deterministic")
	for name, wants := range res.Assignments {
		f.agents[name].wants = wants
		in.Current[name] = inventory.Assignment{VM: name, Wants: wants}
	}
	again := Plan(in)
	require.Empty(t, again.Assignments, "planning again changes nothing")
	return res
}

func (f *fleet) stepAgents() {
	for _, a := range f.agents {
		a.step()
	}
}

// settle plans and steps the agents until the assignments stop changing.
func (f *fleet) settle(t testingT) Result {
	t.Helper()
	res, _ := f.settleCounting(t)
	return res
}

// settleMoves is settle, returning the VMs whose assignments changed.
func (f *fleet) settleMoves(t testingT) map[string]bool {
	t.Helper()
	_, moved := f.settleCounting(t)
	return moved
}

func (f *fleet) settleCounting(t testingT) (Result, map[string]bool) {
	t.Helper()
	moved := map[string]bool{}
	quiet := 0
	for range 400 {
		res := f.plan(t)
		f.stepAgents()
		for name := range res.Assignments {
			moved[name] = true
			quiet = 0
		}
		quiet++
		if quiet > 5 {
			return res, moved
		}
	}
	require.Fail(t, "the assignments do not settle")
	return Result{}, nil
}

func (f *fleet) liveOn(version string) int {
	n := 0
	for _, count := range f.perZone(version) {
		n += count
	}
	return n
}

func (f *fleet) perZone(version string) map[string]int { return f.perZoneOf("chat", version) }

func (f *fleet) perZoneOf(service, version string) map[string]int {
	zones := map[string]int{}
	for _, a := range f.agents {
		up := a.member.State == inventory.MemberUp && !f.vm(a.member.VM).Drained
		if up && a.member.Service == service && a.serves.version == version {
			zones[a.member.Zone]++
		}
	}
	return zones
}

func (f *fleet) firstLive(version string) string {
	for _, name := range f.names() {
		if f.agents[name].serves.version == version {
			return name
		}
	}
	return ""
}
