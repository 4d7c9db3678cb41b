package ledger

import (
	"maps"
	"time"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Evacuation is the last order about an availability zone: whether its backend servers get
// requests.
type Evacuation struct {
	// Order is the log entry of the order. The highest one about a zone counts.
	Order   uint64
	InForce bool
	// AppliedAt is when it was applied here, or at the earliest of the control servers from which
	// it is known.
	AppliedAt time.Time
}

// order applies an order about a zone. It has no effect unless it was given on top of the zone's
// last order: a command that was delayed on its way must not undo a later one.
func (s *State) order(index uint64, e *rpc.Evacuation, now time.Time) bool {
	if e == nil || s.Evacuations[e.Zone].Order != e.Order {
		return false
	}
	evacuations := maps.Clone(s.Evacuations)
	if evacuations == nil {
		evacuations = map[string]Evacuation{}
	}
	evacuations[e.Zone] = Evacuation{Order: index, InForce: e.InForce, AppliedAt: now}
	s.Evacuations = evacuations
	return true
}

// EvacuationsToProto returns the wire form of the evacuations that are not among the known ones;
// their ages are as of now.
func EvacuationsToProto(all, known map[string]Evacuation, now time.Time) []*rpc.Evacuation {
	var out []*rpc.Evacuation
	for zone, e := range all {
		if known[zone].Order != e.Order {
			out = append(out, &rpc.Evacuation{Zone: zone, InForce: e.InForce, Order: e.Order, AgeMs: max(now.Sub(e.AppliedAt), 0).Milliseconds()})
		}
	}
	return out
}

// MergeEvacuations returns the known evacuations with those of an update, and the zones that it
// has changed. Of several orders about a zone the highest one counts, and of several times of an order
// the earliest. Unlike namings of weights, orders have no unknown time.
func MergeEvacuations(known map[string]Evacuation, update []*rpc.Evacuation, now time.Time) (merged map[string]Evacuation, changed []string) {
	merged = known
	for _, e := range update {
		at := now.Add(-time.Duration(max(e.AgeMs, 0)) * time.Millisecond)
		last := merged[e.Zone]
		if e.Order < last.Order || e.Order == last.Order && last.AppliedAt.Sub(at) < minCorrection {
			continue
		}
		if changed == nil {
			merged = maps.Clone(known)
			if merged == nil {
				merged = map[string]Evacuation{}
			}
		}
		merged[e.Zone] = Evacuation{Order: e.Order, InForce: e.InForce, AppliedAt: at}
		changed = append(changed, e.Zone)
	}
	return merged, changed
}
