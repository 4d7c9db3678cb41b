package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/outcome"
)

// TickInterval is the time between the ticks of Run while requests are queued.
const TickInterval = 10 * time.Millisecond

// Request describes a request to Acquire.
type Request struct {
	Organisation string
	Service      string
	Priority     int
	Deadline     time.Time
	// Tokens is the expected use of the organisation's token budget.
	Tokens float64
}

// Controller makes a Machine safe for concurrent use.
type Controller struct {
	now func() time.Time

	mu      sync.Mutex
	machine *Machine
	lastID  uint64
	waiting map[uint64]chan Action
	// queued wakes Run; it is signalled after each step that leaves requests queued.
	queued chan struct{}
}

// NewController returns a controller without slots. It reads time from now.
func NewController(cfg Config, now func() time.Time) *Controller {
	return &Controller{
		now:     now,
		machine: NewMachine(cfg),
		waiting: make(map[uint64]chan Action),
		queued:  make(chan struct{}, 1),
	}
}

// Ticket is the permission to run one request. It occupies a slot until Finish.
type Ticket struct {
	controller *Controller
	id         uint64
	once       sync.Once
}

// Acquire waits until the request may start, is refused, or ctx ends. The
// ticket is nil if the request must not run; the outcome gives the reason.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Ticket, outcome.Outcome) {
	id, answer := c.arrive(r)
	select {
	case action := <-answer:
		return c.ticket(id, action)
	case <-ctx.Done():
		c.abandon(id, answer)
		return nil, endedBeforeStart(ctx.Err())
	}
}

// endedBeforeStart is the outcome of a request whose context ended before its start.
func endedBeforeStart(err error) outcome.Outcome {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.NewNotRun(outcome.DeadlineExceeded, "the deadline passed before the request was started", 0)
	}
	return outcome.NewNotRun(outcome.Cancelled, "the caller left before the request was started", 0)
}

func (c *Controller) arrive(r Request) (uint64, <-chan Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	answer := make(chan Action, 1)
	c.waiting[c.lastID] = answer
	c.step(Arrive{
		ID:           c.lastID,
		Organisation: r.Organisation,
		Service:      r.Service,
		Priority:     r.Priority,
		Deadline:     r.Deadline,
		Tokens:       r.Tokens,
	})
	return c.lastID, answer
}

func (c *Controller) ticket(id uint64, action Action) (*Ticket, outcome.Outcome) {
	if action.Start {
		return &Ticket{controller: c, id: id}, outcome.Outcome{}
	}
	return nil, outcome.NewNotRun(action.Reason, "", action.RetryAfter)
}

// abandon cancels a request whose context ended. If the request was started
// concurrently, its slot is released.
func (c *Controller) abandon(id uint64, answer <-chan Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, queued := c.waiting[id]; queued {
		delete(c.waiting, id)
		c.step(Cancel{ID: id})
		return
	}
	if action := <-answer; action.Start {
		c.step(Finish{ID: id, Outcome: outcome.NotRun})
	}
}

// Finish releases the slot and settles the tokens that the request used. Calls
// after the first have no effect.
func (t *Ticket) Finish(kind outcome.Kind, tokens float64) {
	t.once.Do(func() {
		t.controller.event(Finish{ID: t.id, Outcome: kind, Tokens: tokens})
	})
}

// SetCapacity sets the slots of a service at this entry. With 0 slots the
// service has no backend server, and all its queued requests are refused.
func (c *Controller) SetCapacity(service string, slots int) {
	c.event(CapacityChanged{Service: service, Slots: slots})
}

// SetFree sets the slots of a service to its running requests plus the free
// slots of the usable backend servers; a negative number removes slots. At
// least one slot remains, so that a service whose backend servers are only busy
// keeps its queue.
func (c *Controller) SetFree(service string, free int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	slots := c.machine.Status(service).Running + free
	c.step(CapacityChanged{Service: service, Slots: max(slots, 1)})
}

// SetOrganisations replaces the limits of all organisations.
func (c *Controller) SetOrganisations(organisations []inventory.Organisation) {
	limits := make(map[string]Limits, len(organisations))
	for _, o := range organisations {
		limits[o.Name] = Limits{
			Weight:            float64(o.Weight),
			RequestsPerSecond: o.RequestsPerSecond,
			Concurrency:       o.Concurrency,
			TokensPerSecond:   o.TokensPerSecond,
		}
	}
	c.event(LimitsChanged{Limits: limits})
}

// Tick refuses the queued requests that can no longer finish in time. It
// reports whether any are still queued.
func (c *Controller) Tick() (queued bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(Tick{})
	return c.machine.Queued() > 0
}

// Run ticks while requests are queued, until ctx ends. It blocks while none is.
func (c *Controller) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.queued:
			c.tickWhileQueued(ctx)
		}
	}
}

func (c *Controller) tickWhileQueued(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !c.Tick() {
				return
			}
		}
	}
}

// Status returns the state of a service for metrics.
func (c *Controller) Status(service string) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Status(service)
}

func (c *Controller) event(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(e)
}

// step sends the machine's actions to the waiting goroutines. The sends do not
// block: each channel buffers one action, and a request gets only one.
func (c *Controller) step(e Event) {
	for _, action := range c.machine.Step(c.now(), e) {
		answer, ok := c.waiting[action.ID]
		if !ok {
			panic("admission: action for a request that is not waiting")
		}
		delete(c.waiting, action.ID)
		answer <- action
	}
	if c.machine.Queued() > 0 {
		c.wake()
	}
}

func (c *Controller) wake() {
	select {
	case c.queued <- struct{}{}:
	default:
	}
}
