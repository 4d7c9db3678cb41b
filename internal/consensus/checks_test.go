package consensus

import (
	"encoding/json"
	"fmt"
)

// Invariants that are checked at every step of a schedule.

// checkState checks that the state after an index is the same on all servers.
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
		content := entryContent{data: fmt.Sprint(e.Kind, string(e.Data)), prevTerm: prev}
		key := [2]uint64{e.Index, e.Term}
		if known, ok := s.entries[key]; ok && known != content {
			s.t.Fatalf("log matching: %v has %v at %v, another server %v", v.id, content, key, known)
		}
		s.entries[key] = content
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
		// A server may learn of its election in an earlier term after a commit in a later one.
		if s.commitBy[index] < c.hard.CurrentTerm && index > c.log.baseIndex && !c.log.matches(index, e.Term) {
			s.t.Fatalf("leader completeness: %v leads term %d without committed %d of term %d", v.id, c.hard.CurrentTerm, index, e.Term)
		}
	}
}

// checkDurableBeforeSend checks that votes and acknowledgements are durable before they are sent.
func (s *sim) checkDurableBeforeSend(v *simServer, messages []Message) {
	last := v.disk.Snapshot.Index + uint64(len(v.disk.Entries))
	for _, m := range messages {
		hard := v.disk.HardState
		durable := true
		switch {
		case m.Kind == KindRequestVote:
			durable = hard == HardState{CurrentTerm: m.Term, VotedFor: v.id}
		case m.Kind == KindRequestVoteReply && !m.Reject:
			durable = hard == HardState{CurrentTerm: m.Term, VotedFor: m.To}
		case m.Kind == KindAppendEntriesReply && !m.Reject:
			durable = hard.CurrentTerm == m.Term && last >= m.Index
		case m.Kind == KindBootstrapReply:
			durable = v.disk.Snapshot.Index > 0
		}
		if !durable {
			s.t.Fatalf("%v sends %+v before it is durable: %+v, last index %d", v.id, m, hard, last)
		}
	}
}

// checkCommit checks that newly committed entries are on the disks of a
// majority. Acknowledgements of disks lost since then count.
func (s *sim) checkCommit(c *Core) {
	if c.log.commit <= s.majorityIndex {
		return
	}
	s.majorityIndex = c.log.commit
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
