package control

import (
	"fmt"
	"maps"
	"slices"

	"lynxgate.dev/lynxgate/internal/control/state"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/placement"
)

// planInput collects the input of a plan based on view. Members may be newer than
// view; the state machine drops such a plan as stale.
func (l *loop) planInput(view *keyspace.View) placement.Input {
	inv, err := inventory.FromRecords(state.DeclaredRecords(view))
	if err != nil {
		panic(fmt.Sprintf("control: accepted declarations at revision %d: %v", view.Revision(), err))
	}
	return placement.Input{
		Inventory: inv,
		Members:   l.members(),
		Reports:   l.leadership.registry.Reports(),
		Current:   assignments(view),
	}
}

func assignments(view *keyspace.View) map[string]inventory.Assignment {
	entries := view.Prefix(inventory.PrefixAssign)
	out := make(map[string]inventory.Assignment, len(entries))
	for _, e := range entries {
		a := decodeDerived[inventory.Assignment](e.Key, e.Value)
		out[a.VM] = a
	}
	return out
}

// firstAssignments cuts a plan to maxBatch assignments, the most in one proposal.
// Applying them makes a new revision, which schedules a plan for the rest.
func firstAssignments(all map[string][]inventory.Want) map[string][]inventory.Want {
	if len(all) <= maxBatch {
		return all
	}
	vms := slices.Sorted(maps.Keys(all))[:maxBatch]
	out := make(map[string][]inventory.Want, maxBatch)
	for _, vm := range vms {
		out[vm] = all[vm]
	}
	return out
}
