package consensus

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Tests of the rule for which disk losses the schedules require the cluster to tolerate.

// memberState is the state of one server in a generated membership.
type memberState int

const (
	memberVoter       memberState = iota
	memberLostVoter               // the disk is lost, the new incarnation is not a member yet
	memberLearner                 // a new incarnation or newcomer that is not yet a voter
	memberLostLearner             // a learner that has lost its disk
	memberAbsent                  // not a member; for the newcomer only
	memberStatesEnd
)

// membershipOf returns the membership with these servers, the last of which is the
// newcomer, the identities whose disk is intact, and the number of lost servers, which
// includes new incarnations that are still learners.
func membershipOf(states []memberState) (members Membership, intact map[ServerID]bool, lost int) {
	intact = map[ServerID]bool{}
	for i, p := range states {
		if p == memberAbsent {
			continue
		}
		id := ServerID{Name: fmt.Sprint("s", i), Incarnation: 1}
		learner := p == memberLearner || p == memberLostLearner
		members = members.with(Member{ID: id, Learner: learner, PromoteWhenReady: learner})
		intact[id] = p == memberVoter || p == memberLearner
		newcomer := i == len(states)-1
		if p != memberVoter && !(newcomer && p == memberLearner) {
			lost++
		}
	}
	return members, intact, lost
}

// The schedules must not skip a tolerated loss: all memberships of 2n+1 servers, with and
// without a newcomer, in which at most n servers are lost count as tolerated.
func TestSchedulesIncludeAllToleratedLosses(t *testing.T) {
	for _, tolerated := range []int{1, 2} {
		size := 2*tolerated + 1
		states := make([]memberState, size+1)
		required, more := 0, 0
		var enumerate func(i int)
		enumerate = func(i int) {
			if i < len(states) {
				for p := range memberStatesEnd {
					if p == memberAbsent && i < size {
						continue
					}
					states[i] = p
					enumerate(i + 1)
				}
				return
			}
			members, intact, lost := membershipOf(states)
			tolerates := toleratesLosses(members, func(id ServerID) bool { return intact[id] })
			if lost <= tolerated {
				required++
				require.True(t, tolerates, "%d lost of %v", lost, states)
			} else if tolerates {
				more++
			}
		}
		enumerate(0)
		t.Logf("%d tolerated: %d memberships required to tolerate their losses, and %d more that do", tolerated, required, more)
	}
}

// s1 loses its disk; a new learner catches up and loses its own before s1 is a voter again,
// but its earlier acknowledgements promote it. Two of four voters are left, no majority.
func TestSecondDiskLossBeforeRepairIsNotRequired(t *testing.T) {
	s := newSim(t, 3, 0)
	s.autoJoin = true
	for _, name := range s.names {
		s.start(s.servers[name])
	}
	s.rounds(6 * simElectionTicks)
	s.do(action{name: "damage", x: 1})
	s.do(action{name: "add"})
	s.rounds(9)
	s1, s9 := s.servers["s1"], s.servers["s9"]
	members, _ := s.leader().core.log.membership()
	require.False(t, members.IsVoter(s1.id))
	member, admitted := members.Find(s9.id)
	require.True(t, admitted && member.Learner, "the newcomer is a learner")
	require.False(t, s.mayWipe(s9), "the second disk of four while the first one is lost")
	require.True(t, s.mayWipe(s1), "the same server may lose its disk again")

	before := s9.id
	s.do(action{name: "wipe", x: 3})
	require.Equal(t, before, s9.id)
	s.runUntil(t, func() bool { return slices.Equal(s.voters(), []string{"s0", "s1", "s2", "s9"}) })
	s.requireSettled(t)
}

// As soon as a server that lost its disk is a voter again, any other one may lose its
// disk, and the cluster recovers.
func TestSecondDiskLossRightAfterRepair(t *testing.T) {
	for _, second := range []string{"s0", "s1", "s2", "s9"} {
		t.Run(second, func(t *testing.T) {
			s := autoJoinCluster(t, 3)
			s.write(t, "accepted")
			s.do(action{name: "damage", x: 1})
			s.do(action{name: "add"})
			s.runUntil(t, func() bool { return s.isCommittedVoter(s.servers["s1"]) })
			s.runUntil(t, func() bool { return s.mayWipe(s.servers[second]) })
			require.True(t, s.isCommittedVoter(s.servers["s1"]))
			s.wipe(s.servers[second])
			s.requireSettled(t)
			for _, v := range s.all() {
				require.Equal(t, "accepted", v.state["k"])
			}
			require.Equal(t, []string{"s0", "s1", "s2", "s9"}, s.voters())
		})
	}
}

// runUntil runs rounds until a condition holds, for 20 election timeouts at most.
func (s *sim) runUntil(t *testing.T, holds func() bool) {
	for range 20 * simElectionTicks {
		if holds() {
			return
		}
		s.runRound()
	}
	t.Fatalf("the condition was not reached: %v", s.describe())
}

// isCommittedVoter reports whether a server is a voter in the committed membership.
func (s *sim) isCommittedVoter(v *simServer) bool {
	leader := s.leader()
	return leader != nil && leader.core.log.membershipAt(leader.core.log.commit).IsVoter(v.id)
}

// lossCounter observes a schedule of three servers and a newcomer, and counts the disk losses
// after the repair of another server.
type lossCounter struct {
	sim        *sim
	ids        map[string]ServerID // as last seen
	lost       map[string]bool     // not yet a voter again
	repairedAt map[string]int      // round
	// after counts losses within two election timeouts of another server's repair, newcomer
	// those of the newcomer after any other server's repair, and overlapping those while
	// another server was not repaired yet.
	after, newcomer, overlapping int
	// skipped counts the losses that are tolerated by the voters alone, but not if the
	// learners count.
	skipped int
}

func newLossCounter(s *sim) *lossCounter {
	r := &lossCounter{sim: s, ids: map[string]ServerID{}, lost: map[string]bool{}, repairedAt: map[string]int{}}
	for _, v := range s.all() {
		r.ids[v.id.Name] = v.id
	}
	return r
}

func (r *lossCounter) observe(t *testing.T) {
	for _, name := range r.sim.names {
		v := r.sim.servers[name]
		old, known := r.ids[name]
		r.ids[name] = v.id
		if known && old != v.id {
			r.countLoss(name)
			r.lost[name] = true
		}
		if r.lost[name] && r.sim.isCommittedVoter(v) {
			delete(r.lost, name)
			r.repairedAt[name] = r.sim.round
		}
	}
	r.requireCause(t)
}

// requireCause checks that a loss is skipped because of learners only while another
// server has lost its disk and is not a voter again.
func (r *lossCounter) requireCause(t *testing.T) {
	for _, v := range r.sim.all() {
		if r.sim.mayWipe(v) || !r.sim.toleratesLossOf(v, math.MaxUint64) {
			continue
		}
		r.skipped++
		require.True(t, r.othersLost(v.id.Name), "the loss of %v alone is skipped: %v", v.id, r.sim.describe())
	}
}

func (r *lossCounter) othersLost(victim string) bool {
	for other := range r.lost {
		if other != victim {
			return true
		}
	}
	return false
}

func (r *lossCounter) countLoss(victim string) {
	if r.othersLost(victim) {
		r.overlapping++
		return
	}
	soon, repaired := false, false
	for other, round := range r.repairedAt {
		if other != victim {
			repaired = true
			soon = soon || r.sim.round-round <= 2*simElectionTicks
		}
	}
	if soon {
		r.after++
	}
	if repaired && victim == "s9" {
		r.newcomer++
	}
}

// countedSchedules is the number of schedules drawn for the counts below. They have 21
// losses right after a repair, and 6 of the newcomer after one.
const countedSchedules = 300

// The rule must not make the schedules harmless: many lose a second disk right after a
// repair, some of them that of the newcomer.
func TestSchedulesLoseSecondDiskRightAfterRepair(t *testing.T) {
	actions := rapid.Custom(drawActions)
	after, newcomer, overlapping, skipped := 0, 0, 0, 0
	for seed := range countedSchedules {
		s := newSim(t, 3, uint64(seed))
		s.autoJoin = true
		for _, name := range s.names {
			s.start(s.servers[name])
		}
		s.rounds(6 * simElectionTicks)
		r := newLossCounter(s)
		for _, a := range actions.Example(seed) {
			s.do(a)
			r.observe(t)
		}
		after, newcomer = after+r.after, newcomer+r.newcomer
		overlapping, skipped = overlapping+r.overlapping, skipped+r.skipped
	}
	t.Logf("%d schedules: %d disks lost right after another's repair, %d of the newcomer after one, %d while another was lost; %d skipped",
		countedSchedules, after, newcomer, overlapping, skipped)
	require.Greater(t, after, countedSchedules/30)
	require.Greater(t, newcomer, countedSchedules/100)
	require.Positive(t, skipped)
}
