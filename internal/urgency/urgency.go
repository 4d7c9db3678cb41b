// Package urgency ranks requests to model engines by the priorities that operators give to
// organisations and routes. The rank decides which requests are served while there is less
// capacity than demand.
//
// State: none; Ranks is immutable. Messages: none.
package urgency

import (
	"math"
	"slices"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// Rank is the rank of a request among those to a service.
type Rank struct {
	// Index orders ranks; 0 is the most urgent.
	Index int
	// Weight is the share of this rank's work that is served under a sustained overload, relative to
	// that of the most urgent rank, which has 1.
	Weight float64
	// Priority is the priority in an engine's queue, 0 to 9, 0 first; 0 if the service has no ranks.
	Priority int
}

// weightStep is the ratio of the weights of two ranks that differ by one priority: the more urgent
// one is served a third more often. With two priorities of organisations and three of routes
// the least urgent rank keeps 0.42, so that none is starved.
const weightStep = 0.75

// Priorities in an engine's queue. Requests without one have 5.
const (
	// PriorityResumed is that of the rest of a stream, whose caller has part of its answer.
	PriorityResumed = 1
	// priorityFirst is that of the most urgent rank, priorityLast that of the least urgent ones.
	priorityFirst, priorityLast = 3, 7
	// PriorityRetry is that of client retries, which are late already.
	PriorityRetry = 8
)

// unranked is the rank of all requests to services without ranks.
var unranked = Rank{Weight: 1}

// Ranks are the ranks of one configuration.
type Ranks struct {
	// routes are the distinct priorities of the streaming routes to each engine service, ascending.
	routes map[string][]int
	// organisations are the distinct priorities of organisations, ascending.
	organisations []int
}

// New returns the ranks of a configuration.
func New(t *fleet.Table) *Ranks {
	r := &Ranks{routes: map[string][]int{}}
	for i := range t.Config.Routes {
		route := &t.Config.Routes[i]
		if route.Kind != fleet.KindStream {
			continue
		}
		for _, target := range route.Targets {
			if s := t.Service(target.Service); s != nil && s.Engine != nil && target.Weight > 0 {
				r.routes[target.Service] = append(r.routes[target.Service], route.Priority)
			}
		}
	}
	for service, priorities := range r.routes {
		r.routes[service] = distinct(priorities)
	}
	for i := range t.Config.Organisations {
		if p := t.Config.Organisations[i].Priority; p >= 0 {
			r.organisations = append(r.organisations, p)
		}
	}
	r.organisations = distinct(r.organisations)
	return r
}

// noPriority is the priority of an organisation that has none.
const noPriority = -1

// place returns the position of a priority in the order, the last one if it is not there.
func place(order []int, priority int) int {
	if i := slices.Index(order, priority); i >= 0 {
		return i
	}
	return max(len(order)-1, 0)
}

func distinct(values []int) []int {
	slices.Sort(values)
	return slices.Compact(values)
}

// Enabled reports whether requests to a service have ranks: its streaming routes have different
// priorities. Priorities of organisations alone do not enable ranks, since the configuration of
// every fleet has them.
func (r *Ranks) Enabled(service string) bool { return r != nil && len(r.routes[service]) > 1 }

// Of returns the rank of requests of a route and an organisation, which may be nil, to a service. The
// organisation's priority goes before the route's. A route or organisation without a place in the order, such as
// one without a priority, comes last, so that an omission gains nothing.
func (r *Ranks) Of(service string, route *fleet.Route, org *fleet.Organisation) Rank {
	if !r.Enabled(service) {
		return unranked
	}
	routes := r.routes[service]
	byRoute, byOrganisation := place(routes, route.Priority), place(r.organisations, noPriority)
	if org != nil {
		byOrganisation = place(r.organisations, org.Priority)
	}
	index := byOrganisation*len(routes) + byRoute
	return Rank{
		Index: index, Weight: math.Pow(weightStep, float64(byOrganisation+byRoute)),
		Priority: min(priorityFirst+index, priorityLast),
	}
}
