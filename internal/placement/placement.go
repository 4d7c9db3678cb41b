// Package placement decides which VMs hold which model versions.
//
// Duty: from the declared inventory, the announced members, their replica
// reports and the assignments in force, Plan computes the next assignments
// and names the rules that cannot be met. It keeps VMs that are still valid,
// spreads copies over zones, repairs after deaths and drains, and rolls
// versions in waves that keep a minimum of replicas live.
//
// State: none. Plan is a pure, deterministic function; the memory of a roll
// or of a failed load is in the assignments and the reports themselves.
//
// Messages: Input in, Result out.
package placement

import (
	"maps"
	"slices"
	"sort"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// ReplicaPhase is how far a VM has brought one model version.
type ReplicaPhase string

// The phases an agent reports.
const (
	ReplicaFetching ReplicaPhase = "fetching"
	ReplicaStaged   ReplicaPhase = "staged"
	ReplicaLoading  ReplicaPhase = "loading"
	ReplicaLive     ReplicaPhase = "live"
	// ReplicaFailed means the agent gave up on the version. It must be
	// reported for as long as the version is among the VM's wants, until
	// the agent restarts or has succeeded.
	ReplicaFailed ReplicaPhase = "failed"
)

// Replica is one model version as reported by the agent of a VM.
type Replica struct {
	Model   string
	Version string
	Phase   ReplicaPhase
}

// Input is all that a plan depends on.
type Input struct {
	Inventory inventory.Inventory
	Members   []inventory.Member
	// Reports by VM. A VM without an entry has not reported yet (as after a
	// change of leader): its replicas may be live and are left alone. An
	// empty entry says that the VM holds nothing.
	Reports map[string][]Replica
	// Current assignments in force, by VM.
	Current map[string]inventory.Assignment
}

// Result holds what has to change.
type Result struct {
	// Assignments has the new wants of each VM whose wants change; an empty
	// list takes everything from the VM.
	Assignments map[string][]inventory.Want
	// Unmet lists rules not met as declared, by rule name.
	Unmet []Unmet
}

// Reason says why a rule is not met.
type Reason string

// The reasons for which a rule is unmet.
const (
	ReasonNoService      Reason = "the service is not declared"
	ReasonNoModel        Reason = "the service has no model"
	ReasonNoVersion      Reason = "the model version is not declared"
	ReasonTooFewVMs      Reason = "too few VMs of the service are up in the allowed zones"
	ReasonFailed         Reason = "VMs failed to fetch or load the version"
	ReasonRollHalted     Reason = "the roll is halted: too many VMs failed on the new version"
	ReasonNoRoomToRoll   Reason = "min_live leaves no replica to take down and no VM is spare"
	ReasonNegativeCopies Reason = "copies is negative"
)

// Unmet is a rule that the plan cannot meet now.
type Unmet struct {
	Rule   string
	Reason Reason
	// Wanted and Possible count copies.
	Wanted   int
	Possible int
}

// maxRounds bounds how often one call plans on its own result. A round may
// free a VM that the next can use; 1,000 generated sequences passed with
// three.
const maxRounds = 6

// Plan computes the changes that bring the assignments nearer to the rules.
// Planning again with the result applied and nothing else changed gives no
// further change.
func Plan(in Input) Result {
	next := maps.Clone(in.Current)
	if next == nil {
		next = map[string]inventory.Assignment{}
	}
	var unmet []Unmet
	for range maxRounds {
		in := in
		in.Current = next
		p := newPlanner(in)
		p.plan()
		unmet = p.unmet()
		if !p.apply(next) {
			break
		}
	}
	return Result{Assignments: changes(in.Current, next), Unmet: unmet}
}

// plan makes one round.
func (p *planner) plan() {
	for _, r := range p.rules {
		p.selectHolders(r)
	}
	for _, pool := range p.pools() {
		pool.recount(p)
		for _, r := range pool.rules {
			p.roll(pool, r)
		}
		p.release(pool)
	}
}

// apply writes the round's wants into the assignments and says whether any
// changed.
func (p *planner) apply(next map[string]inventory.Assignment) bool {
	changed := false
	for name, a := range next {
		if len(p.wants[name]) == 0 && len(a.Wants) > 0 {
			a.Wants = nil
			next[name] = a
			changed = true
		}
	}
	for name, wants := range p.wants {
		a := next[name]
		if sameWants(a.Wants, wants) {
			continue
		}
		a.Wants = wants
		next[name] = a
		changed = true
	}
	return changed
}

// changes lists the wants that differ between two sets of assignments.
func changes(before, after map[string]inventory.Assignment) map[string][]inventory.Want {
	changed := map[string][]inventory.Want{}
	for name, a := range after {
		if !sameWants(before[name].Wants, a.Wants) {
			changed[name] = a.Wants
		}
	}
	return changed
}

func (p *planner) unmet() []Unmet {
	var unmet []Unmet
	for _, r := range p.rules {
		unmet = append(unmet, r.unmet...)
	}
	sort.SliceStable(unmet, func(i, j int) bool { return unmet[i].Rule < unmet[j].Rule })
	return unmet
}

// sameWants compares two lists of wants regardless of order.
func sameWants(a, b []inventory.Want) bool {
	if len(a) != len(b) {
		return false
	}
	for _, want := range a {
		if !slices.Contains(b, want) {
			return false
		}
	}
	return true
}
