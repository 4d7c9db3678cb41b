package gateway

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
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
	// RoundTrip returns what the calls so far tell of the path to the server's VM.
	RoundTrip(server string) reservations.RoundTrip
}

const (
	// maxAsks is how many agents are asked in one search for a slot. The first strictAsks are asked for a
	// slot with little wait, so that a request finds an idle engine while another one has a queue; then those
	// that refused as full are asked for the whole accepted wait, the one with the least wait first.
	// The last ask is kept for a server where the request will be late, if there is one.
	maxAsks    = 5
	strictAsks = 3
	// strictShare is the part of the accepted wait that strict asks allow.
	strictShare = 0.4
	// askShare is the part of the objective that all calls of one search may take: a caller
	// who is refused must learn so early. maxAskTime applies without an objective.
	askShare   = 1.0 / 8
	maxAskTime = 100 * time.Millisecond
	// patientTimeout is the time for one more call if no agent or engine has answered. It is added to askShare.
	patientTimeout = 50 * time.Millisecond
)

// agentDecisions is what agents have decided on a request.
type agentDecisions struct {
	// asked counts the agents that were asked, for all attempts, silent those of them that did not answer; took
	// is the time of all searches.
	asked, silent int
	took          time.Duration
	// reason is why the last search found no slot, ReasonNone if it found one; again is the
	// least time after which an agent predicts to grant one, 0 if not known.
	reason reservation.Reason
	again  time.Duration
	// last is the last decision, server the server that it is about.
	last   reservation.Decision
	server string
	// granted: the last choice has a reservation.
	granted bool
}

// note records a decision.
func (a *agentDecisions) note(server string, d reservation.Decision) {
	a.last, a.server, a.granted = d, server, d.Granted
	switch {
	case d.Granted:
		a.reason = reservation.ReasonNone
	case a.reason == reservation.ReasonNone || lackOfSlots(d.Reason):
		a.reason = d.Reason
	}
	if d.Again > 0 && (a.again == 0 || d.Again < a.again) {
		a.again = d.Again
	}
}

// lackOfSlots reports whether a refusal says that the engine serves, but has no slot for the request.
func lackOfSlots(r reservation.Reason) bool {
	switch r {
	case reservation.ReasonFull, reservation.ReasonSlow, reservation.ReasonRank, reservation.ReasonRetry:
		return true
	}
	return false
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
// servers' reports: slots are not reserved, or no agent can be asked.
func (c *call) reserve(ctx context.Context, want balance.Requirements) (choice balance.Choice, capacity balance.Availability, decided bool) {
	c.agents.reason, c.agents.again, c.agents.granted = reservation.ReasonNone, 0, false
	if c.engine() == nil || !c.g.reserves(c.service) {
		return balance.Choice{}, balance.Availability{}, false
	}
	s := c.newSlotSearch(want, &c.agents)
	choice = s.run(ctx, true)
	c.agents.took += clock.Since(s.began)
	return choice, s.capacity, choice.Server != nil || s.asks > 0
}

// slotSearch is a search for a server whose agent grants a slot.
type slotSearch struct {
	call *call
	want balance.Requirements
	// request is what agents are asked for, but for times, and for the accepted wait, which want has.
	request   reservation.Request
	decisions *agentDecisions
	began     time.Time
	asks      int
	// capacity is what the balancer knew at first.
	capacity balance.Availability
	// full and slow are the servers that refused for these reasons, with the wait and the time to the first
	// event that they predict; silent are those whose agents did not answer, unheard these and those that did not
	// answer their agents.
	full, slow      []predicted
	silent, unheard []*balance.Server
}

// predicted is a server that refused, and how long a request would take there.
type predicted struct {
	server *balance.Server
	time   time.Duration
}

// newSlotSearch returns a search for a request as it is now.
func (c *call) newSlotSearch(want balance.Requirements, decisions *agentDecisions) *slotSearch {
	s := &slotSearch{call: c, want: want, decisions: decisions, began: clock.Now()}
	s.want.Exclude = slices.Clone(want.Exclude)
	s.want.Reserves = func(server string) bool { return c.g.cfg.Reservations.Available(server, clock.Now()) }
	s.request = reservation.Request{
		ID: c.nextReservationID(), Rank: c.rank.Index, Weight: c.rank.Weight, Retry: c.clientRetry, Resumed: c.events > 0,
		Prompt: c.promptTokens(c.engine()), Answer: c.expectedAnswer(), Gap: c.route.GapObjective, Version: want.Version,
	}
	if c.vainSearches > 0 && c.events > 0 {
		// The rest of a stream that found no slot within its gap objective misses it anyway. With the same accepted
		// wait as first attempts it would find none for as long as an overload lasts.
		s.request.Gap = 0
	}
	return s
}

// nextReservationID returns an id for a search. It is not the caller's, which may be empty or used twice, and
// whose hash would decide on the request's admission. Each search has its own, so that the release of an earlier
// reservation never ends a later one.
func (c *call) nextReservationID() string {
	if c.reservationKey == 0 {
		c.reservationKey = rand.Uint64()
	}
	c.searches++
	return strconv.FormatUint(c.reservationKey, 16) + "-" + strconv.Itoa(c.searches)
}

// run returns the server that granted a slot. acceptLate allows one where the request will be late.
func (s *slotSearch) run(ctx context.Context, acceptLate bool) balance.Choice {
	choice := s.askBest(ctx)
	if choice.Server == nil {
		limit := maxAsks
		if acceptLate && len(s.slow) > 0 {
			limit--
		}
		choice = s.askAgain(ctx, s.full, limit, false)
	}
	if choice.Server == nil && acceptLate { // late is better for the caller than refused
		choice = s.askAgain(ctx, s.slow, maxAsks, true)
	}
	if choice.Server == nil && s.asks == len(s.unheard) {
		choice = s.askPatiently(ctx)
	}
	if choice.Server == nil && ctx.Err() == nil {
		choice = s.pickSilent()
	}
	return choice
}

// askBest asks for a slot with little wait at the servers that are best by their known load.
func (s *slotSearch) askBest(ctx context.Context) balance.Choice {
	budget := s.want.Budget
	defer func() { s.want.Budget = budget }()
	s.want.Budget = time.Duration(strictShare * float64(budget))
	for s.asks < strictAsks && s.timeLeft() > 0 && ctx.Err() == nil {
		choice, seen := s.call.g.balancer.Pick(clock.Now(), s.want)
		if s.asks == 0 {
			s.capacity = seen
		}
		if choice.Server == nil || !choice.Reserve {
			return choice // a server whose agent does not answer, and that has room by its reports
		}
		if s.ask(ctx, &choice, false) {
			return choice
		}
		s.want.Exclude = append(s.want.Exclude, choice.Server)
	}
	return balance.Choice{}
}

// askAgain asks servers that refused once more, the one with the shortest predicted time first.
func (s *slotSearch) askAgain(ctx context.Context, refused []predicted, limit int, acceptLate bool) balance.Choice {
	order := slices.SortedFunc(slices.Values(refused), func(a, b predicted) int { return cmp.Compare(a.time, b.time) })
	for _, p := range order {
		if s.asks >= limit || s.timeLeft() <= 0 || ctx.Err() != nil {
			break
		}
		choice := s.pickOnly(p.server)
		switch {
		case choice.Server == nil:
		case !choice.Reserve:
			s.call.g.balancer.Done(&choice, clock.Now(), balance.ResultUnknown)
		case s.ask(ctx, &choice, acceptLate):
			return choice
		}
	}
	return balance.Choice{}
}

// askPatiently asks the first agent once more, for longer, after no agent or engine has answered: one that is merely slow must
// not have its callers refused.
func (s *slotSearch) askPatiently(ctx context.Context) balance.Choice {
	if len(s.unheard) == 0 || ctx.Err() != nil {
		return balance.Choice{}
	}
	reserves := s.want.Reserves
	s.want.Reserves = func(string) bool { return true }
	choice := s.pickOnly(s.unheard[0])
	s.want.Reserves = reserves
	if choice.Server == nil || !s.askFor(ctx, &choice, true, patientTimeout) {
		return balance.Choice{}
	}
	return choice
}

// pickSilent returns a server whose agent did not answer, that has run since and that has room by its reports.
func (s *slotSearch) pickSilent() balance.Choice {
	s.want.Reserves = nil
	for _, server := range s.silent {
		if choice := s.pickOnly(server); choice.Server != nil {
			return choice
		}
	}
	return balance.Choice{}
}

// pickOnly chooses this server, if it fits.
func (s *slotSearch) pickOnly(server *balance.Server) balance.Choice {
	want := s.want
	want.Only = server
	want.Exclude = slices.DeleteFunc(slices.Clone(want.Exclude), func(other *balance.Server) bool { return other == server })
	choice, _ := s.call.g.balancer.Pick(clock.Now(), want)
	return choice
}

// timeLeft returns how long further calls may take.
func (s *slotSearch) timeLeft() time.Duration {
	most := maxAskTime
	if objective := s.call.route.Objective; objective > 0 {
		most = time.Duration(askShare * float64(objective))
	}
	return most - clock.Since(s.began)
}

// ask asks the agent beside a chosen server for a slot. Without a grant the choice ends.
func (s *slotSearch) ask(ctx context.Context, choice *balance.Choice, acceptLate bool) bool {
	return s.askFor(ctx, choice, acceptLate, min(reservations.Timeout(s.call.route.Objective), s.timeLeft()))
}

func (s *slotSearch) askFor(ctx context.Context, choice *balance.Choice, acceptLate bool, timeout time.Duration) bool {
	c, server, born, id := s.call, choice.Server.Addr, choice.StartUnixMs, s.request.ID
	asked := clock.Now()
	decision, err := c.g.cfg.Reservations.Ask(ctx, server, born, timeout, s.requestAt(asked, choice, acceptLate))
	now := clock.Now()
	c.g.cfg.Metrics.observePath(choice.Zone, pathAgent, now.Sub(asked))
	s.asks++
	s.decisions.asked++
	if ctx.Err() != nil { // also if a slot was granted
		if err == nil && decision.Granted {
			c.g.cfg.Reservations.Release(server, born, id)
		}
		c.g.balancer.Done(choice, now, balance.ResultUnknown)
		return false
	}
	if err != nil {
		s.noteSilent(choice, asked, timeout, err)
		c.g.balancer.Done(choice, now, balance.ResultUnknown)
		return false
	}
	c.g.balancer.Decided(choice, now, decision)
	s.decisions.note(choice.Server.ID, decision)
	if decision.Granted {
		choice.OnDone = func() { c.g.cfg.Reservations.Release(server, born, id) }
		if choice.Sendable(now) {
			return true
		}
		c.g.balancer.Done(choice, now, s.unsendable(choice, now))
		return false
	}
	switch decision.Reason {
	case reservation.ReasonFull:
		s.full = append(s.full, predicted{choice.Server, decision.Wait})
	case reservation.ReasonSilent:
		s.unheard = append(s.unheard, choice.Server)
	case reservation.ReasonSlow:
		s.slow = append(s.slow, predicted{choice.Server, decision.FirstEvent})
	}
	c.g.balancer.Done(choice, now, balance.ResultUnknown)
	return false
}

// unsendable records that a choice with a grant must not be sent, and returns how it ended for the balancer.
func (s *slotSearch) unsendable(choice *balance.Choice, now time.Time) balance.Result {
	s.decisions.granted = false
	switch {
	case choice.Renewable(now): // this entry was held up: the agent may be asked again
		s.unheard = append(s.unheard, choice.Server)
		s.request.ID += "-again" // the release of this reservation must not end the next one
		return balance.ResultUnknown
	case choice.Expiry.Unsendable():
		s.decisions.reason = reservation.ReasonVersion
		return balance.ResultUnknown
	}
	s.decisions.reason = reservation.ReasonVersion // by the decision the engine holds expired weights
	return balance.ResultBusy
}

// noteSilent records a call that was made at asked and got no answer within its timeout.
func (s *slotSearch) noteSilent(choice *balance.Choice, asked time.Time, timeout time.Duration, err error) {
	s.decisions.silent++
	s.unheard = append(s.unheard, choice.Server)
	switch {
	case errors.Is(err, reservations.ErrNoAgent):
		s.call.g.balancer.AgentDown(choice, clock.Now())
	case !reservations.Conclusive(timeout, clock.Since(asked)):
		return
	default:
		s.call.g.balancer.AgentSilent(choice, asked)
	}
	s.silent = append(s.silent, choice.Server)
}

// requestAt returns what an agent is asked for at this time. A retry has no due time: its accepted wait is longer, since
// a late answer is better for the caller than the failure of its earlier attempt.
func (s *slotSearch) requestAt(now time.Time, choice *balance.Choice, acceptLate bool) reservation.Request {
	request := s.request
	request.Budget, request.Left, request.AcceptLate = s.want.Budget, choice.Deadline(s.call.deadline).Sub(now), acceptLate
	isRetry := s.call.attempts > 0 && !request.Resumed
	if !s.want.Due.IsZero() && !isRetry {
		request.Due = max(s.want.Due.Sub(now), 0)
	}
	return request
}

// expectedAnswer returns the length that the answer, or its rest, will hardly exceed, in tokens.
func (c *call) expectedAnswer() int {
	e := c.engine()
	received := c.received
	if before, err := strconv.Atoi(c.resumedAfter); err == nil && before > 0 {
		received += before // ids count events
	}
	answer := c.g.learned.answerLength(c.service, e, c.route.Name, c.size)
	return max(answer-received*max(e.Stride, 1), 0)
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
	reservation.ReasonRank:    "all backend servers are full, and more urgent requests come first",
	reservation.ReasonRetry:   "all backend servers are full, and first attempts come first",
	reservation.ReasonLoading: "backend servers load weights",
	reservation.ReasonVersion: "no backend server can take it",
	reservation.ReasonUnknown: "no backend server can take it",
	reservation.ReasonSilent:  "no backend server can take it",
}

// learn records how long a complete answer was, and whether a caller that returned after a refusal was served.
func (c *call) learn() {
	e := c.engine()
	if e == nil {
		return
	}
	served := c.status/100 == 2 && !c.broken
	refused := c.status == http.StatusServiceUnavailable && !c.mayHaveRun
	if served && c.received > 0 && c.resumedAfter == "" {
		c.g.learned.answered(c.service, e, c.route.Name, c.size, c.received*max(e.Stride, 1))
	}
	if c.clientRetry && (served || refused) && c.g.reserves(c.service) {
		c.g.learned.returned(clock.Now(), c.service, served)
	}
}

// describeReservation adds the request's rank, the agents that were asked for a slot, and what the last one has
// decided.
func (c *call) describeReservation(event *zerolog.Event) {
	if c.rank.Priority > 0 {
		event.Int("rank", c.rank.Index).Float64("weight", c.rank.Weight)
	}
	a := &c.agents
	if a.asked == 0 {
		return
	}
	event.Int("asks", a.asked).Int("silent_agents", a.silent).Dur("asked_ms", a.took).Bool("reserved", a.granted)
	if a.again > 0 {
		event.Dur("again_ms", a.again)
	}
	if a.asked == a.silent {
		return
	}
	d := &a.last
	event.Str("agent_of", a.server).Str("decision", d.Result()).
		Dur("predicted_wait_ms", d.Wait).Dur("predicted_first_ms", d.FirstEvent).Dur("predicted_end_ms", d.End).
		Float64("engine_pace", d.Load.Pace).Dur("pace_age_ms", d.Load.Age).
		Int("running", d.Load.Running).Int("waiting", d.Load.Waiting).Int("reservations", d.Load.Reserved)
}
