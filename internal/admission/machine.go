package admission

import (
	"fmt"
	"time"

	"lynxgate.dev/lynxgate/internal/outcome"
)

// request is one admitted request, queued or started.
type request struct {
	id       uint64
	org      *organisation
	service  *service
	class    int
	flow     *flow
	deadline time.Time
	reserved float64 // tokens
	started  time.Time
	running  bool
	charged  time.Duration // slot time charged to the flow at the start

	prev, next *request // in the flow
	index      int      // in the deadline heap, -1 when not there
}

// organisation holds the limits of one organisation and their current use.
type organisation struct {
	limits   Limits
	rate     bucket
	tokens   bucket
	inFlight int // queued and started
}

// Machine is the state of admission at one entry. It is not safe for
// concurrent use.
type Machine struct {
	cfg           Config
	limits        map[string]Limits
	organisations map[string]*organisation
	services      map[string]*service
	order         []*service // all services, in order of appearance
	requests      map[uint64]*request
	jitterState   uint64
	actions       []Action
}

// NewMachine returns a machine without limits and without slots.
func NewMachine(cfg Config) *Machine {
	return &Machine{
		cfg:           cfg,
		organisations: make(map[string]*organisation),
		services:      make(map[string]*service),
		requests:      make(map[uint64]*request),
		jitterState:   cfg.Seed,
	}
}

// Step handles one event. The returned slice is valid until the next Step.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case Arrive:
		m.arrive(now, e)
	case Finish:
		m.finish(now, e)
	case Cancel:
		m.cancel(now, e)
	case Tick:
		m.tick(now)
	case CapacityChanged:
		m.setCapacity(now, e)
	case LimitsChanged:
		m.setLimits(now, e)
	default:
		panic(fmt.Sprintf("admission: unknown event %T", event))
	}
	return m.actions
}

func (m *Machine) arrive(now time.Time, e Arrive) {
	if _, known := m.requests[e.ID]; known {
		panic(fmt.Sprintf("admission: request %d arrives twice", e.ID))
	}
	r := m.newRequest(now, e)
	m.dropLate(now, r.service)
	refusal, admitted := m.admit(now, r)
	if !admitted {
		m.actions = append(m.actions, refusal)
		return
	}
	m.requests[r.id] = r
	r.org.inFlight++
	r.org.rate.take(1)
	r.org.tokens.take(r.reserved)
	r.service.push(r, now)
	m.startNext(now, r.service)
}

func (m *Machine) newRequest(now time.Time, e Arrive) *request {
	s := m.service(e.Service)
	o := m.organisation(now, e.Organisation)
	c := min(max(e.Priority, 0), Classes-1)
	f := s.classes[c].flow(flowKey{e.Organisation, bandUntil(now, e.Deadline)})
	f.weight = o.limits.weight()
	s.classes[c].countArrival(f)
	return &request{id: e.ID, org: o, service: s, class: c, flow: f,
		deadline: e.Deadline, reserved: e.Tokens, index: -1}
}

func (m *Machine) finish(now time.Time, e Finish) {
	r, known := m.requests[e.ID]
	if !known || !r.running {
		panic(fmt.Sprintf("admission: request %d finishes but was not started", e.ID))
	}
	s := r.service
	took := now.Sub(r.started)
	switch e.Outcome {
	case outcome.Completed:
		s.serviceTime.add(took)
	case outcome.Unknown:
		s.serviceTime.addAtLeast(took)
	case outcome.NotRun:
		e.Tokens = 0
	}
	s.classes[r.class].charge(r.flow, (took - r.charged).Seconds())
	s.running--
	if s.probe == r.id {
		s.probe = 0
	}
	m.release(now, r, e.Tokens)
	m.dropLate(now, s)
	m.startNext(now, s)
}

// release removes a request and settles its tokens.
func (m *Machine) release(now time.Time, r *request, used float64) {
	delete(m.requests, r.id)
	r.org.inFlight--
	r.org.tokens.refill(now)
	r.org.tokens.take(used - r.reserved)
}

func (m *Machine) cancel(now time.Time, e Cancel) {
	r, known := m.requests[e.ID]
	if !known || r.running {
		return
	}
	r.service.remove(r)
	m.release(now, r, 0)
}

func (m *Machine) tick(now time.Time) {
	for _, s := range m.order {
		m.dropLate(now, s)
		m.dropTails(now, s)
	}
}

func (m *Machine) setCapacity(now time.Time, e CapacityChanged) {
	s := m.service(e.Service)
	s.slots = max(e.Slots, 0)
	if s.slots == 0 {
		m.refuseAll(now, s)
		return
	}
	m.dropLate(now, s)
	m.dropTails(now, s)
	m.startNext(now, s)
}

func (m *Machine) setLimits(now time.Time, e LimitsChanged) {
	m.limits = e.Limits
	for name, o := range m.organisations {
		if _, declared := e.Limits[name]; !declared && o.inFlight == 0 {
			m.forgetOrganisation(name)
			continue
		}
		m.applyLimits(now, o, e.Limits[name])
	}
}

func (m *Machine) forgetOrganisation(name string) {
	delete(m.organisations, name)
	for _, s := range m.order {
		for i := range s.classes {
			s.classes[i].forgetOrganisation(name)
		}
	}
}

func (m *Machine) applyLimits(now time.Time, o *organisation, l Limits) {
	o.limits = l
	o.rate.setRate(l.RequestsPerSecond, m.cfg.Burst, now)
	o.tokens.setRate(l.TokensPerSecond, m.cfg.Burst, now)
}

func (m *Machine) organisation(now time.Time, name string) *organisation {
	o, ok := m.organisations[name]
	if !ok {
		o = &organisation{}
		m.applyLimits(now, o, m.limits[name])
		m.organisations[name] = o
	}
	return o
}

func (m *Machine) service(name string) *service {
	s, ok := m.services[name]
	if !ok {
		s = &service{serviceTime: estimate{mean: m.cfg.InitialService}}
		m.services[name] = s
		m.order = append(m.order, s)
	}
	return s
}

// Status describes one service.
type Status struct {
	Slots, Running, Queued int
	// MeanService is the running mean of the service time.
	MeanService time.Duration
}

// Status returns the state of a service for metrics.
func (m *Machine) Status(name string) Status {
	s, ok := m.services[name]
	if !ok {
		return Status{}
	}
	return Status{Slots: s.slots, Running: s.running, Queued: s.queued, MeanService: s.serviceTime.mean}
}

// Queued returns how many requests wait, over all services.
func (m *Machine) Queued() int {
	n := 0
	for _, s := range m.order {
		n += s.queued
	}
	return n
}

// startNext starts queued requests while there are free slots.
func (m *Machine) startNext(now time.Time, s *service) {
	for s.queued > 0 && s.running < s.slots {
		r := s.pop(m.cfg.MaxPassed, now)
		r.running = true
		r.started = now
		s.running++
		m.actions = append(m.actions, Action{ID: r.id, Start: true})
	}
}
