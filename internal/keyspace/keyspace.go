// Package keyspace holds the configuration as processes read it: a sorted,
// immutable set of keys at one revision.
//
// State: none; a View is immutable. Apply returns a new view that shares entries
// with the old one, so that a change copies only the slice of pointers and
// goroutines that serve requests can read a view without a lock.
package keyspace

import (
	"sort"
	"strings"
)

// Entry is one key with its value and the revision that last changed it.
// Deleted entries appear in deltas only, never in a View.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// size returns the approximate memory use of an entry in bytes.
func (e *Entry) size() int { return len(e.Key) + len(e.Value) + entryOverhead }

// entryOverhead is the approximate size of the struct and pointer of one entry,
// in bytes.
const entryOverhead = 64

// View is the key space at one revision. The zero View is empty, at
// revision 0.
type View struct {
	revision uint64
	entries  []*Entry
}

// NewView returns a view of entries, which may be in any order. The view keeps
// the pointers; the caller must not modify the entries afterwards.
func NewView(revision uint64, entries []*Entry) *View {
	sorted := make([]*Entry, len(entries))
	copy(sorted, entries)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Key < sorted[j].Key })
	return &View{revision: revision, entries: sorted}
}

// Revision returns the revision of the view.
func (v *View) Revision() uint64 { return v.revision }

// Len returns the number of keys.
func (v *View) Len() int { return len(v.entries) }

// Entries returns all entries, sorted by key. The caller must not modify them.
func (v *View) Entries() []*Entry { return v.entries }

// Get returns the entry of key, or nil.
func (v *View) Get(key string) *Entry {
	i := v.search(key)
	if i < len(v.entries) && v.entries[i].Key == key {
		return v.entries[i]
	}
	return nil
}

// Prefix returns the entries whose keys begin with prefix, sorted by key. The
// caller must not modify them.
func (v *View) Prefix(prefix string) []*Entry {
	lo := v.search(prefix)
	rest := v.entries[lo:]
	n := sort.Search(len(rest), func(i int) bool { return !strings.HasPrefix(rest[i].Key, prefix) })
	return rest[:n]
}

// Select returns the entries that Matches accepts, sorted by key. The caller must
// not modify them.
func (v *View) Select(prefixes []string) []*Entry {
	if len(prefixes) == 0 {
		return v.entries
	}
	var out []*Entry
	for _, e := range v.entries {
		if Matches(e.Key, prefixes) {
			out = append(out, e)
		}
	}
	return out
}

// Matches reports whether key begins with one of the prefixes. An empty list
// matches every key.
func Matches(key string, prefixes []string) bool {
	if len(prefixes) == 0 {
		return true
	}
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// Apply returns a view at revision with the changes applied to v.
func (v *View) Apply(revision uint64, changes []*Entry) *View {
	if len(changes) == 0 {
		return &View{revision: revision, entries: v.entries}
	}
	sorted := lastPerKey(changes)
	merged := make([]*Entry, 0, len(v.entries)+len(sorted))
	i := 0
	for _, c := range sorted {
		for i < len(v.entries) && v.entries[i].Key < c.Key {
			merged = append(merged, v.entries[i])
			i++
		}
		if i < len(v.entries) && v.entries[i].Key == c.Key {
			i++
		}
		if !c.Deleted {
			merged = append(merged, c)
		}
	}
	merged = append(merged, v.entries[i:]...)
	return &View{revision: revision, entries: merged}
}

func (v *View) search(key string) int {
	return sort.Search(len(v.entries), func(i int) bool { return v.entries[i].Key >= key })
}

// lastPerKey sorts changes by key and keeps only the last change of each key.
func lastPerKey(changes []*Entry) []*Entry {
	sorted := make([]*Entry, len(changes))
	copy(sorted, changes)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Key < sorted[j].Key })
	out := sorted[:0]
	for i, c := range sorted {
		if i+1 < len(sorted) && sorted[i+1].Key == c.Key {
			continue
		}
		out = append(out, c)
	}
	return out
}
