package keyspace

// Delta is the difference between the views at revisions From and To. Changes
// holds the value at To of every key changed in between.
type Delta struct {
	From, To uint64
	Changes  []*Entry
}

// History keeps the latest deltas, bounded by number and bytes. It is not safe
// for concurrent use.
type History struct {
	maxDeltas int
	maxBytes  int
	bytes     int
	deltas    []Delta
}

// NewHistory returns an empty history that keeps at most maxDeltas deltas and at
// most maxBytes bytes in total.
func NewHistory(maxDeltas, maxBytes int) *History {
	return &History{maxDeltas: maxDeltas, maxBytes: maxBytes}
}

// Append adds d as the newest delta. If d does not start where the newest delta
// ends, the older deltas are dropped.
func (h *History) Append(d Delta) {
	if n := len(h.deltas); n > 0 && h.deltas[n-1].To != d.From {
		h.Reset()
	}
	h.deltas = append(h.deltas, d)
	h.bytes += d.size()
	for len(h.deltas) > h.maxDeltas || (h.bytes > h.maxBytes && len(h.deltas) > 0) {
		h.dropOldest()
	}
}

// Reset drops all deltas.
func (h *History) Reset() {
	h.deltas = nil
	h.bytes = 0
}

// Len returns the number of deltas kept.
func (h *History) Len() int { return len(h.deltas) }

// Since returns the merged changes from revision to the newest revision, or false
// if the history does not reach back to revision. A delta that starts before
// revision and ends after it is included whole, since it holds the values at
// its end.
func (h *History) Since(revision uint64) ([]*Entry, bool) {
	if len(h.deltas) == 0 || h.deltas[0].From > revision {
		return nil, false
	}
	var changes []*Entry
	for _, d := range h.deltas {
		if d.To > revision {
			changes = append(changes, d.Changes...)
		}
	}
	if len(changes) == 0 {
		return nil, true
	}
	return lastPerKey(changes), true
}

func (h *History) dropOldest() {
	h.bytes -= h.deltas[0].size()
	h.deltas[0] = Delta{}
	h.deltas = h.deltas[1:]
}

func (d *Delta) size() int {
	n := entryOverhead
	for _, e := range d.Changes {
		n += e.size()
	}
	return n
}

// Diff returns the changes from view a to view b, with a tombstone for every key
// that b lacks.
func Diff(a, b *View) []*Entry {
	var changes []*Entry
	i := 0
	for _, e := range b.entries {
		for i < len(a.entries) && a.entries[i].Key < e.Key {
			changes = append(changes, &Entry{Key: a.entries[i].Key, Revision: b.revision, Deleted: true})
			i++
		}
		if i < len(a.entries) && a.entries[i].Key == e.Key {
			if a.entries[i].Revision != e.Revision {
				changes = append(changes, e)
			}
			i++
			continue
		}
		changes = append(changes, e)
	}
	for ; i < len(a.entries); i++ {
		changes = append(changes, &Entry{Key: a.entries[i].Key, Revision: b.revision, Deleted: true})
	}
	return changes
}
