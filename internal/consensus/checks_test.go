package consensus

import (
	"encoding/json"
	"fmt"
)

// What must hold at every step of a schedule.

// checkState requires that the state after an index is the same everywhere.
func (s *sim) checkState(v *simServer, index uint64) {
	data, _ := json.Marshal(v.state)
	if known, ok := s.states[index]; ok && known != string(data) {
		s.t.Fatalf("state machine safety: %v has %s after %d, another server %s", v.id, data, index, known)
	}
	s.states[index] = string(data)
}

// checkCore checks election safety, leader completeness and log matching.
func (s *sim) checkCore(v *simServer) {
	c := v.core
	for i, e := range c.log.entries {
		prev := c.log.baseTerm
		if i > 0 {
			prev = c.log.entries[i-1].Term
		}
		mark := entryMark{data: fmt.Sprint(e.Kind, string(e.Data)), prevTerm: prev}
		key := [2]uint64{e.Index, e.Term}
		if known, ok := s.entries[key]; ok && known != mark {
			s.t.Fatalf("log matching: %v has %v at %v, another server %v", v.id, mark, key, known)
		}
		s.entries[key] = mark
	}
	if c.role != Leader {
		return
	}
	s.checkCommit(c)
	known, ok := s.leaders[c.hard.CurrentTerm]
	if ok && known != v.id {
		s.t.Fatalf("election safety: %v and %v lead in term %d", known, v.id, c.hard.CurrentTerm)
	}
	s.leaders[c.hard.CurrentTerm] = v.id
	if ok {
		return
	}
	for index, e := range s.committed {
		// A leader of an earlier term may find out late that it was elected.
		if s.commitBy[index] < c.hard.CurrentTerm && index > c.log.baseIndex && !c.log.matches(index, e.Term) {
			s.t.Fatalf("leader completeness: %v leads term %d without committed %d of term %d", v.id, c.hard.CurrentTerm, index, e.Term)
		}
	}
}

// checkPromises requires that what a server says of itself is on its disk.
func (s *sim) checkPromises(v *simServer, messages []Message) {
	last := v.disk.Snapshot.Index + uint64(len(v.disk.Entries))
	for _, m := range messages {
		hard := v.disk.HardState
		kept := true
		switch {
		case m.Kind == KindRequestVote:
			kept = hard == HardState{CurrentTerm: m.Term, VotedFor: v.id}
		case m.Kind == KindRequestVoteReply && !m.Reject:
			kept = hard == HardState{CurrentTerm: m.Term, VotedFor: m.To}
		case m.Kind == KindAppendEntriesReply && !m.Reject:
			kept = hard.CurrentTerm == m.Term && last >= m.Index
		case m.Kind == KindFoundReply:
			kept = v.disk.Snapshot.Index > 0
		}
		if !kept {
			s.t.Fatalf("%v sends %+v before it is durable: %+v, last %d", v.id, m, hard, last)
		}
	}
}

// checkCommit requires that what a leader has newly committed is on the disks
// of a majority. Acknowledgements of disks lost since then count.
func (s *sim) checkCommit(c *Core) {
	if c.log.commit <= s.majority {
		return
	}
	s.majority = c.log.commit
	members, _ := c.log.membership()
	term, _ := c.log.term(c.log.commit)
	holders := 0
	for _, id := range members.Voters() {
		v := s.servers[id.Name]
		if v == nil || v.id != id || v.disk.holds(c.log.commit, term) {
			holders++
		}
	}
	if holders < members.Quorum() {
		s.t.Fatalf("%v commits %d of term %d, which only %d voters hold", c.id, c.log.commit, term, holders)
	}
}

func (d *Restored) holds(index, term uint64) bool {
	if index <= d.Snapshot.Index {
		return true
	}
	i := index - d.Snapshot.Index - 1
	return i < uint64(len(d.Entries)) && d.Entries[i].Term == term
}
