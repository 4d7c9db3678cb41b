// Package admission decides which requests an entry starts, queues or
// refuses. A Machine is a pure event machine: Step takes an event and the
// time, and returns what to do. A Controller wraps it for many goroutines.
//
// Per organisation there are limits on rate, concurrency and tokens. Per
// service there is a number of slots, the entry's share of what the usable
// backend servers run at once, and a queue. The queue serves priority classes
// in order, with a guaranteed share for the lower ones, and within a class
// the organisations by start-time fair queueing on slot time. A request is
// queued only if it is expected to finish by its deadline; a queued request
// that no longer is gets refused at once. Every request gets exactly one
// Action, a start or a refusal, unless it is cancelled first.
package admission

import (
	"time"

	"lynxgate.dev/lynxgate/internal/outcome"
)

// Classes is the number of priority classes; higher priorities count as the
// last class.
const Classes = 8

// Config holds the machine's settings.
type Config struct {
	// InitialService is the service time assumed before the first measurement.
	InitialService time.Duration
	// MaxQueued bounds the queued requests of one service.
	MaxQueued int
	// MaxWait bounds the expected wait of a request, whatever its deadline.
	MaxWait time.Duration
	// WaitShare bounds the expected wait as a share of a request's spare time
	// (what its deadline leaves besides the service time). The rest absorbs
	// errors of the estimate.
	WaitShare float64
	// MaxPassed is how many starts of higher classes in a row may pass over
	// a waiting class before one of its requests starts.
	MaxPassed int
	// Burst is the time over which unused rate accumulates: a bucket holds at
	// most rate times Burst.
	Burst time.Duration
	// MinRetryAfter and MaxRetryAfter bound the Retry-After of a refusal.
	MinRetryAfter, MaxRetryAfter time.Duration
	// Seed of the jitter of Retry-After.
	Seed uint64
}

// DefaultConfig holds the default settings; docs/design/requests.md gives the
// reasons.
var DefaultConfig = Config{
	InitialService: time.Second,
	MaxQueued:      10_000,
	MaxWait:        30 * time.Second,
	WaitShare:      0.5,
	MaxPassed:      9,
	Burst:          2 * time.Second,
	MinRetryAfter:  100 * time.Millisecond,
	MaxRetryAfter:  time.Minute,
}

// Limits of one organisation at this entry; 0 means no limit.
type Limits struct {
	// Weight is the relative share in fair queueing; 0 means 1.
	Weight            float64
	RequestsPerSecond float64
	// Concurrency bounds requests started or queued.
	Concurrency     int
	TokensPerSecond float64
}

func (l Limits) weight() float64 {
	if l.Weight <= 0 {
		return 1
	}
	return l.Weight
}

// Event is something that happened: one of the types below.
type Event interface{ isEvent() }

// Arrive adds a new request. The ID must not be in use.
type Arrive struct {
	ID           uint64
	Organisation string
	Service      string
	// Priority is the class; 0 is most urgent.
	Priority int
	// Deadline of the caller; zero means none.
	Deadline time.Time
	// Tokens is the expected use of the token budget. It is reserved until
	// Finish settles the actual use.
	Tokens float64
}

// Finish ends a started request.
type Finish struct {
	ID uint64
	// Outcome decides whether the service time is measured and tokens are
	// charged.
	Outcome outcome.Kind
	// Tokens used; ignored for a request that did not run.
	Tokens float64
}

// Cancel withdraws a queued request; it has no effect on a started one, which
// needs a Finish.
type Cancel struct{ ID uint64 }

// Tick refuses queued requests that can no longer finish in time.
type Tick struct{}

// CapacityChanged sets the slots of a service at this entry.
type CapacityChanged struct {
	Service string
	Slots   int
}

// LimitsChanged replaces the limits of all organisations.
type LimitsChanged struct{ Limits map[string]Limits }

func (Arrive) isEvent()          {}
func (Finish) isEvent()          {}
func (Cancel) isEvent()          {}
func (Tick) isEvent()            {}
func (CapacityChanged) isEvent() {}
func (LimitsChanged) isEvent()   {}

// Action is what to do with a request: start it, or refuse it as not run.
type Action struct {
	ID    uint64
	Start bool
	// Reason and RetryAfter are set for a refusal.
	Reason     outcome.Reason
	RetryAfter time.Duration
}
