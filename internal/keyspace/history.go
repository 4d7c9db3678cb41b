package keyspace

// Delta takes a view from revision From to revision To. Changes hold the last
// value of every key changed in between.
type Delta struct {
	From, To uint64
	Changes  []*Entry
}

// History keeps the latest deltas, bounded by number and bytes. Not safe for
// concurrent use.
type History struct {
	maxDeltas int
	maxBytes  int
	bytes     int
	deltas    []Delta
}

// NewHistory makes a history that keeps at most maxDeltas deltas of together
// maxBytes bytes.
func NewHistory(maxDeltas, maxBytes int) *History {
	return &History{maxDeltas: maxDeltas, maxBytes: maxBytes}
}

// Append adds the newest delta. A delta that does not continue the newest one
// clears what came before it.
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

// Reset forgets everything.
func (h *History) Reset() {
	h.deltas = nil
	h.bytes = 0
}

// Len is the number of deltas kept.
func (h *History) Len() int { return len(h.deltas) }

// Since returns the merged changes that bring a view at revision to the newest
// one, or false when the history does not reach back that far. A delta that
// began before revision is included whole: its values are final ones.
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

// Diff returns the changes that lead from view a to view b, with tombstones.
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
