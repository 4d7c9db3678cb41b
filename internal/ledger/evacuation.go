package ledger

import (
	"maps"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Evacuation is the last order about an availability zone: whether its backend servers get
// requests.
type Evacuation struct {
	// Order is the log entry of the order. The highest one about a zone counts.
	Order   uint64
	InForce bool
}

// order applies an order about a zone. It has no effect unless it was given on top of the zone's
// last order: a command that was delayed on its way must not undo a later one.
func (s *State) order(index uint64, e *rpc.Evacuation) bool {
	if e == nil || s.Evacuations[e.Zone].Order != e.Order {
		return false
	}
	evacuations := maps.Clone(s.Evacuations)
	if evacuations == nil {
		evacuations = map[string]Evacuation{}
	}
	evacuations[e.Zone] = Evacuation{Order: index, InForce: e.InForce}
	s.Evacuations = evacuations
	return true
}

// EvacuationsToProto returns the wire form of the evacuations that are not among the known ones.
func EvacuationsToProto(all, known map[string]Evacuation) []*rpc.Evacuation {
	var out []*rpc.Evacuation
	for zone, e := range all {
		if known[zone] != e {
			out = append(out, &rpc.Evacuation{Zone: zone, InForce: e.InForce, Order: e.Order})
		}
	}
	return out
}

// MergeEvacuations returns the known evacuations with those of an update, and the zones that it
// has changed. Of several orders about a zone the highest one counts.
func MergeEvacuations(known map[string]Evacuation, update []*rpc.Evacuation) (merged map[string]Evacuation, changed []string) {
	merged = known
	for _, e := range update {
		if e.Order <= merged[e.Zone].Order {
			continue
		}
		if changed == nil {
			merged = maps.Clone(known)
			if merged == nil {
				merged = map[string]Evacuation{}
			}
		}
		merged[e.Zone] = Evacuation{Order: e.Order, InForce: e.InForce}
		changed = append(changed, e.Zone)
	}
	return merged, changed
}
