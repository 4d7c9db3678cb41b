package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// testZones has two zones in region a and one in region b.
var testZones = []inventory.Zone{
	{Name: "a1", Region: "a"}, {Name: "a2", Region: "a"}, {Name: "b1", Region: "b"},
}

// newFleet returns a fleet of n VMs, spread evenly over the zones, in one service
// with one rule.
func newFleet(n int, rule inventory.Rule) *fleet {
	f := &fleet{
		inv: inventory.Inventory{
			Zones:    testZones,
			Services: []inventory.Service{{Name: "chat", Kind: inventory.KindModel, Model: "m"}},
			Rules:    []inventory.Rule{rule},
		},
		agents: map[string]*agent{},
	}
	for _, v := range []string{"v1", "v2", "v3"} {
		f.inv.Models = append(f.inv.Models, inventory.ModelVersion{Model: "m", Version: v})
	}
	for i := range n {
		f.addVM(fmt.Sprintf("vm%02d", i), testZones[i%len(testZones)].Name, "chat")
	}
	return f
}

func chatRule(version string, copies int) inventory.Rule {
	return inventory.Rule{Name: "r", Service: "chat", Version: version, Copies: copies}
}

func TestPlaceSpreadsOverZones(t *testing.T) {
	f := newFleet(9, chatRule("v1", 5))
	f.settle(t)
	require.Equal(t, 5, f.liveOn("v1"))
	require.Equal(t, map[string]int{"a1": 2, "a2": 1, "b1": 2}, f.perZone("v1"), "ties go to the region with fewer copies")
}

func TestUndeclaredZoneIsAllowedUnlessRestricted(t *testing.T) {
	f := newFleet(0, chatRule("v1", 1))
	f.addVM("vm", "elsewhere", "chat")
	f.settle(t)
	require.Equal(t, 1, f.liveOn("v1"))
	f.inv.Rules[0].Regions = []string{"a", "b"}
	require.Equal(t, []Unmet{{"r", ReasonTooFewVMs, 1, 0}}, f.plan(t).Unmet)
}

func TestVMsGoingDownRepeatedlyAreReplaced(t *testing.T) {
	f := newFleet(9, chatRule("v1", 5))
	f.settle(t)
	for range 2 {
		victim := f.firstLive("v1")
		f.agents[victim].member.State = inventory.MemberDown
		f.agents[victim].reset()
		changed := f.plan(t)
		require.LessOrEqual(t, len(changed.Assignments), 1, "only the replacement changes")
		require.NotContains(t, changed.Assignments, victim)
		f.stepAgents() // the next VM goes down before the replacement is live
	}
	f.settle(t)
	require.Equal(t, 5, f.liveOn("v1"))
}

func TestDrainKeepsReplicaUntilReplaced(t *testing.T) {
	f := newFleet(9, chatRule("v1", 5))
	f.settle(t)
	drained := f.firstLive("v1")
	f.vm(drained).Drained = true
	res := f.plan(t)
	require.NotContains(t, res.Assignments, drained, "kept while the replacement fetches the weights")
	f.settle(t)
	require.Empty(t, f.agents[drained].wants)
	require.Equal(t, 5, f.liveOn("v1"))
}

func TestRollStagesFirstAndGoesInWaves(t *testing.T) {
	f := newFleet(8, chatRule("v1", 8))
	f.settle(t)
	f.inv.Rules[0].Version = "v2"
	f.plan(t)
	for name, a := range f.agents {
		require.Equal(t, "v1", a.wantsActive().version, name)
		require.Len(t, a.wants, 2, name)
	}
	least := 8
	for range 40 {
		f.stepAgents()
		f.plan(t)
		least = min(least, f.liveOn("v1")+f.liveOn("v2"))
	}
	require.Equal(t, 8, f.liveOn("v2"))
	require.Equal(t, 6, least, "a quarter may be down at once")
	require.Empty(t, f.plan(t).Assignments)
}

func TestFailedRollHaltsAndKeepsOldVersion(t *testing.T) {
	f := newFleet(8, chatRule("v1", 8))
	f.settle(t)
	f.inv.Rules[0].Version = "v2"
	for _, a := range f.agents {
		a.bad = map[ref]bool{{"m", "v2"}: true}
	}
	res := f.settle(t)
	require.Equal(t, 8, f.liveOn("v1"), "all VMs serve the old version again")
	failed := 0
	for _, a := range f.agents {
		if a.failed[ref{"m", "v2"}] {
			failed++
		}
	}
	require.Equal(t, 2, failed, "the roll halts after one wave")
	require.Equal(t, ReasonRollHalted, res.Unmet[0].Reason)
	// Another target version ends the halt.
	f.inv.Rules[0].Version = "v3"
	f.settle(t)
	require.Equal(t, 8, f.liveOn("v3"))
}

func TestOneFailureIsReplacedBySpare(t *testing.T) {
	f := newFleet(8, chatRule("v1", 7))
	f.settle(t)
	f.inv.Rules[0].Version = "v2"
	bad := f.firstLive("v1")
	f.agents[bad].bad = map[ref]bool{{"m", "v2"}: true}
	res := f.settle(t)
	require.Equal(t, 7, f.liveOn("v2"))
	require.Empty(t, res.Unmet)
	require.Equal(t, inventory.PhaseStage, f.agents[bad].wants[0].Phase, "kept staged, so that the failure stays reported")
}

func TestVersionWithdrawnInMidRoll(t *testing.T) {
	f := newFleet(8, chatRule("v1", 8))
	f.settle(t)
	for _, version := range []string{"v2", "v1", "v2", "v1"} {
		f.inv.Rules[0].Version = version
		for range 4 {
			f.plan(t)
			f.stepAgents()
			require.GreaterOrEqual(t, f.liveOn("v1")+f.liveOn("v2"), 6)
		}
	}
	f.settle(t)
	require.Equal(t, 8, f.liveOn("v1"))
	// A rule whose version is no longer declared keeps its replicas.
	f.inv.Models = f.inv.Models[1:]
	res := f.plan(t)
	require.Empty(t, res.Assignments)
	require.Equal(t, ReasonNoVersion, res.Unmet[0].Reason)
}

func TestRuleMovesBetweenRegions(t *testing.T) {
	rule := chatRule("v1", 3)
	rule.Regions = []string{"a"}
	f := newFleet(12, rule)
	f.settle(t)
	require.Zero(t, f.perZone("v1")["b1"])
	f.inv.Rules[0].Regions = []string{"b"}
	for range 10 {
		f.plan(t)
		f.stepAgents()
		require.GreaterOrEqual(t, f.liveOn("v1"), 3, "the old region serves until the new one serves")
	}
	f.settle(t)
	require.Equal(t, map[string]int{"b1": 3}, f.perZone("v1"))
	// A region without VMs takes no replicas down below the minimum.
	f.inv.Rules[0].Regions = []string{"nowhere"}
	res := f.settle(t)
	require.Equal(t, 2, f.liveOn("v1"))
	require.Equal(t, ReasonTooFewVMs, res.Unmet[0].Reason)
	// Deleting the rule removes its replicas.
	f.inv.Rules = nil
	f.settle(t)
	require.Zero(t, f.liveOn("v1"))
}

func TestRollWithMinLiveEqualToCopies(t *testing.T) {
	rule := chatRule("v1", 3)
	rule.MinLive = 3
	for _, tc := range []struct {
		vms  int
		live string
		why  Reason
	}{
		{vms: 4, live: "v2"},
		{vms: 3, live: "v1", why: ReasonNoRoomToRoll},
	} {
		f := newFleet(tc.vms, rule)
		f.settle(t)
		f.inv.Rules[0].Version = "v2"
		var res Result
		for range 60 {
			res = f.plan(t)
			f.stepAgents()
			require.GreaterOrEqual(t, f.liveOn("v1")+f.liveOn("v2"), 3)
		}
		require.Equal(t, 3, f.liveOn(tc.live), "%d VMs", tc.vms)
		if tc.why != "" {
			require.Equal(t, []Unmet{{"r", tc.why, 3, 3}}, res.Unmet)
		}
	}
}

func TestMissingReportsTakeNoReplicaDown(t *testing.T) {
	f := newFleet(8, chatRule("v1", 4))
	f.settle(t)
	f.inv.Rules[0].Version = "v2"
	f.plan(t)
	f.inv.Rules[0].Regions = []string{"b"}
	f.lostReports = true // as after a change of leader
	for range 3 {
		f.plan(t)
		f.stepAgents()
		require.Equal(t, 4, f.liveOn("v1"))
	}
}

func TestRulesThatCannotBeMet(t *testing.T) {
	for _, tc := range []struct {
		rule inventory.Rule
		want Unmet
	}{
		{chatRule("v1", 9), Unmet{"r", ReasonTooFewVMs, 9, 6}},
		{chatRule("v9", 2), Unmet{"r", ReasonNoVersion, 2, 0}},
		{chatRule("v1", -1), Unmet{"r", ReasonNegativeCopies, 0, 0}},
		{inventory.Rule{Name: "r", Service: "other", Copies: 1}, Unmet{"r", ReasonNoService, 1, 0}},
	} {
		f := newFleet(6, tc.rule)
		res := f.plan(t)
		require.Equal(t, []Unmet{tc.want}, res.Unmet)
	}
}

func TestVMThatIsDownKeepsItsAssignment(t *testing.T) {
	f := newFleet(3, chatRule("v1", 3))
	f.settle(t)
	cut := f.firstLive("v1")
	wants := f.agents[cut].wants
	f.agents[cut].member.State = inventory.MemberDown
	res := f.settle(t)
	require.Equal(t, wants, f.agents[cut].wants, "without it the VM would unload the replica when it is up again")
	require.Len(t, res.Unmet, 1, "a VM that is down counts for no rule")
	f.agents[cut].member.State = inventory.MemberUp
	require.Empty(t, f.plan(t).Assignments, "its replica is chosen again")
}

func TestCanaryBesideTheMainRule(t *testing.T) {
	f := newFleet(8, chatRule("v1", 8))
	f.settle(t)
	canary := chatRule("v2", 2)
	canary.Name = "canary"
	f.inv.Rules[0].Copies = 6
	f.inv.Rules = append(f.inv.Rules, canary)
	for range 20 {
		f.plan(t)
		f.stepAgents()
		require.GreaterOrEqual(t, f.liveOn("v1")+f.liveOn("v2"), 6)
	}
	require.Equal(t, 6, f.liveOn("v1"))
	require.Equal(t, 2, f.liveOn("v2"))
	f.inv.Rules = f.inv.Rules[:1]
	f.inv.Rules[0].Copies = 8
	f.settle(t)
	require.Equal(t, 8, f.liveOn("v1"))
}
