package replica

import (
	"maps"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/consensus"
)

// keptLeaders is the number of terms whose leader is kept: an entry of an older one counts as committed by any member.
const keptLeaders = 16

// recordLeader records the leader of the current term.
func (n *Node) recordLeader() {
	state := n.core.State()
	if state.Leader.IsZero() || n.leaders[state.Term] == state.Leader {
		return
	}
	n.leaders[state.Term] = state.Leader
	for term := range n.leaders {
		if term+keptLeaders <= state.Term {
			delete(n.leaders, term)
		}
	}
}

// commits returns for each term of these entries what is known of the time of their commit, if this server learns of it at a time.
func (n *Node) commits(entries []consensus.Entry, at time.Time) map[uint64]Commit {
	if len(entries) == 0 {
		return nil
	}
	out := map[uint64]Commit{}
	state := n.core.State()
	for _, e := range entries {
		if _, ok := out[e.Term]; !ok {
			out[e.Term] = Commit{At: at, Deciders: n.deciders(e.Term, state)}
		}
	}
	return out
}

// deciders returns the addresses of the other servers that may have committed an entry of a term before this one learns of it: those that have
// led from then on, and all members if one of them is not known. One that is known may have been removed since.
func (n *Node) deciders(term uint64, state consensus.State) []string {
	var leaders []consensus.ServerID
	allKnown := true
	for t := state.Term; allKnown && t >= term; t-- {
		_, allKnown = n.leaders[t]
	}
	if !allKnown {
		for _, m := range state.Members {
			leaders = append(leaders, m.ID)
		}
	}
	for _, t := range slices.Sorted(maps.Keys(n.leaders)) {
		if term <= t && t <= state.Term {
			leaders = append(leaders, n.leaders[t])
		}
	}
	var addrs []string
	for _, id := range leaders {
		if id == state.ID {
			continue
		}
		if addr := n.transport.addr(id); !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}
