package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/reservation"
	reservations "lynxgate.dev/lynxgate/internal/reservation/client"
	"lynxgate.dev/lynxgate/internal/urgency"
)

// ReservationMode says for which services slots of engines are reserved with their agents.
type ReservationMode string

// The modes.
const (
	// ReservationsAuto: where requests to a service have ranks, or its servers share their VMs with other work.
	ReservationsAuto   ReservationMode = "auto"
	ReservationsAlways ReservationMode = "always"
	ReservationsNever  ReservationMode = "never"
)

// Valid reports whether m is a mode; empty is ReservationsAuto.
func (m ReservationMode) Valid() bool {
	return slices.Contains([]ReservationMode{"", ReservationsAuto, ReservationsAlways, ReservationsNever}, m)
}

// Reservations asks agents for slots of engines. reservations.Client implements it.
type Reservations interface {
	// Available reports whether the agent beside the server at an address may be asked.
	Available(server string, now time.Time) bool
	// Ask asks for a slot. An error means that there is no decision within the timeout.
	Ask(ctx context.Context, server string, born int64, timeout time.Duration, r reservation.Request) (reservation.Decision, error)
	// Release ends a reservation.
	Release(server string, born int64, id string)
}

const (
	// maxAsks is how many agents are asked for one choice of a server. The first strictAsks are asked for a
	// slot with little wait, so that a request finds an idle engine while another one has a queue; then those
	// that refused are asked for what they have, the one with the least wait first.
	maxAsks    = 5
	strictAsks = 3
	// strictShare is the part of the accepted wait that strict asks allow.
	strictShare = 0.4
	// askShare is the part of the objective that all calls for one choice of a server may take: a caller
	// who is refused must learn so early. maxAskTime applies without an objective.
	askShare   = 1.0 / 8
	maxAskTime = 100 * time.Millisecond
)

// asked is what the agents have decided on a request.
type asked struct {
	// n counts the agents asked, for all attempts; took is the time that this took.
	n    int
	took time.Duration
	// reason is that of the last refusal for the present choice, ReasonNone if there is none; again the
	// least time after which a refusing agent predicts to grant it, 0 if not known.
	reason reservation.Reason
	again  time.Duration
	// last is the last decision, server the server that it is about.
	last   reservation.Decision
	server string
	// granted: the last choice has a reservation.
	granted bool
}

// note records a decision.
func (a *asked) note(server string, d reservation.Decision) {
	a.last, a.server = d, server
	a.granted, a.reason = d.Granted, d.Reason
	if d.Again > 0 && (a.again == 0 || d.Again < a.again) {
		a.again = d.Again
	}
}

// reserves reports whether slots of the service's servers are reserved.
func (g *Gateway) reserves(service string) bool {
	if g.cfg.Reservations == nil {
		return false
	}
	switch g.cfg.ReservationMode {
	case ReservationsNever:
		return false
	case ReservationsAlways:
		return true
	}
	return g.ranks.Load().Enabled(service) || g.balancer.SharedHosts(service)
}

// reserve chooses a server whose agent grants a slot. decided is false if the balancer must decide by the
// servers' reports: slots are not reserved, or no agent has decided.
func (c *call) reserve(ctx context.Context, want balance.Requirements) (choice balance.Choice, capacity balance.Availability, decided bool) {
	c.asked.reason, c.asked.again, c.asked.granted = reservation.ReasonNone, 0, false
	if c.engine() == nil || !c.g.reserves(c.service) {
		return balance.Choice{}, balance.Availability{}, false
	}
	r := c.newReserving(want, &c.asked)
	if choice = r.strict(ctx); choice.Server == nil {
		if choice = r.relaxed(ctx); choice.Server == nil {
			choice = r.anyway(ctx)
		}
	}
	c.asked.took += clock.Since(r.began)
	return choice, r.capacity, choice.Server != nil || r.refused && !r.silent
}

// newReserving returns a choice of a server for a request as it is now.
func (c *call) newReserving(want balance.Requirements, a *asked) *reserving {
	r := &reserving{call: c, want: want, asked: a, began: clock.Now()}
	r.want.Exclude = slices.Clone(want.Exclude)
	r.want.Reserves = func(server string) bool { return c.g.cfg.Reservations.Available(server, clock.Now()) }
	r.request = reservation.Request{
		ID: c.id, Rank: c.rank.Index, Weight: c.rank.Weight, Retry: c.clientRetry, Resumed: c.events > 0,
		Prompt: c.promptTokens(c.engine()), Answer: c.expectedAnswer(), Gap: c.route.GapObjective, Version: want.Version,
	}
	return r
}

// reserving is one choice of a server whose slots are reserved.
type reserving struct {
	call *call
	want balance.Requirements
	// request is what agents are asked for, but for times, and for the accepted wait, which want has.
	request reservation.Request
	asked   *asked
	began   time.Time
	asks    int
	// capacity is what the balancer knew at first.
	capacity balance.Availability
	// full and slow are the servers that refused for these reasons, with the wait and the time to the first
	// event that they predict.
	full, slow []predicted
	// refused: an agent has refused; silent: one has not answered.
	refused, silent bool
}

// predicted is a server that refused, and how long a request would take there.
type predicted struct {
	server *balance.Server
	time   time.Duration
}

// strict asks for a slot with little wait, at the servers that are best by their known load.
func (r *reserving) strict(ctx context.Context) balance.Choice {
	budget := r.want.Budget
	defer func() { r.want.Budget = budget }()
	r.want.Budget = time.Duration(strictShare * float64(budget))
	for r.asks < strictAsks && r.hasTime() {
		choice, seen := r.call.g.balancer.Pick(clock.Now(), r.want)
		if r.asks == 0 {
			r.capacity = seen
		}
		if choice.Server == nil || !choice.Reserve {
			return choice // a server whose agent does not answer, and that has room by its reports
		}
		if r.ask(ctx, &choice, false) {
			return choice
		}
		r.want.Exclude = append(r.want.Exclude, choice.Server)
	}
	return balance.Choice{}
}

// relaxed asks the servers that are full for the whole accepted wait.
func (r *reserving) relaxed(ctx context.Context) balance.Choice {
	return r.askInOrder(ctx, r.full, false)
}

// anyway asks the servers where the request will be late, which for its caller is better than a refusal.
func (r *reserving) anyway(ctx context.Context) balance.Choice {
	return r.askInOrder(ctx, r.slow, true)
}

// askInOrder asks servers that refused once more, the one with the shortest predicted time first.
func (r *reserving) askInOrder(ctx context.Context, refused []predicted, anyway bool) balance.Choice {
	order := slices.SortedFunc(slices.Values(refused), func(a, b predicted) int { return cmp.Compare(a.time, b.time) })
	for _, p := range order {
		if choice, ok := r.askAgain(ctx, p.server, anyway); ok {
			return choice
		}
	}
	return balance.Choice{}
}

// askAgain asks one server once more, if there is time.
func (r *reserving) askAgain(ctx context.Context, server *balance.Server, anyway bool) (balance.Choice, bool) {
	if r.asks >= maxAsks || !r.hasTime() {
		return balance.Choice{}, false
	}
	want := r.want
	want.Only = server
	want.Exclude = slices.DeleteFunc(slices.Clone(want.Exclude), func(s *balance.Server) bool { return s == server })
	choice, _ := r.call.g.balancer.Pick(clock.Now(), want)
	switch {
	case choice.Server == nil:
		return balance.Choice{}, false
	case !choice.Reserve:
		r.call.g.balancer.Done(&choice, clock.Now(), balance.ResultUnknown)
		return balance.Choice{}, false
	}
	return choice, r.ask(ctx, &choice, anyway)
}

func (r *reserving) hasTime() bool { return clock.Since(r.began) < r.call.askTime() }

// ask asks the agent beside a chosen server for a slot. Without a grant the choice ends.
func (r *reserving) ask(ctx context.Context, choice *balance.Choice, anyway bool) bool {
	c, server, born, id := r.call, choice.Server.Addr, choice.StartUnixMs, r.request.ID
	decision, err := c.g.cfg.Reservations.Ask(ctx, server, born, reservations.Timeout(c.route.Objective), r.requestAt(clock.Now(), anyway))
	now := clock.Now()
	r.asks++
	r.asked.n++
	if err != nil {
		r.silent = true
		c.g.balancer.Done(choice, now, balance.ResultUnknown)
		return false
	}
	c.g.balancer.Decided(choice, now, decision)
	r.asked.note(choice.Server.ID, decision)
	if decision.Granted {
		choice.OnDone = func() { c.g.cfg.Reservations.Release(server, born, id) }
		return true
	}
	r.refused = true
	switch decision.Reason {
	case reservation.ReasonFull:
		r.full = append(r.full, predicted{choice.Server, decision.Wait})
	case reservation.ReasonSlow:
		r.slow = append(r.slow, predicted{choice.Server, decision.FirstEvent})
	}
	c.g.balancer.Done(choice, now, balance.ResultUnknown)
	return false
}

// requestAt returns what an agent is asked for at this time.
func (r *reserving) requestAt(now time.Time, anyway bool) reservation.Request {
	request := r.request
	request.Budget, request.Left, request.Anyway = r.want.Budget, r.call.deadline.Sub(now), anyway
	if !r.want.Due.IsZero() {
		request.Due = max(r.want.Due.Sub(now), 0)
	}
	return request
}

// askTime returns how long all calls for one choice of a server may take.
func (c *call) askTime() time.Duration {
	if c.route.Objective <= 0 {
		return maxAskTime
	}
	return time.Duration(askShare * float64(c.route.Objective))
}

// expectedAnswer returns the length that the answer, or its rest, will hardly exceed, in tokens.
func (c *call) expectedAnswer() int {
	e := c.engine()
	answer := c.g.learned.answerLength(c.service, e, c.route.Name, c.size)
	return max(answer-c.received*max(e.Stride, 1), 0)
}

// enginePriority returns the request's priority in an engine's queue, 0 if the service has no ranks.
func (c *call) enginePriority() int {
	switch {
	case c.rank.Priority == 0:
		return 0
	case c.events > 0:
		return urgency.PriorityResumed
	case c.clientRetry:
		return urgency.PriorityRetry
	}
	return c.rank.Priority
}

// refusalReasons are the reasons given to callers whose request got no slot.
var refusalReasons = map[reservation.Reason]string{
	reservation.ReasonFull:    "all backend servers are full",
	reservation.ReasonSlow:    "all backend servers are full",
	reservation.ReasonRank:    "all backend servers are full, and others come first",
	reservation.ReasonLoading: "backend servers load weights",
	reservation.ReasonVersion: "no backend server can take it",
	reservation.ReasonUnknown: "no backend server can take it",
}

func refusalReason(r reservation.Reason) string { return refusalReasons[r] }

// learn records how long a complete answer was, and whether a caller that returned after a refusal was served.
func (c *call) learn() {
	e := c.engine()
	if e == nil || !c.g.reserves(c.service) {
		return
	}
	served := c.status/100 == 2 && !c.broken
	if served && c.received > 0 && c.lastEventOf == "" {
		c.g.learned.answered(c.service, e, c.route.Name, c.size, c.received*max(e.Stride, 1))
	}
	if c.clientRetry && c.status != statusClientGone {
		c.g.learned.returned(clock.Now(), c.service, served)
	}
}

// describeReservation adds the request's rank, the agents that were asked for a slot, and what the last one has
// decided.
func (c *call) describeReservation(event *zerolog.Event) {
	if c.rank.Priority > 0 {
		event.Int("rank", c.rank.Index).Float64("weight", c.rank.Weight)
	}
	if c.asked.n == 0 {
		return
	}
	d := c.asked.last
	event.Int("asks", c.asked.n).Dur("asked_ms", c.asked.took).Bool("reserved", c.asked.granted).Str("agent_of", c.asked.server).
		Str("decision", decisionName(d)).Dur("predicted_wait_ms", d.Wait).Dur("predicted_first_ms", d.FirstEvent).Dur("predicted_end_ms", d.End).
		Float64("pace", d.Load.Pace).Dur("pace_age_ms", d.Load.Age).Int("running", d.Load.Running).Int("waiting", d.Load.Waiting).Int("reservations", d.Load.Reserved)
	if c.asked.again > 0 {
		event.Dur("again_ms", c.asked.again)
	}
}

// decisionName returns the name of a decision in logs.
func decisionName(d reservation.Decision) string {
	if d.Granted {
		return "granted"
	}
	return d.Reason.String()
}
