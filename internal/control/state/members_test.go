package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/inventory"
)

func member(vm string, incarnation uint64, st inventory.MemberState) inventory.Member {
	return inventory.Member{VM: vm, Zone: "z", Addr: fmt.Sprint("addr", incarnation), Incarnation: incarnation, State: st}
}

func (s *server) announce(members ...inventory.Member) AnnounceResult {
	return s.apply(Announce{Time: s.now, Members: members}).(AnnounceResult)
}

func (s *server) assign(base uint64, wants map[string][]inventory.Want) AssignResult {
	return s.apply(Assign{Time: s.now, Base: base, Wants: wants}).(AssignResult)
}

func (s *server) memberOf(vm string) (inventory.Member, bool) {
	return s.machine.member(vm, &pending{})
}

func (s *server) assignmentOf(vm string) (inventory.Assignment, bool) {
	return lookup[inventory.Assignment](s.machine, inventory.PrefixAssign+vm, &pending{})
}

// fences is the model of TestFencesRise.
type fences struct {
	*server
	// highest is the highest fence of each VM, wants the versions assigned with it.
	highest map[string]uint64
	wants   map[string][]inventory.Want
	newest  map[string]uint64
	left    map[string]uint64
}

// check compares the records with the model after every step.
func (f *fences) check(t *rapid.T) {
	f.requireEqualTwin()
	for _, vm := range []string{"a", "b"} {
		if m, ok := f.memberOf(vm); ok {
			require.Equal(t, f.newest[vm], m.Incarnation, "the newest incarnation is in force")
			if f.left[vm] == m.Incarnation {
				require.NotEqual(t, inventory.MemberUp, m.State, "an incarnation that was leaving is not up again")
			}
		}
		a, ok := f.assignmentOf(vm)
		if !ok {
			f.wants[vm] = nil
			continue
		}
		if f.wants[vm] != nil && equalWants(f.wants[vm], a.Wants) {
			require.Equal(t, f.highest[vm], a.Fence, "unchanged wants keep their fence")
			continue
		}
		require.Greater(t, a.Fence, f.highest[vm], "a changed assignment has a higher fence")
		f.highest[vm] = a.Fence
		f.wants[vm] = append([]inventory.Want{}, a.Wants...)
	}
}

// TestFencesRise applies announcements, expired leases and plans in random order,
// with removals and restarts, and checks that fences and incarnations never
// decrease.
func TestFencesRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fences{server: newServer(t), highest: map[string]uint64{}, wants: map[string][]inventory.Want{},
			newest: map[string]uint64{}, left: map[string]uint64{}}
		vms := rapid.SampledFrom([]string{"a", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				vm := vms.Draw(t, "vm")
				m := member(vm, uint64(rapid.IntRange(1, 6).Draw(t, "incarnation")), inventory.MemberUp)
				if rapid.IntRange(0, 3).Draw(t, "leaving") == 0 {
					m.State = inventory.MemberLeaving
				}
				_, known := f.memberOf(vm)
				res := f.announce(m).Members[0]
				require.Equal(t, known && m.Incarnation < f.newest[vm], res.Superseded)
				if res.Superseded {
					return
				}
				f.newest[vm] = m.Incarnation
				if m.State == inventory.MemberLeaving {
					f.left[vm] = m.Incarnation
				}
			},
			"down": func(t *rapid.T) {
				vm := vms.Draw(t, "vm")
				before, known := f.memberOf(vm)
				e := Expired{VM: vm, Incarnation: uint64(rapid.IntRange(1, 6).Draw(t, "incarnation"))}
				e.Forget = rapid.Bool().Draw(t, "forget")
				f.apply(Down{Time: f.now, Members: []Expired{e}})
				after, still := f.memberOf(vm)
				if known && before.Incarnation != e.Incarnation {
					require.Equal(t, before, after, "the lease of another incarnation has expired")
				}
				if known && !still {
					require.Equal(t, inventory.MemberDown, before.State, "only members that are down are removed")
					f.left[vm] = 0
				}
			},
			"assign": func(t *rapid.T) {
				revision := f.machine.view.Revision()
				base := revision - min(revision, uint64(rapid.IntRange(0, 1).Draw(t, "stale")))
				wants := []inventory.Want{{Model: "m", Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")}}
				if rapid.IntRange(0, 3).Draw(t, "none") == 0 {
					wants = nil
				}
				res := f.assign(base, map[string][]inventory.Want{vms.Draw(t, "vm"): wants})
				require.Equal(t, base != revision, res.Stale)
				if res.Stale {
					require.Equal(t, revision, f.machine.view.Revision(), "a stale plan is dropped")
				}
			},
			"restart": func(t *rapid.T) { f.restart() },
			"":        f.check,
		})
	})
}

func TestAnnounceMakesRevisionsOnlyForChanges(t *testing.T) {
	s := newServer(t)
	s.announce(member("a", 1, inventory.MemberUp), member("b", 1, inventory.MemberUp))
	require.EqualValues(t, 1, s.machine.view.Revision(), "one revision for a batch")
	s.announce(member("a", 1, inventory.MemberUp))
	require.EqualValues(t, 1, s.machine.view.Revision())
	s.assign(1, map[string][]inventory.Want{"a": {{Model: "m", Version: "1"}}, "nobody": {{Model: "m", Version: "1"}}})
	first, _ := s.assignmentOf("a")
	_, ok := s.assignmentOf("nobody")
	require.False(t, ok)
	s.announce(member("a", 2, inventory.MemberUp))
	moved, _ := s.assignmentOf("a")
	require.Equal(t, "addr2", moved.Addr, "peers find the agent at its new address")
	require.Equal(t, first.Fence, moved.Fence)
	s.requireEqualTwin()
}
