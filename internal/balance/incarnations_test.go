package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// atOneAddress returns the records of two incarnations at one address: the first crashed, and the
// second has registered.
func atOneAddress() (crashed, current *fleet.BackendServer) {
	crashed, current = record("1", "here", 1), record("2", "here", 1)
	crashed.StartedAt, current.StartedAt = start.Add(-time.Minute), start.Add(-time.Second)
	crashed.SeenAt = start.Add(-3 * time.Second)
	crashed.Addr = current.Addr
	return crashed, current
}

func TestCrashedIncarnationIsNotChosenAgain(t *testing.T) {
	crashed, current := atOneAddress()
	b := balancer(view(crashed, current))
	for range 20 {
		assert.Equal(t, "2", pick(t, b, start, want()).Server.ID)
	}
	b.Announced("1", start.Add(time.Second)) // a delayed announcement
	for range 20 {
		assert.Equal(t, "2", pick(t, b, start.Add(time.Second), want()).Server.ID, "a late announcement does not restore a crashed incarnation")
	}
	late := *crashed
	late.SeenAt = start.Add(2 * time.Second) // and one with other content
	b.SetView(view(&late, current))
	for range 20 {
		assert.Equal(t, "2", pick(t, b, start.Add(2*time.Second), want()).Server.ID)
	}
	assert.Zero(t, b.servers["1"].inFlight)
}

func TestAddressReusedByAnotherService(t *testing.T) {
	crashed, current := atOneAddress()
	v := view(crashed)
	v.Servers["plain"] = []*fleet.BackendServer{current}
	config := *v.Table.Config
	config.Services = append(config.Services, fleet.Service{Name: "plain"})
	v.Table = fleet.NewTable(&config)
	current.Service = "plain"
	b := balancer(v)
	none, _ := b.Pick(start, want())
	assert.Nil(t, none.Server)
}

func TestReportsAndOwnersIgnoreCrashedIncarnation(t *testing.T) {
	crashed, current := atOneAddress()
	b := balancer(view(crashed, current))
	b.Reported(start, Report{Addr: current.Addr, Models: current.Models, Running: 3, Waiting: 2})
	assert.False(t, b.servers["1"].load.known)
	assert.Equal(t, 3, b.servers["2"].load.running)
	assert.Equal(t, map[string]time.Duration{service: 0}, b.DirectoryAge(start), "the crashed incarnation does not count")

	v := manyEntries(2, 3)
	gone := *v.Servers[service][2]
	gone.ID, gone.StartedAt = "0", start.Add(-time.Minute)
	for _, r := range v.Servers[service] {
		r.StartedAt = start
	}
	alone, beside := named("entry-0", v), manyEntries(2, 3)
	for _, r := range beside.Servers[service] {
		r.StartedAt = start
	}
	beside.Servers[service] = append(beside.Servers[service], &gone)
	both := named("entry-0", beside)
	for id, s := range alone.servers {
		assert.Equal(t, s.owned, both.servers[id].owned, "server %s: a crashed incarnation has no owner", id)
	}
}

func TestWrongOrderOfIncarnationsIsCorrected(t *testing.T) {
	crashed, current := atOneAddress()
	crashed.StartedAt, current.StartedAt = current.StartedAt, crashed.StartedAt // only late announcements were received
	b := balancer(view(crashed, current))
	c := pick(t, b, start, want())
	require.Equal(t, "1", c.Server.ID)
	b.Done(c, start, ResultReplaced) // the server answers with its identity
	for range 20 {
		assert.Equal(t, "2", pick(t, b, start, want()).Server.ID)
	}
	b.SetView(view(crashed, current))
	assert.Equal(t, "2", pick(t, b, start, want()).Server.ID)
}

func TestAnnouncedIncarnationIsNotReplaced(t *testing.T) {
	crashed, current := atOneAddress()
	crashed.StartedAt, current.StartedAt = current.StartedAt, crashed.StartedAt
	b := balancer(view(crashed, current))
	b.Announced("2", crashed.SeenAt.Add(5*time.Second))
	assert.Equal(t, "1", pick(t, b, start, want()).Server.ID)
	b.Announced("2", crashed.SeenAt.Add(6*time.Second))
	chosen := map[string]bool{}
	for range 40 {
		c := pick(t, b, start, want())
		chosen[c.Server.ID] = true
		b.Done(c, start, ResultUnknown)
	}
	assert.True(t, chosen["2"], "it is still announced, the other is not")
}

func TestUndecidedIncarnationsAreBothUsed(t *testing.T) {
	former, current := atOneAddress()
	former.StartedAt = current.StartedAt.Add(-time.Second)
	b := balancer(view(former, current))
	_, availability := b.Pick(start, want())
	assert.Equal(t, 2, availability.Fit)
}
