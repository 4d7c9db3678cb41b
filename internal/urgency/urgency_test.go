package urgency

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
)

func table(priorities ...int) *fleet.Table {
	c := &fleet.Config{
		Services: []fleet.Service{{Name: "model", Engine: &fleet.Engine{}}, {Name: "plain"}},
		Organisations: []fleet.Organisation{
			{Name: "urgent", Priority: 0}, {Name: "usual", Priority: 1}, {Name: "unset", Priority: -1},
		},
	}
	for _, p := range priorities {
		c.Routes = append(c.Routes, fleet.Route{Kind: fleet.KindStream, Priority: p, Targets: []fleet.Target{{Service: "model", Weight: 1}}})
	}
	c.Routes = append(c.Routes, fleet.Route{Kind: fleet.KindSafe, Priority: 9, Targets: []fleet.Target{{Service: "plain", Weight: 1}, {Service: "model", Weight: 1}}})
	return fleet.NewTable(c)
}

// Fleets whose routes to engines all have one priority must be served as before.
func TestEqualPrioritiesOfRoutesHaveNoRanks(t *testing.T) {
	r := New(table(1, 1, 1))
	assert.False(t, r.Enabled("model"))
	assert.False(t, r.Enabled("plain"))
	assert.Equal(t, Rank{Weight: 1}, r.Of("model", &fleet.Route{Priority: 1}, &fleet.Organisation{Priority: 1}))
	var none *Ranks
	assert.False(t, none.Enabled("model"))
}

func TestOrganisationGoesBeforeRoute(t *testing.T) {
	r := New(table(2, 0, 1, 0))
	assert.True(t, r.Enabled("model"))
	last := -1
	for _, org := range []int{0, 1} {
		for _, route := range []int{0, 1, 2} {
			got := r.Of("model", &fleet.Route{Priority: route}, &fleet.Organisation{Priority: org})
			assert.Equal(t, last+1, got.Index)
			last = got.Index
		}
	}
	assert.Equal(t, r.Of("model", &fleet.Route{Priority: 1}, nil), r.Of("model", &fleet.Route{Priority: 1}, &fleet.Organisation{Priority: -1}))
}

// A route without streams, or a caller without an organisation, must not become the most urgent by omission.
func TestWithoutAPlaceInTheOrderComesLast(t *testing.T) {
	r := New(table(0, 1, 2))
	assert.Equal(t, 5, r.Of("model", &fleet.Route{Priority: 9}, nil).Index)
	assert.Equal(t, 5, r.Of("model", &fleet.Route{Priority: 2}, &fleet.Organisation{Priority: -1}).Index)
}

// No rank may be starved, and none may be served less than a less urgent one.
func TestWeightsAndPrioritiesFollowUrgency(t *testing.T) {
	r := New(table(0, 1, 2))
	first := r.Of("model", &fleet.Route{Priority: 0}, &fleet.Organisation{Priority: 0})
	last := r.Of("model", &fleet.Route{Priority: 2}, &fleet.Organisation{Priority: 1})
	assert.Equal(t, Rank{Index: 0, Weight: 1, Priority: 3}, first)
	assert.Greater(t, last.Weight, 0.4)
	assert.Equal(t, priorityLast, last.Priority)
	usual := r.Of("model", &fleet.Route{Priority: 1}, &fleet.Organisation{Priority: 0})
	assert.Less(t, usual.Weight, first.Weight)
	assert.Greater(t, usual.Priority, first.Priority)
}
