package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/reservation"
	reservations "lynxgate.dev/lynxgate/internal/reservation/client"
	"lynxgate.dev/lynxgate/internal/standstill"
)

// agents are fake agents beside all backends of an entry.
type agents struct {
	// decide decides on ask n, counted from 1.
	decide func(n int, a ask) (reservation.Decision, error)
	// unavailable: the circuit breakers of all agents are open.
	unavailable bool

	// trip is the round trip to each agent.
	trip reservations.RoundTrip

	mu                sync.Mutex
	asks              []ask
	granted, released []string
}

// ask is one request to an agent for a slot.
type ask struct {
	server  string
	timeout time.Duration
	reservation.Request
}

func (f *agents) Available(string, time.Time) bool { return !f.unavailable }

func (f *agents) RoundTrip(string) reservations.RoundTrip { return f.trip }

func (f *agents) Ask(_ context.Context, server string, born int64, timeout time.Duration, r reservation.Request) (reservation.Decision, error) {
	a := ask{server: server, timeout: timeout, Request: r}
	f.mu.Lock()
	f.asks = append(f.asks, a)
	n := len(f.asks)
	f.mu.Unlock()
	d, err := f.decide(n, a)
	if err == nil && d.Granted {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.granted = append(f.granted, slot(server, born, r.ID))
	}
	return d, err
}

func (f *agents) Release(server string, born int64, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, slot(server, born, id))
}

func slot(server string, born int64, id string) string { return fmt.Sprint(server, " ", born, " ", id) }

func (f *agents) asked() []ask {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.asks)
}

// slots returns the reservations that were granted and those that were released.
func (f *agents) slots() (granted, released []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(slices.Values(f.granted)), slices.Sorted(slices.Values(f.released))
}

func granted() reservation.Decision { return reservation.Decision{Granted: true} }

func refused(reason reservation.Reason) reservation.Decision {
	return reservation.Decision{Reason: reason, Again: 300 * time.Millisecond}
}

// grantAll grants each request.
func grantAll(int, ask) (reservation.Decision, error) { return granted(), nil }

// script decides on asks in this order, and refuses the others as full.
func script(decisions ...reservation.Decision) func(int, ask) (reservation.Decision, error) {
	return func(n int, _ ask) (reservation.Decision, error) {
		if n > len(decisions) {
			return refused(reservation.ReasonFull), nil
		}
		return decisions[n-1], nil
	}
}

// newReservingEntry returns an entry that reserves the slots of all engines. The objective is so long that stalls of the
// test process end no asks.
func newReservingEntry(t testing.TB, f *agents, backends ...*backend) *entry {
	e := newEntry(t, backends...)
	e.onlyEngines()
	e.setRoutes(func(r *fleet.Route) { r.Objective = 8 * time.Second })
	e.cfg.Reservations, e.cfg.ReservationMode = f, ReservationsAlways
	return e
}

// setRoutes changes the routes of the configuration in force.
func (e *entry) setRoutes(change func(*fleet.Route)) {
	view := *e.view.Load()
	config := *view.Table.Config
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		change(&config.Routes[i])
	}
	view.Table = fleet.NewTable(&config)
	e.SetView(&view)
}

func newBackends(t testing.TB, n int, serve func(http.ResponseWriter, *http.Request)) []*backend {
	var out []*backend
	for i := range n {
		out = append(out, newBackend(t, fmt.Sprint("b-", i+1), serve))
	}
	return out
}

func served(backends []*backend) (n int) {
	for _, b := range backends {
		n += len(b.requests())
	}
	return n
}

// Guards against requests that wait in an engine's queue while another engine is idle, and against refusals as many agents later as
// there are engines.
func TestFullEnginesAreAskedOnceMoreByTheirWait(t *testing.T) {
	backends := newBackends(t, 7, events(0))
	first, second := refused(reservation.ReasonFull), refused(reservation.ReasonFull)
	first.Wait, second.Wait = 80*time.Millisecond, 30*time.Millisecond
	f := &agents{decide: script(first, second, refused(reservation.ReasonSlow))}
	e := newReservingEntry(t, f, backends...)
	assert.Equal(t, http.StatusServiceUnavailable, e.ask(t, http.MethodPost, "/stream/1").status)
	asks := f.asked()
	require.Len(t, asks, 5, "at most five asks, also if a server has refused as slow")
	assert.Len(t, map[string]bool{asks[0].server: true, asks[1].server: true, asks[2].server: true}, 3, "three servers")
	assert.Equal(t, asks[1].server, asks[3].server, "the one with the least wait")
	assert.Equal(t, asks[2].server, asks[4].server, "the last ask is kept for the one where the request will be late")
	whole := asks[4].Budget
	require.Positive(t, whole)
	for i, share := range []float64{0.4, 0.4, 0.4, 1, 1} {
		assert.InDelta(t, share*float64(whole), float64(asks[i].Budget), 1)
		assert.Equal(t, i == 4, asks[i].AcceptLate)
		assert.Equal(t, asks[0].ID, asks[i].ID, "one reservation, wherever it is granted")
	}
	assert.NotContains(t, asks[0].ID, "id-1", "callers could choose an id that their rank never excludes")
	assert.Zero(t, served(backends), "without a grant no request is sent")
	e.assertNothingInFlight(t)
}

// Guards against a request that asks one agent again and again while it has not asked the others.
func TestFirstAsksAreOfDifferentServers(t *testing.T) {
	f := &agents{decide: func(int, ask) (reservation.Decision, error) { return refused(reservation.ReasonRank), nil }}
	e := newReservingEntry(t, f, newBackends(t, 3, events(0))...)
	for range 10 {
		before := len(f.asked())
		e.ask(t, http.MethodPost, "/stream/1")
		servers := map[string]bool{}
		for _, a := range f.asked()[before:] {
			servers[a.server] = true
		}
		assert.Len(t, f.asked()[before:], 3, "one that refuses for its rank is not asked again")
		assert.Len(t, servers, 3)
	}
}

// Guards against requests that are refused while a slot is free, and against late requests while one is granted in time.
func TestSlowEnginesAreTheLastResort(t *testing.T) {
	backends := newBackends(t, 3, events(0))
	full, slow, lessSlow := refused(reservation.ReasonFull), refused(reservation.ReasonSlow), refused(reservation.ReasonSlow)
	slow.FirstEvent, lessSlow.FirstEvent = 500*time.Millisecond, 400*time.Millisecond
	f := &agents{decide: script(full, slow, lessSlow, full, granted())}
	e := newReservingEntry(t, f, backends...)
	assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
	asks := f.asked()
	require.Len(t, asks, 5)
	assert.Equal(t, asks[0].server, asks[3].server)
	assert.False(t, asks[3].AcceptLate)
	assert.Equal(t, asks[2].server, asks[4].server, "the earliest first event first")
	assert.True(t, asks[4].AcceptLate)
	assert.Equal(t, 1, served(backends))
}

// Guards against a request that is sent to another server than the one that granted it.
func TestRequestIsSentToTheServerThatGrantedIt(t *testing.T) {
	backends := newBackends(t, 5, events(0))
	f := &agents{decide: script(refused(reservation.ReasonFull), refused(reservation.ReasonRank), granted())}
	e := newReservingEntry(t, f, backends...)
	assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
	asks := f.asked()
	require.Len(t, asks, 3)
	for _, b := range backends {
		assert.Equal(t, strings.TrimPrefix(b.URL, "http://") == asks[2].server, len(b.requests()) == 1, b.id)
	}
}

// Guards against callers that learn of their refusal late because agents answer slowly.
func TestAsksEndAfterAnEighthOfTheObjective(t *testing.T) {
	backends := newBackends(t, 5, events(0))
	f := &agents{decide: func(int, ask) (reservation.Decision, error) {
		time.Sleep(30 * time.Millisecond)
		return refused(reservation.ReasonFull), nil
	}}
	e := newReservingEntry(t, f, backends...)
	e.setRoutes(func(r *fleet.Route) { r.Objective = 400 * time.Millisecond })
	assert.Equal(t, http.StatusServiceUnavailable, e.ask(t, http.MethodPost, "/stream/1").status)
	assert.LessOrEqual(t, len(f.asked()), 2, "the second one ends after 60 ms, and 50 ms are allowed")
	assert.NotEmpty(t, f.asked())
	assert.Zero(t, served(backends))
	assert.Equal(t, 400*time.Millisecond/24, f.asked()[0].timeout)
}

// Guards against slots that stay reserved after their request has ended, and against a release that ends the reservation of
// a later attempt.
func TestReservationIsReleasedOnce(t *testing.T) {
	wait := func(ms string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(headers.DeadlineMs, ms) }
	}
	for name, test := range map[string]struct {
		serve  func(http.ResponseWriter, *http.Request)
		path   string
		change func(*http.Request)
		slots  int
	}{
		"served":                        {events(0), "/stream/1", wait("2000"), 1},
		"server refuses":                {notRun, "/stream/1", wait("2000"), 2},
		"connection fails":              {cut, "/stream/1", wait("2000"), 2},
		"connection fails, no retry":    {cut, "/once/1", wait("2000"), 1},
		"stream breaks off":             {events(2), "/stream/1", wait("2000"), 2},
		"stream breaks off, no resume":  {events(2), "/once/1", wait("2000"), 1},
		"its own failure":               {failing, "/once/1", wait("2000"), 1},
		"not signed":                    {unsigned, "/once/1", wait("2000"), 1},
		"deadline passes without event": {silent, "/once/1", wait("150"), 1},
		"caller leaves": {silent, "/once/1", func(r *http.Request) {
			ctx, leave := context.WithCancel(r.Context())
			time.AfterFunc(150*time.Millisecond, leave)
			*r = *r.WithContext(ctx)
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := &agents{decide: grantAll}
			e := newReservingEntry(t, f, newBackends(t, 2, test.serve)...)
			e.ask(t, http.MethodPost, test.path, test.change)
			e.assertNothingInFlight(t)
			granted, released := f.slots()
			assert.Equal(t, granted, released)
			assert.Len(t, granted, test.slots)
		})
	}
}

func failing(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headers.Signature, "signed")
	w.WriteHeader(http.StatusInternalServerError)
}

func unsigned(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }

// Guards against a release that names another incarnation, which the agent ignores.
func TestReservationNamesTheIncarnation(t *testing.T) {
	b := newBackend(t, "b-1", events(0))
	f := &agents{decide: grantAll}
	e := newReservingEntry(t, f, b)
	e.setIncarnation(b, 1700000000000, []fleet.Loaded{{Model: "m", Version: 7}})
	require.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
	granted, released := f.slots()
	require.Len(t, granted, 1)
	assert.Contains(t, granted[0], slot(strings.TrimPrefix(b.URL, "http://"), 1700000000000, ""))
	assert.Equal(t, granted, released)
}

// Guards against the rest of a stream that is queued like a first attempt, or is sent to another version of the weights.
func TestRestOfAStreamAsksAsSuch(t *testing.T) {
	f := &agents{decide: grantAll}
	e := newReservingEntry(t, f, newBackend(t, "b-1", events(2)), newBackend(t, "b-2", events(0)))
	e.setRoutes(func(r *fleet.Route) { r.GapObjective = 300 * time.Millisecond })
	require.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
	asks := f.asked()
	require.Len(t, asks, 2)
	assert.False(t, asks[0].Resumed)
	assert.True(t, asks[1].Resumed)
	assert.Zero(t, asks[0].Version)
	assert.Equal(t, uint64(7), asks[1].Version)
	assert.Equal(t, 300*time.Millisecond, asks[1].Gap)
	assert.Equal(t, asks[0].Answer-2, asks[1].Answer, "two tokens were received")
}

// Guards against the rest of a stream that loses each place in a queue to first attempts for as long as an overload lasts.
func TestRestOfAStreamAcceptsLongerWaitsInTheEnd(t *testing.T) {
	f := &agents{decide: func(n int, a ask) (reservation.Decision, error) {
		if a.Resumed && a.Gap > 0 {
			return reservation.Decision{Reason: reservation.ReasonFull}, nil
		}
		return grantAll(n, a)
	}}
	e := newReservingEntry(t, f, newBackend(t, "b-1", events(2)), newBackend(t, "b-2", events(0)))
	e.setRoutes(func(r *fleet.Route) { r.GapObjective = 300 * time.Millisecond })
	require.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
}

// Guards against a request that fails because its server was lost, although others could serve it late.
func TestRetryAsksWithoutADueTime(t *testing.T) {
	f := &agents{decide: grantAll}
	lost := newBackend(t, "b-1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	e := newReservingEntry(t, f, lost, newBackend(t, "b-2", events(0)))
	require.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
	asks := f.asked()
	require.Len(t, asks, 2)
	assert.Positive(t, asks[0].Due)
	assert.Zero(t, asks[1].Due)
	assert.Greater(t, asks[1].Budget, asks[0].Budget)
	assert.False(t, asks[1].Resumed)
}

// Guards against a fleet that refuses requests because all agents are lost: it is served by reports, as before.
func TestWithoutAgentsRequestsAreServedByReports(t *testing.T) {
	for name, f := range map[string]*agents{
		"all breakers are open": {unavailable: true, decide: grantAll},
		"all agents are down":   {decide: noAgent},
	} {
		t.Run(name, func(t *testing.T) {
			backends := newBackends(t, 2, events(0))
			e := newReservingEntry(t, f, backends...)
			for range 5 {
				assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
			}
			assert.Equal(t, f.unavailable, len(f.asked()) == 0)
			e.assertNothingInFlight(t)
			granted, released := f.slots()
			assert.Empty(t, slices.Concat(granted, released))
			for _, b := range backends {
				for range 3 {
					e.reportLoad(b, 4, 3000)
				}
			}
			before := served(backends)
			a := e.ask(t, http.MethodPost, "/stream/1")
			assert.Equal(t, http.StatusServiceUnavailable, a.status, "by the reports there is no room")
			assert.NotEmpty(t, a.head.Get("Retry-After"))
			assert.Equal(t, before, served(backends))
		})
	}
}

// noAgent is the failure of a call to an agent that is down.
func noAgent(int, ask) (reservation.Decision, error) {
	return reservation.Decision{}, fmt.Errorf("dial: %w", reservations.ErrNoAgent)
}

// noAnswer is the failure of a call to an agent that does not answer, on a VM that may stand still.
func noAnswer(int, ask) (reservation.Decision, error) {
	return reservation.Decision{}, context.DeadlineExceeded
}

// Guards against an agent that is down, or stands still beside its engine, and takes that engine out of use while other agents
// refuse; and against requests to an engine that may stand still like its agent.
func TestServerOfASilentAgentIsJudgedByReports(t *testing.T) {
	for name, test := range map[string]struct {
		silence func(int, ask) (reservation.Decision, error)
		// sign is a sign of life after the first request.
		sign func(e *entry, idle *balance.Server)
		used []bool
	}{
		"agent is down":    {noAgent, func(*entry, *balance.Server) {}, []bool{true, true}},
		"nothing is heard": {noAnswer, func(*entry, *balance.Server) {}, []bool{false, false}},
		"engine writes":    {noAnswer, func(e *entry, idle *balance.Server) { e.balancer.BytesReceived(idle, time.Now()) }, []bool{false, true}},
		"engine announces": {noAnswer, func(e *entry, idle *balance.Server) {
			e.balancer.Announced(idle.ID, time.Now().Add(1100*time.Millisecond))
		}, []bool{false, true}},
		"late announcement":   {noAnswer, func(e *entry, idle *balance.Server) { e.balancer.Announced(idle.ID, time.Now()) }, []bool{false, false}},
		"agent reports again": {noAnswer, func(e *entry, idle *balance.Server) { e.balancer.Reported(time.Now(), reportOf(idle)) }, []bool{false, true}},
		"late report":         {noAnswer, func(e *entry, idle *balance.Server) { e.balancer.Reported(time.Now(), reportOf(idle)) }, []bool{false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			full, idle := newBackend(t, "b-1", events(0)), newBackend(t, "b-2", events(0))
			idleAddr := strings.TrimPrefix(idle.URL, "http://")
			f := &agents{decide: func(n int, a ask) (reservation.Decision, error) {
				if a.server == idleAddr {
					return test.silence(n, a)
				}
				d := refused(reservation.ReasonFull)
				d.Load = reservation.Load{Running: 4, Waiting: 3000}
				return d, nil
			}}
			e := newReservingEntry(t, f, full, idle)
			server := knownAt(e, idleAddr)
			if name == "late report" {
				e.balancer.Reported(time.Now(), reportOf(server)) // the reports have not paused
			}
			for i, used := range test.used {
				before := served([]*backend{idle})
				a := e.ask(t, http.MethodPost, "/stream/1")
				if used {
					assert.Equal(t, wholeStream, a.body)
				} else {
					assert.Equal(t, http.StatusServiceUnavailable, a.status)
				}
				assert.Equal(t, used, served([]*backend{idle}) > before, "request %d", i+1)
				test.sign(e, server)
				f.unavailable = true // the breaker is open
			}
			assert.Empty(t, full.requests())
			e.assertNothingInFlight(t)
		})
	}
}

// knownAt returns the balancer's server at an address.
func knownAt(e *entry, addr string) *balance.Server {
	want := balance.Requirements{Service: "engine", Model: "m", Budget: time.Hour}
	for {
		c, _ := e.balancer.Pick(time.Now(), want)
		e.balancer.Done(&c, time.Now(), balance.ResultUnknown)
		if c.Server == nil || c.Server.Addr == addr {
			return c.Server
		}
		want.Exclude = append(want.Exclude, c.Server)
	}
}

func reportOf(s *balance.Server) balance.Report {
	return balance.Report{Addr: s.Addr, Models: []fleet.Loaded{{Model: "m", Version: 7}}}
}

// Guards against callers that are refused while all agents or engines are merely slow, and against refusals that take long.
func TestSlowAgentsAreAskedOnceMore(t *testing.T) {
	engineSilent := func(int, ask) (reservation.Decision, error) { return refused(reservation.ReasonSilent), nil }
	for name, silence := range map[string]func(int, ask) (reservation.Decision, error){"agents": noAnswer, "engines": engineSilent} {
		t.Run(name, func(t *testing.T) {
			f := &agents{decide: func(n int, a ask) (reservation.Decision, error) {
				if n <= 2 {
					return silence(n, a)
				}
				return granted(), nil
			}}
			e := newReservingEntry(t, f, newBackends(t, 2, events(0))...)
			assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
			asks := f.asked()
			require.Len(t, asks, 3)
			assert.Equal(t, asks[0].server, asks[2].server)
			assert.Equal(t, patientTimeout, asks[2].timeout)
			e.assertNothingInFlight(t)

			f.decide = silence
			before := len(f.asked())
			assert.Equal(t, http.StatusServiceUnavailable, e.ask(t, http.MethodPost, "/stream/1").status)
			assert.Len(t, f.asked(), before+3, "one more for each caller")
		})
	}
}

// Guards against a request to an engine that does not answer, since its agent said so only when it was asked once more.
func TestSilentEngineOfASlowAgentGetsNoRequest(t *testing.T) {
	f := &agents{decide: func(n int, a ask) (reservation.Decision, error) {
		if n == 1 {
			return noAnswer(n, a)
		}
		return refused(reservation.ReasonSilent), nil
	}}
	backend := newBackend(t, "b-1", events(0))
	e := newReservingEntry(t, f, backend)
	assert.Equal(t, http.StatusServiceUnavailable, e.ask(t, http.MethodPost, "/stream/1").status)
	assert.Len(t, f.asked(), 2)
	assert.Empty(t, backend.requests())
	e.assertNothingInFlight(t)
}

// Guards against an engine that gets no requests because its agent did not answer within the few ms that a search had left, and
// against a request to it, since nothing shows that it runs.
func TestAgentThatHadNoTimeToAnswerIsNotSilent(t *testing.T) {
	var unheard []int
	f := &agents{}
	backend := newBackend(t, "b-1", events(0))
	e := newReservingEntry(t, f, backend)
	e.setRoutes(func(r *fleet.Route) { r.Objective = 60 * time.Millisecond })
	f.decide = func(n int, a ask) (reservation.Decision, error) {
		_, availability := e.balancer.Evaluate(time.Now(), balance.Requirements{Service: "engine", Model: "m", Budget: time.Hour})
		unheard = append(unheard, availability.Unheard)
		return noAnswer(n, a)
	}
	for range 2 {
		assert.Equal(t, http.StatusServiceUnavailable, e.ask(t, http.MethodPost, "/stream/1").status)
	}
	asks := f.asked()
	require.Len(t, asks, 4)
	assert.Less(t, asks[0].timeout, reservation.AnswerTime)
	assert.Equal(t, patientTimeout, asks[1].timeout)
	assert.Equal(t, []int{0, 0, 1, 1}, unheard, "the second call had enough time")
	assert.Empty(t, backend.requests())
}

// Guards against requests, and slots that stay reserved, of callers that leave while an agent decides.
func TestGrantForACallerThatHasLeftIsReleased(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	backends := newBackends(t, 3, events(0))
	f := &agents{}
	e := newReservingEntry(t, f, backends...)
	f.decide = func(int, ask) (reservation.Decision, error) {
		leave()
		time.Sleep(50 * time.Millisecond) // until the entry knows
		return granted(), nil
	}
	e.ask(t, http.MethodPost, "/stream/1", func(r *http.Request) { *r = *r.WithContext(ctx) })
	e.assertNothingInFlight(t)
	granted, released := f.slots()
	assert.Equal(t, granted, released)
	assert.Len(t, f.asked(), 1)
	assert.Zero(t, served(backends))
}

// Guards against agents that are asked although operators have switched reservations off.
func TestModeNeverAsksNobody(t *testing.T) {
	f := &agents{decide: grantAll}
	e := newReservingEntry(t, f, newBackend(t, "b-1", events(0)))
	e.cfg.ReservationMode = ReservationsNever
	e.setRoutes(func(r *fleet.Route) { r.Priority = len(r.Name) })
	assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
	assert.Empty(t, f.asked())
}

// Guards against reservations in fleets that do not call for them, which must be served as before, and against fleets without them that do.
func TestModeAutoFollowsPrioritiesAndLoadHeaders(t *testing.T) {
	f := &agents{decide: grantAll}
	load := "1,0,4"
	b := newBackend(t, "b-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.Load, load)
		events(0)(w, r)
	})
	e := newReservingEntry(t, f, b)
	for _, mode := range []ReservationMode{"", ReservationsAuto} {
		e.cfg.ReservationMode = mode
		e.setRoutes(func(r *fleet.Route) { r.Priority = 1 })
		asksOne := func() bool {
			before := len(f.asked())
			assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
			return len(f.asked()) > before
		}
		assert.False(t, asksOne(), "equal priorities and three figures")
		assert.False(t, asksOne(), "the first answer had three figures")
		e.setRoutes(func(r *fleet.Route) { r.Priority = map[string]int{"stream": 1}[r.Name] })
		assert.True(t, asksOne(), "different priorities")
	}
	e.setRoutes(func(r *fleet.Route) { r.Priority = 1 })
	load = "1,0,4,250"
	assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
	before := len(f.asked())
	assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
	assert.Len(t, f.asked(), before+1, "a server has sent four figures")
}

// Guards against requests to services without engines that wait for agents which do not exist.
func TestPlainServicesHaveNoReservations(t *testing.T) {
	f := &agents{decide: grantAll}
	b := newBackend(t, "b-1", good)
	e := newEntry(t, b)
	e.cfg.Reservations, e.cfg.ReservationMode = f, ReservationsAlways
	assert.Equal(t, http.StatusOK, e.ask(t, http.MethodPost, "/unsafe/1").status)
	assert.Empty(t, f.asked())
}

// Guards against an engine's queue that does not follow the ranks, and against callers that choose their own place in it.
func TestEnginePriorityFollowsTheRank(t *testing.T) {
	forged := func(r *http.Request) { r.Header.Set(headers.Priority, "0") }
	of := func(b *backend, n int) string { return b.requests()[n].Header.Get(headers.Priority) }

	b := newBackend(t, "b-1", events(0))
	e := newEntry(t, b)
	e.onlyEngines()
	e.ask(t, http.MethodPost, "/stream/1", forged)
	assert.Empty(t, b.requests()[0].Header.Values(headers.Priority), "without ranks")

	e.setRoutes(func(r *fleet.Route) { r.Priority = map[string]int{"once": 1, "thrice": 2}[r.Name] })
	for i, path := range []string{"/stream/1", "/once/1", "/thrice/1"} {
		e.ask(t, http.MethodPost, path, forged)
		assert.Equal(t, []string{strconv.Itoa(3 + i)}, b.requests()[i+1].Header.Values(headers.Priority), path)
	}
	e.queues.refused(time.Now(), "", time.Second)
	e.ask(t, http.MethodPost, "/stream/1", forged, func(r *http.Request) { r.Header.Set(headers.DeadlineMs, "1000") })
	assert.Equal(t, "8", of(b, 4), "a client retry states less than the usual deadline")

	breaks, goesOn := newBackend(t, "b-1", events(2)), newBackend(t, "b-2", events(0))
	e = newEntry(t, breaks, goesOn)
	e.onlyEngines()
	e.setRoutes(func(r *fleet.Route) { r.Priority = map[string]int{"once": 1, "thrice": 2}[r.Name] })
	require.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/thrice/1", forged).body)
	assert.Equal(t, "5", of(breaks, 0))
	assert.Equal(t, "1", of(goesOn, 0), "the rest of a stream")
}

// Guards against agents that rank a request by what the caller states, or not at all.
func TestAgentsGetTheRank(t *testing.T) {
	f := &agents{decide: grantAll}
	e := newReservingEntry(t, f, newBackend(t, "b-1", events(0)))
	e.setRoutes(func(r *fleet.Route) { r.Priority = map[string]int{"once": 1}[r.Name] })
	e.ask(t, http.MethodPost, "/stream/1")
	e.ask(t, http.MethodPost, "/once/1")
	e.queues.refused(time.Now(), "", time.Second)
	e.ask(t, http.MethodPost, "/once/1", func(r *http.Request) { r.Header.Set(headers.DeadlineMs, "1000") })
	asks := f.asked()
	require.Len(t, asks, 3)
	assert.Equal(t, []int{0, 1, 1}, []int{asks[0].Rank, asks[1].Rank, asks[2].Rank})
	assert.Equal(t, []float64{1, 0.75, 0.75}, []float64{asks[0].Weight, asks[1].Weight, asks[2].Weight})
	assert.Equal(t, []bool{false, false, true}, []bool{asks[0].Retry, asks[1].Retry, asks[2].Retry})
}

// Guards against refusals that come late, or do not say why and when to return.
func TestRefusalByAgentsComesAtOnce(t *testing.T) { standstill.Run(t, testRefusalByAgents) }

func testRefusalByAgents(t testing.TB) {
	for reason, logged := range refusalReasons {
		backends := newBackends(t, 5, events(0))
		f := &agents{decide: func(int, ask) (reservation.Decision, error) { return refused(reason), nil }}
		e := newReservingEntry(t, f, backends...)
		e.setRoutes(func(r *fleet.Route) { r.Objective = 400 * time.Millisecond })
		least := time.Hour
		for range 10 {
			began := time.Now()
			a := e.ask(t, http.MethodPost, "/stream/1")
			least = min(least, time.Since(began))
			require.Equal(t, http.StatusServiceUnavailable, a.status)
			after, err := strconv.ParseFloat(a.head.Get("Retry-After"), 64)
			require.NoError(t, err)
			assert.Positive(t, after)
			assert.LessOrEqual(t, after, 2.0/3, "a third of the time left")
		}
		assert.Less(t, least, 20*time.Millisecond, "%v", reason)
		assert.Contains(t, e.logs.String(), logged)
		assert.Contains(t, e.logs.String(), `"decision":"`+reason.String()+`"`)
		assert.Zero(t, served(backends))
		assert.Zero(t, e.queues.count.Load())
	}
}

// Guards against a handover that adds a request to an engine that other entries count on: nobody knows of it until the
// engine's next report.
func TestHandoverAsksForAReservation(t *testing.T) {
	f := &agents{decide: grantAll}
	goesOn := newBackend(t, "b-2", events(0))
	e := newReservingEntry(t, f, newBackend(t, "b-1", silent), goesOn)
	e.setRoutes(func(r *fleet.Route) { r.Objective = 200 * time.Millisecond })
	require.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/1").body)
	require.Len(t, goesOn.requests(), 1)
	asks := f.asked()
	require.Len(t, asks, 2)
	assert.Equal(t, strings.TrimPrefix(goesOn.URL, "http://"), asks[1].server)
	e.assertNothingInFlight(t)
	granted, released := f.slots()
	assert.Equal(t, granted, released)
}

// Guards against a request that is sent after its reservation's lease, since its entry was held up, or refused as if weights had expired.
func TestReservationThatIsReadAfterItsLeaseIsRenewed(t *testing.T) {
	f := &agents{decide: func(n int, _ ask) (reservation.Decision, error) {
		if n == 1 {
			time.Sleep(reservation.SendTime + 20*time.Millisecond)
		}
		return granted(), nil
	}}
	b := newBackend(t, "b-1", events(0))
	e := newReservingEntry(t, f, b)
	assert.Equal(t, wholeStream, e.ask(t, http.MethodPost, "/stream/x").body)
	asked := f.asked()
	require.Len(t, asked, 2)
	assert.NotEqual(t, asked[0].ID, asked[1].ID, "the release of the first one must not end the second one")
	require.Len(t, b.requests(), 1)
	granted, released := f.slots()
	assert.Equal(t, granted, released)
}
