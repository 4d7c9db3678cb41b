package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
)

const (
	service = "drafts"
	model   = "m"
)

var start = time.Unix(1000, 0)

func record(id, zone string, version uint64) *fleet.BackendServer {
	return &fleet.BackendServer{
		ID: id, Service: service, Addr: "127.0.0.1:" + id, Zone: zone, Slots: 4, SeenAt: start,
		Models: []fleet.Loaded{{Model: model, Version: version, To: 16}},
	}
}

func view(records ...*fleet.BackendServer) *follow.View {
	config := &fleet.Config{Version: 1, Services: []fleet.Service{{Name: service, MaxConns: 64, Engine: &fleet.Engine{
		Slots: 4, Stride: 1, Step: 10 * time.Millisecond, ReadPerSecond: 10_000, UsualPrompt: 1000, UsualAnswer: 100, Layers: 16,
	}}}}
	return &follow.View{
		Table: fleet.NewTable(config), Entries: []follow.Entry{{Name: "entry", Zone: "here"}, {Name: "other", Zone: "there"}},
		Servers: map[string][]*fleet.BackendServer{service: records},
	}
}

func balancer(v *follow.View) *Balancer {
	b := New(Config{Name: "entry", Zone: "here", VersionBound: 8 * time.Second, Logger: zerolog.Nop()})
	b.SetView(v)
	return b
}

func want() Requirements { return Requirements{Service: service, Model: model, Budget: time.Hour} }

func pick(t *testing.T, b *Balancer, now time.Time, w Requirements) *Choice {
	t.Helper()
	c, _ := b.Pick(now, w)
	require.NotNil(t, c.Server)
	return &c
}

func TestSameZoneIsPreferredUntilBusier(t *testing.T) {
	b := balancer(view(record("1", "here", 1), record("2", "there", 1)))
	first := pick(t, b, start, want())
	assert.Equal(t, "1", first.Server.ID)
	b.LoadReported(first.Server, start, 4, 4, 0)
	assert.Equal(t, "2", pick(t, b, start, want()).Server.ID)
}

func TestWaitIncludesUnreadPrompts(t *testing.T) {
	b := balancer(view(record("1", "here", 1), record("2", "here", 1)))
	long := want()
	long.Read = 400 * time.Millisecond
	first := pick(t, b, start, long)
	second := pick(t, b, start, want())
	assert.NotEqual(t, first.Server, second.Server, "a long prompt is being read there")
	short := want()
	short.Budget, short.Exclude = 300*time.Millisecond, []*Server{second.Server}
	none, availability := b.Pick(start, short)
	assert.Nil(t, none.Server)
	assert.Equal(t, Availability{Known: 2, Fit: 1, Tried: 1, Soonest: 400 * time.Millisecond}, availability)
	b.FirstEvent(first, start)
	assert.Equal(t, first.Server, pick(t, b, start, short).Server, "its prompt has been read")
}

func TestBudgetIncludesWaitForSlot(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	c := pick(t, b, start, want())
	b.LoadReported(c.Server, start, 4, 2, 0)
	w := want()
	w.Budget = 900 * time.Millisecond // 3 requests before it, 350 ms each
	none, _ := b.Pick(start, w)
	assert.Nil(t, none.Server)
	w.Budget = 1200 * time.Millisecond
	pick(t, b, start, w)
}

func TestLeavingOrLoadingServerIsNotChosen(t *testing.T) {
	leaving := record("1", "here", 1)
	leaving.State = fleet.StateDraining
	b := balancer(view(leaving, record("2", "there", 1)))
	assert.Equal(t, "2", pick(t, b, start, want()).Server.ID)
	b.Reported(start, Report{Addr: "127.0.0.1:2", Loading: true, Models: []fleet.Loaded{{Model: model, Version: 1, To: 16}}, Running: 1})
	none, _ := b.Pick(start, want())
	assert.Nil(t, none.Server)
	_, _ = b.Pick(start, want())
	pick(t, b, start.Add(maxReportAge), want()) // the last report of a silent agent is not used
}

func TestOldVersionIsNotUsedAfterBound(t *testing.T) {
	v := view(record("1", "here", 1), record("2", "there", 2))
	v.Versions = map[string]ledger.Version{model: ledger.Version{}.Next(2, start)}
	b := balancer(v)
	assert.Equal(t, "1", pick(t, b, start.Add(time.Second), want()).Server.ID)
	assert.Equal(t, "2", pick(t, b, start.Add(8*time.Second), want()).Server.ID)
	pinned := want()
	pinned.Version = 1
	none, _ := b.Pick(start.Add(8*time.Second), pinned)
	assert.Nil(t, none.Server)
}

func TestPartlyLoadedServerIsNotChosen(t *testing.T) {
	half := record("1", "here", 1)
	half.Models[0].To = 8
	b := balancer(view(half))
	none, availability := b.Pick(start, want())
	assert.Nil(t, none.Server)
	assert.Equal(t, Availability{Known: 1, Empty: 1}, availability)
}

func TestFailingServerIsEjectedAndProbed(t *testing.T) {
	b := balancer(view(record("1", "here", 1), record("2", "there", 1)))
	for range 3 {
		c := pick(t, b, start, Requirements{Service: service, Model: model, Budget: time.Hour, Exclude: b.services[service][1:]})
		require.Equal(t, "1", c.Server.ID)
		b.Done(c, start, ResultFailed)
	}
	assert.Equal(t, "2", pick(t, b, start, want()).Server.ID)
	later := start.Add(baseEjectionTime)
	only := Requirements{Service: service, Model: model, Budget: time.Hour, Exclude: b.services[service][1:]}
	probe := pick(t, b, later, only)
	none, _ := b.Pick(later, only)
	assert.Nil(t, none.Server, "one request at a time until one succeeds")
	b.Done(probe, later, ResultSucceeded)
	pick(t, b, later, only)
	pick(t, b, later, only)
}

func TestSilentServerIsEjected(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	c := pick(t, b, start, want())
	assert.False(t, b.Silent(c.Server, start.Add(silentAfter)))
	assert.True(t, b.Silent(c.Server, start.Add(silentAfter+1)))
	b.BytesReceived(c.Server, start.Add(time.Second))
	assert.False(t, b.Silent(c.Server, start.Add(time.Second)))
	b.Done(c, start.Add(time.Second), ResultSilent)
	assert.Equal(t, silentExcess, c.Server.excess.now(start.Add(time.Second)), "sent requests may still arrive")
	none, _ := b.Pick(start.Add(time.Second), want())
	assert.Nil(t, none.Server)
}

func TestServerWithReusedAddressIsRetired(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	b.Done(pick(t, b, start, want()), start, ResultReplaced)
	none, _ := b.Pick(start, want())
	assert.Nil(t, none.Server)
	b.SetView(view(record("1", "here", 1)))
	none, _ = b.Pick(start, want())
	assert.Nil(t, none.Server, "an announcement of the old incarnation changes nothing")
}

func TestDoneReleasesSlot(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	w := want()
	w.Read = time.Second
	c := pick(t, b, start, w)
	b.Done(c, start, ResultUnknown)
	assert.Zero(t, c.Server.inFlight)
	assert.Zero(t, c.Server.pendingRead)
}

func TestServerBehindSlowLinkIsAvoided(t *testing.T) {
	v := view(record("1", "here", 1), record("2", "there", 1))
	v.Versions = map[string]ledger.Version{model: ledger.Version{}.Next(2, start)}
	b := balancer(v)
	for range 4 {
		c := pick(t, b, start, Requirements{Service: service, Model: model, Budget: time.Hour, Exclude: b.services[service][1:]})
		b.FirstEvent(c, start.Add(900*time.Millisecond))
		b.Done(c, start.Add(900*time.Millisecond), ResultSucceeded)
	}
	now := start.Add(900 * time.Millisecond)
	assert.Equal(t, "2", pick(t, b, now, want()).Server.ID)
	short := Requirements{Service: service, Model: model, Budget: 100 * time.Millisecond, Exclude: b.services[service][1:]}
	none, availability := b.Pick(now, short)
	assert.Nil(t, none.Server)
	assert.Equal(t, 1, availability.Late)
	pick(t, b, now.Add(6*time.Second), short) // it is used again
	// Attempts arrive late there, so that its old version is excluded earlier.
	b.servers["1"].excess = excess{value: time.Second, at: start.Add(6 * time.Second)}
	only := Requirements{Service: service, Model: model, Budget: time.Hour, Exclude: b.services[service][1:]}
	none, _ = b.Pick(start.Add(6*time.Second), only)
	assert.Nil(t, none.Server)
}

// Guards against a full server that is counted as a late one.
func TestFullServerIsNotCountedAsLate(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	short := want()
	short.Budget = 100 * time.Millisecond
	for range b.servers["1"].slots() {
		pick(t, b, start, want())
	}
	b.servers["1"].excess = excess{value: time.Second, at: start}
	none, availability := b.Pick(start, short)
	assert.Nil(t, none.Server)
	assert.Equal(t, 1, availability.Fit)
	assert.Zero(t, availability.Late)
}

func TestAgentReportsDelaySilence(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	c := pick(t, b, start, want())
	later := start.Add(silentAfter + 1)
	b.Reported(later, Report{Addr: "127.0.0.1:1", Models: []fleet.Loaded{{Model: model, Version: 1, To: 16}}, Running: 1})
	assert.False(t, b.Silent(c.Server, later))
	assert.True(t, b.Silent(c.Server, later.Add(silentAfter+1)), "the agent is silent too")
	much := start.Add(silentAfterReport + 1)
	b.Reported(much, Report{Addr: "127.0.0.1:1", Models: []fleet.Loaded{{Model: model, Version: 1, To: 16}}, Running: 1})
	assert.True(t, b.Silent(c.Server, much))
}

// manyEntries returns a view with this many entries and servers in one zone.
func manyEntries(entries, servers int) *follow.View {
	var records []*fleet.BackendServer
	for i := range servers {
		records = append(records, record(fmt.Sprint(i+1), "here", 1))
	}
	v := view(records...)
	v.Entries = nil
	for i := range entries {
		v.Entries = append(v.Entries, follow.Entry{Name: fmt.Sprint("entry-", i), Zone: "here"})
	}
	return v
}

func named(name string, v *follow.View) *Balancer {
	b := New(Config{Name: name, Zone: "here", VersionBound: 8 * time.Second, Logger: zerolog.Nop()})
	b.SetView(v)
	return b
}

func TestEntriesChooseDifferentServers(t *testing.T) {
	v := manyEntries(15, 30)
	first := map[string]bool{}
	for _, e := range v.Entries {
		first[pick(t, named(e.Name, v), start, want()).Server.ID] = true
	}
	assert.Len(t, first, len(v.Entries))
}

func TestOwnedServersAreBalanced(t *testing.T) {
	v := manyEntries(5, 14)
	owner := map[string]string{}
	for _, e := range v.Entries {
		owned := 0
		for _, s := range named(e.Name, v).services[service] {
			assert.NotEqual(t, s.owned, s.otherOwner)
			if s.owned {
				assert.Empty(t, owner[s.ID], "a server has one owner")
				owner[s.ID] = e.Name
				owned++
			}
		}
		assert.GreaterOrEqual(t, owned, 2)
		assert.LessOrEqual(t, owned, 3)
	}
	assert.Len(t, owner, 14)
}

func TestJoiningEntryChangesFewOwners(t *testing.T) {
	before, after := manyEntries(5, 40), manyEntries(5, 41)
	changed := 0
	for _, e := range before.Entries {
		own := map[string]bool{}
		for _, s := range named(e.Name, before).services[service] {
			own[s.ID] = s.owned
		}
		for _, s := range named(e.Name, after).services[service] {
			if s.owned && !own[s.ID] {
				changed++
			}
		}
	}
	assert.LessOrEqual(t, changed, 8, "of 41 servers")
}

func TestOverflowGoesToServersOfOthers(t *testing.T) {
	v := manyEntries(2, 2)
	b := named("entry-0", v)
	own := pick(t, b, start, want())
	require.True(t, own.Server.owned)
	b.LoadReported(own.Server, start, 4, 4, 0)
	other := pick(t, b, start, want())
	assert.True(t, other.Server.otherOwner)
}

func TestNoOwnersWithMoreEntriesThanServers(t *testing.T) {
	for _, s := range named("entry-0", manyEntries(5, 4)).services[service] {
		assert.False(t, s.owned || s.otherOwner)
	}
}

// With more entries than fullScanEntries only some servers are evaluated: those are of the allowed regions.
func TestRestrictedRequestUsesOnlyServersOfItsRegions(t *testing.T) {
	var records []*fleet.BackendServer
	for i := range 30 {
		zone := "there"
		if i%10 == 0 {
			zone = "far"
		}
		records = append(records, record(fmt.Sprint(i+1), zone, 1))
	}
	v := view(records...)
	for i := range 2 * fullScanEntries {
		v.Entries = append(v.Entries, follow.Entry{Name: fmt.Sprint("e-", i), Zone: "there"})
	}
	b := New(Config{Name: "entry", Zone: "there", RegionOf: func(zone string) string { return zone }, VersionBound: 8 * time.Second, Logger: zerolog.Nop()})
	b.SetView(v)
	restricted := want()
	restricted.Residency = fleet.ResidencyOf(&fleet.Route{Regions: []string{"far", "unknown"}}, nil)
	used := map[string]bool{}
	for range 9 {
		c := pick(t, b, start, restricted)
		assert.Equal(t, "far", c.Server.record.Zone)
		used[c.Server.ID] = true
	}
	assert.Len(t, used, 3, "all servers there share the requests")
	restricted.Residency = fleet.ResidencyOf(&fleet.Route{Regions: []string{"unknown"}}, nil)
	none, availability := b.Pick(start, restricted)
	assert.Nil(t, none.Server)
	assert.Equal(t, Availability{Known: 30, Abroad: 30}, availability)
}
