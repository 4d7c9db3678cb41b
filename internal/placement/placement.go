// Package placement decides which VMs hold which model versions.
//
// From the declared inventory, the announced members, their replica reports
// and the assignments in force, Plan computes the next assignments and lists
// the rules that cannot be met. It keeps VMs that still satisfy a rule, spreads
// copies over zones, replaces replicas on VMs that are down or drained, and
// rolls out versions in waves that keep a minimum of replicas live.
//
// Plan is a pure, deterministic function. The package keeps no state: the
// progress of a roll and failed loads are read from the assignments and the
// reports.
package placement

import (
	"maps"
	"slices"
	"sort"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// ReplicaPhase is the progress of one model version on a VM.
type ReplicaPhase string

// The phases an agent reports.
const (
	ReplicaFetching ReplicaPhase = "fetching"
	ReplicaStaged   ReplicaPhase = "staged"
	ReplicaLoading  ReplicaPhase = "loading"
	ReplicaLive     ReplicaPhase = "live"
	// ReplicaFailed means that the agent stopped trying to fetch or load the
	// version. The agent reports it while the version is among the VM's wants,
	// until it restarts or a load succeeds.
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
	// Reports by VM. A VM without an entry has not reported yet (for example
	// after a change of leader); its replicas may be live and are kept. An
	// empty entry means that the VM holds nothing.
	Reports map[string][]Replica
	// Current assignments in force, by VM.
	Current map[string]inventory.Assignment
}

// Result is the outcome of one Plan call.
type Result struct {
	// Assignments holds the new wants of each VM whose wants change; an empty
	// list removes all model versions from the VM.
	Assignments map[string][]inventory.Want
	// Unmet lists rules not met as declared, by rule name.
	Unmet []Unmet
}

// Reason is the reason why a rule is not met.
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

// maxRounds bounds the planning rounds of one Plan call. A round may free a VM
// that the next round uses; 1,000 generated event sequences needed at most
// three rounds.
const maxRounds = 6

// Plan computes the changes that bring the assignments closer to the rules. It
// is idempotent: with the result applied and all else equal, it returns no
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

// plan runs one planning round.
func (p *planner) plan() {
	for _, r := range p.rules {
		p.selectHolders(r)
	}
	for _, pool := range p.pools() {
		pool.findReleased(p)
		for _, r := range pool.rules {
			p.roll(pool, r)
		}
		p.release(pool)
	}
}

// apply writes the round's wants into the assignments and reports whether any
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
