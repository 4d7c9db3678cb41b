package fleetcontrol

import (
	"cmp"
	"slices"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// maxEntryChanges bounds the remembered changes of the list of entries. A follower that is further
// behind gets the whole list.
const maxEntryChanges = 1024

// entryList is the list of the entries that follow this control server, with its latest changes, so
// that a join or leave costs each entry one record and not the whole list.
type entryList struct {
	// streams counts the streams of each entry, zones are their zones.
	streams map[string]int
	zones   map[string]string
	// version counts the changes; changes are the latest, the last of which made version.
	version uint64
	changes []entryChange
}

type entryChange struct {
	entry  *rpc.Entry
	joined bool
}

func newEntryList() *entryList {
	return &entryList{streams: map[string]int{}, zones: map[string]string{}}
}

func (l *entryList) join(name, zone string) {
	l.streams[name]++
	if l.streams[name] == 1 || l.zones[name] != zone {
		l.zones[name] = zone
		l.changed(entryChange{entry: &rpc.Entry{Name: name, Zone: zone}, joined: true})
	}
}

func (l *entryList) leave(name string) {
	if l.streams[name]--; l.streams[name] <= 0 {
		l.changed(entryChange{entry: &rpc.Entry{Name: name, Zone: l.zones[name]}})
		delete(l.streams, name)
		delete(l.zones, name)
	}
}

func (l *entryList) changed(c entryChange) {
	l.version++
	l.changes = append(l.changes, c)
	if len(l.changes) > 2*maxEntryChanges {
		l.changes = slices.Clone(l.changes[maxEntryChanges:])
	}
}

// all returns all entries in the order of names.
func (l *entryList) all() []*rpc.Entry {
	out := make([]*rpc.Entry, 0, len(l.streams))
	for name := range l.streams {
		out = append(out, &rpc.Entry{Name: name, Zone: l.zones[name]})
	}
	slices.SortFunc(out, func(a, b *rpc.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// since returns the entries that have joined and left since a version of the list; false if the
// changes are no longer known.
func (l *entryList) since(version uint64) (*rpc.EntryChanges, bool) {
	missing := l.version - version
	if missing > uint64(len(l.changes)) {
		return nil, false
	}
	last := map[string]entryChange{}
	for _, c := range l.changes[len(l.changes)-int(missing):] {
		last[c.entry.Name] = c
	}
	out := &rpc.EntryChanges{}
	for name, c := range last {
		if c.joined {
			out.Joined = append(out.Joined, c.entry)
		} else {
			out.Left = append(out.Left, name)
		}
	}
	return out, true
}

// addEntries adds the list of entries, or what has changed since it was sent.
func (f *follower) addEntries(u *rpc.FleetUpdate, list *entryList) bool {
	if f.hasEntries && f.entriesVersion == list.version {
		return false
	}
	changes, known := list.since(f.entriesVersion)
	if f.hasEntries && known {
		u.EntryChanges = changes
	} else {
		u.Entries = &rpc.EntryList{Entries: list.all()}
	}
	f.hasEntries, f.entriesVersion = true, list.version
	return true
}
