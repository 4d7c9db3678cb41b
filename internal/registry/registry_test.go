package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/placement"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

var testConfig = Config{Lease: 30 * time.Second, ForgetAfter: time.Hour}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func agent(vm string, incarnation uint64) Announcement {
	return Announcement{Name: vm, Role: RoleAgent, Incarnation: incarnation}
}

func TestAnnounce(t *testing.T) {
	r := New(testConfig, epoch)
	first := r.Announce(agent("a", 5), nil, epoch)
	require.Equal(t, Decision{Known: 5, Propose: true, ReportsChanged: true}, first)
	inForce := agent("a", 5)
	record := inForce.Member()
	require.Equal(t, Decision{Known: 5}, r.Announce(agent("a", 5), &record, epoch))
	require.Equal(t, Decision{Known: 5, Superseded: true}, r.Announce(agent("a", 4), &record, epoch))

	leaving := agent("a", 5)
	leaving.Leaving = true
	require.True(t, r.Announce(leaving, &record, epoch).Propose)
	record.State = inventory.MemberLeaving
	require.False(t, r.Announce(agent("a", 5), &record, epoch).Propose, "a delayed announcement does not cancel leaving")
	record.State = inventory.MemberDown
	require.True(t, r.Announce(agent("a", 5), &record, epoch).Propose, "up again after its lease had expired")

	reporting := agent("a", 5)
	reporting.Replicas = []Replica{{Model: "m", Version: "1", Phase: placement.ReplicaFetching, ChunksHeld: 1}}
	require.True(t, r.Announce(reporting, &record, epoch).ReportsChanged)
	reporting.Replicas = []Replica{{Model: "m", Version: "1", Phase: placement.ReplicaFetching, ChunksHeld: 2}}
	require.False(t, r.Announce(reporting, &record, epoch).ReportsChanged, "transfer progress alone needs no plan")
	require.Equal(t, map[string][]placement.Replica{"a": {{Model: "m", Version: "1", Phase: placement.ReplicaFetching}}}, r.Reports())

	entry := Announcement{Name: "a", Role: RoleEntry, Incarnation: 1}
	require.Equal(t, Decision{Known: 1, ReportsChanged: true}, r.Announce(entry, &record, epoch), "entries have no member record")
	require.Len(t, r.Daemons(), 2)
}

// TestMembersExpireOnlyAfterWholeLease announces members at random times, with
// leader changes and pauses of the process, and checks that a member expires only
// after a whole lease in which its announcements could have been received.
func TestMembersExpireOnlyAfterWholeLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		r := New(testConfig, now)
		members := []inventory.Member{
			{VM: "a", Incarnation: 1, State: inventory.MemberUp},
			{VM: "b", Incarnation: 1, State: inventory.MemberLeaving},
		}
		listeningSince := now // start of the current period without a pause
		last := map[string]time.Time{}
		step := func(d time.Duration) {
			now = now.Add(d)
			if d > testConfig.Lease/3 {
				listeningSince = now
			}
			expired := map[string]bool{}
			for _, e := range r.Expire(members, now) {
				require.False(t, e.Forget)
				require.EqualValues(t, 1, e.Incarnation)
				expired[e.VM] = true
			}
			for _, m := range members {
				lastReceived := listeningSince
				if last[m.VM].After(lastReceived) {
					lastReceived = last[m.VM]
				}
				require.Equal(t, now.Sub(lastReceived) > testConfig.Lease, expired[m.VM], m.VM)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				m := rapid.SampledFrom(members).Draw(t, "member")
				r.Announce(agent(m.VM, 1), &m, now)
				last[m.VM] = now
			},
			"time":   func(t *rapid.T) { step(time.Duration(rapid.IntRange(1, 10).Draw(t, "s")) * time.Second) },
			"freeze": func(t *rapid.T) { step(time.Duration(rapid.IntRange(11, 300).Draw(t, "s")) * time.Second) },
			"new leader": func(t *rapid.T) {
				r = New(testConfig, now)
				listeningSince = now
				last = map[string]time.Time{}
			},
		})
	})
}

func TestDownMembersAreForgotten(t *testing.T) {
	r := New(testConfig, epoch)
	down := []inventory.Member{{VM: "a", Incarnation: 1, State: inventory.MemberDown}}
	require.Empty(t, r.Expire(down, epoch))
	require.Empty(t, r.Expire(down, epoch.Add(testConfig.ForgetAfter)))
	late := epoch.Add(testConfig.ForgetAfter + time.Second)
	require.Equal(t, []Expired{{VM: "a", Incarnation: 1, Forget: true}}, r.Expire(down, late))
	r.Announce(agent("a", 1), &down[0], late)
	require.Len(t, r.Daemons(), 1)
	require.Empty(t, r.Expire(nil, late.Add(21*testConfig.Lease)))
	require.Empty(t, r.Daemons(), "daemons without announcements are dropped")
}
