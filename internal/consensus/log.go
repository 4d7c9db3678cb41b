package consensus

import "fmt"

// maxKeepBytes limits the size of the entries kept before a snapshot.
const maxKeepBytes = 4 << 20

// raftLog holds the newest snapshot and the entries after a base index. It
// tracks up to where entries are durable (stable), committed, and returned in a
// Ready to be applied (applied).
type raftLog struct {
	snapshot  Snapshot
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry // entries[i].Index == baseIndex+1+i

	stable  uint64
	commit  uint64
	applied uint64

	// memberships are set by entries after the snapshot, oldest first.
	memberships []indexedMembership
}

// indexedMembership is the membership set by the entry at index.
type indexedMembership struct {
	index   uint64
	members Membership
}

func newRaftLog(snapshot Snapshot, entries []Entry) *raftLog {
	l := &raftLog{}
	l.restore(snapshot)
	l.append(entries)
	l.stable = l.lastIndex()
	return l
}

// restore replaces the whole log by snapshot.
func (l *raftLog) restore(snapshot Snapshot) {
	l.snapshot = snapshot
	l.baseIndex = snapshot.Index
	l.baseTerm = snapshot.Term
	l.entries = nil
	l.memberships = nil
	l.stable = snapshot.Index
	l.commit = snapshot.Index
	l.applied = snapshot.Index
}

func (l *raftLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, if the log has it.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	entryTerm, ok := l.term(index)
	return ok && entryTerm == term
}

// slice returns the entries from lo to hi, both included.
func (l *raftLog) slice(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.baseIndex-1 : hi-l.baseIndex]
}

// append adds entries, which replace all existing ones from their first index on.
func (l *raftLog) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	if first > l.lastIndex()+1 || first <= l.baseIndex {
		panic(fmt.Sprintf("consensus: append at %d to a log of %d..%d", first, l.baseIndex+1, l.lastIndex()))
	}
	l.truncate(first)
	for _, e := range entries {
		l.entries = append(l.entries, e)
		if e.Kind == EntryMembership {
			l.memberships = append(l.memberships, indexedMembership{index: e.Index, members: decodeMembership(e)})
		}
	}
}

// truncate drops the entries from index on.
func (l *raftLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	if index <= l.commit {
		panic(fmt.Sprintf("consensus: entry %d replaced although %d is committed", index, l.commit))
	}
	// Copied, because slices returned earlier share the array.
	l.entries = append([]Entry(nil), l.entries[:index-l.baseIndex-1]...)
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 0 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// membership returns the newest membership in the log, committed or not, and
// the index that set it.
func (l *raftLog) membership() (Membership, uint64) {
	if n := len(l.memberships); n > 0 {
		return l.memberships[n-1].members, l.memberships[n-1].index
	}
	return l.snapshot.Membership, l.snapshot.Index
}

// membershipAt returns the membership that applies at index.
func (l *raftLog) membershipAt(index uint64) Membership {
	members := l.snapshot.Membership
	for _, m := range l.memberships {
		if m.index > index {
			break
		}
		members = m.members
	}
	return members
}

// compact adopts a snapshot of applied state and drops the entries up to its
// index, except for the last keep of them, or about maxKeepBytes if that is less.
func (l *raftLog) compact(snapshot Snapshot, keep uint64) {
	if snapshot.Index <= l.snapshot.Index || snapshot.Index > l.applied {
		return
	}
	l.snapshot = snapshot
	for len(l.memberships) > 0 && l.memberships[0].index <= snapshot.Index {
		l.memberships = l.memberships[1:]
	}
	base := snapshot.Index
	size := 0
	for base > l.baseIndex && snapshot.Index-base < keep && size < maxKeepBytes {
		size += len(l.entries[base-l.baseIndex-1].Data)
		base--
	}
	if base == l.baseIndex {
		return
	}
	term, _ := l.term(base)
	l.entries = append([]Entry(nil), l.entries[base-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = base, term
}

// upToDate reports whether a log that ends with (index, term) is at least as
// up to date as this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
