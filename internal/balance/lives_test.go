package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// atOneAddress returns the records of two starts at one address: the first one crashed,
// and the second one has registered.
func atOneAddress() (dead, alive *fleet.BackendServer) {
	dead, alive = record("1", "here", 1), record("2", "here", 1)
	dead.StartedAt, alive.StartedAt = start.Add(-time.Minute), start.Add(-time.Second)
	dead.SeenAt = start.Add(-3 * time.Second)
	dead.Addr = alive.Addr
	return dead, alive
}

func TestDeadStartIsNotChosenAgain(t *testing.T) {
	dead, alive := atOneAddress()
	b := balancer(view(dead, alive))
	for range 20 {
		assert.Equal(t, "2", pick(t, b, start, want()).Server.ID)
	}
	b.Renewed("1", start.Add(time.Second)) // an announcement that was delayed
	for range 20 {
		assert.Equal(t, "2", pick(t, b, start.Add(time.Second), want()).Server.ID, "a late announcement brings nobody back")
	}
	late := *dead
	late.SeenAt = start.Add(2 * time.Second) // and one that says something else
	b.SetView(view(&late, alive))
	for range 20 {
		assert.Equal(t, "2", pick(t, b, start.Add(2*time.Second), want()).Server.ID)
	}
	assert.Zero(t, b.servers["1"].inFlight)
}

func TestAddressOfAnotherServiceIsLeft(t *testing.T) {
	dead, alive := atOneAddress()
	v := view(dead)
	v.Servers["plain"] = []*fleet.BackendServer{alive}
	config := *v.Table.Config
	config.Services = append(config.Services, fleet.Service{Name: "plain"})
	v.Table = fleet.NewTable(&config)
	alive.Service = "plain"
	b := balancer(v)
	none, _ := b.Pick(start, want())
	assert.Nil(t, none.Server)
}

func TestReportsAndSharesAreOfTheStartThatIsThere(t *testing.T) {
	dead, alive := atOneAddress()
	b := balancer(view(dead, alive))
	b.Reported(start, Report{Addr: alive.Addr, Models: alive.Models, Running: 3, Waiting: 2})
	assert.False(t, b.servers["1"].load.known)
	assert.Equal(t, 3, b.servers["2"].load.running)
	assert.Equal(t, map[string]time.Duration{service: 0}, b.DirectoryAge(start), "the dead one is not waited for")

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
		assert.Equal(t, s.own, both.servers[id].own, "server %s: a dead start is nobody's share", id)
	}
}

func TestWrongOrderOfStartsIsSetRight(t *testing.T) {
	dead, alive := atOneAddress()
	dead.StartedAt, alive.StartedAt = alive.StartedAt, dead.StartedAt // late announcements were all that was heard
	b := balancer(view(dead, alive))
	c := pick(t, b, start, want())
	require.Equal(t, "1", c.Server.ID)
	b.Done(c, start, EndedGone) // the server says who it is
	for range 20 {
		assert.Equal(t, "2", pick(t, b, start, want()).Server.ID)
	}
	b.SetView(view(dead, alive))
	assert.Equal(t, "2", pick(t, b, start, want()).Server.ID)
}

func TestStartThatGoesOnToBeHeardIsThere(t *testing.T) {
	dead, alive := atOneAddress()
	dead.StartedAt, alive.StartedAt = alive.StartedAt, dead.StartedAt
	b := balancer(view(dead, alive))
	b.Renewed("2", dead.SeenAt.Add(5*time.Second))
	assert.Equal(t, "1", pick(t, b, start, want()).Server.ID)
	b.Renewed("2", dead.SeenAt.Add(6*time.Second))
	chosen := map[string]bool{}
	for range 40 {
		c := pick(t, b, start, want())
		chosen[c.Server.ID] = true
		b.Done(c, start, EndedElse)
	}
	assert.True(t, chosen["2"], "it is heard though the other is not")
}

func TestUndecidedStartsAreBothTried(t *testing.T) {
	dead, alive := atOneAddress()
	dead.StartedAt = alive.StartedAt.Add(-time.Second)
	b := balancer(view(dead, alive))
	_, room := b.Pick(start, want())
	assert.Equal(t, 2, room.Fit)
}
