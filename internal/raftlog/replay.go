package raftlog

import (
	"fmt"

	"lynxgate.dev/lynxgate/internal/consensus"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// replay rebuilds the log from its records in file order.
type replay struct {
	entries []consensus.Entry // without gaps
}

func (r *replay) add(record *rpc.RaftRecord) error {
	if record.GetResetIndex() > 0 {
		r.entries = nil
	}
	for _, e := range EntriesFromProto(record.GetEntries()) {
		if err := r.addEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (r *replay) addEntry(e consensus.Entry) error {
	if e.Index == 0 {
		return fmt.Errorf("entry with index 0")
	}
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first, next := r.entries[0].Index, r.entries[len(r.entries)-1].Index+1
	switch {
	case e.Index > next:
		return fmt.Errorf("entries %d to %d are missing", next, e.Index-1)
	case e.Index <= first:
		r.entries = r.entries[:0]
	default:
		r.entries = r.entries[:e.Index-first]
	}
	r.entries = append(r.entries, e)
	return nil
}

// after returns the entries that follow the snapshot. conflict is true if the
// log does not match the snapshot: the snapshot came from the leader and
// replaces the log.
func (r *replay) after(snapshot consensus.Snapshot) (entries []consensus.Entry, conflict bool, err error) {
	if len(r.entries) == 0 {
		return nil, false, nil
	}
	first, last := r.entries[0].Index, r.entries[len(r.entries)-1].Index
	switch {
	case first > snapshot.Index+1:
		return nil, false, fmt.Errorf("entries %d to %d are missing", snapshot.Index+1, first-1)
	case first == snapshot.Index+1:
		return r.entries, false, nil
	case last < snapshot.Index:
		return nil, true, nil
	case r.entries[snapshot.Index-first].Term != snapshot.Term:
		return nil, true, nil
	}
	return r.entries[snapshot.Index-first+1:], false, nil
}
