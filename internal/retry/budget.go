// Package retry decides whether the system repeats a request by itself.
//
// Two things are kept apart: a Budget, shared by all requests to a service,
// which bounds retries to a share of recent requests so that a brown-out is
// not amplified; and an Attempts value per request, which knows what has
// happened to this one. Time and jitter come in as arguments.
package retry

import (
	"sync"
	"time"
)

// budgetSlots is the number of slots a budget's window is cut into.
const budgetSlots = 10

// BudgetConfig bounds the retries of one service at one entry.
type BudgetConfig struct {
	// Share of the requests in the window that may be retries.
	Share float64
	// Floor is the number of retries per window allowed without regard to
	// the share, so that an entry with few requests can retry at all.
	Floor int
	// Window over which requests and retries are counted.
	Window time.Duration
}

// DefaultBudget allows one retry in five requests: enough for the answers in
// progress in one of 12 zones to be made again elsewhere when it is lost (see
// docs/CAPACITY.md), and no more load than 1.2 times in a brown-out.
var DefaultBudget = BudgetConfig{Share: 0.2, Floor: 3, Window: 10 * time.Second}

// Budget counts requests and retries in a sliding window. It is safe for
// concurrent use.
type Budget struct {
	cfg   BudgetConfig
	width time.Duration

	mu       sync.Mutex
	newest   int64 // number of the newest slot since the Unix epoch
	slots    [budgetSlots]slot
	requests int
	retries  int
}

type slot struct{ requests, retries int }

// NewBudget returns an empty budget.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, width: max(cfg.Window/budgetSlots, time.Millisecond)}
}

// Request counts the first attempt of a request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	b.current().requests++
	b.requests++
}

// TryRetry takes one retry from the budget. It returns false, taking
// nothing, when the budget is used up.
func (b *Budget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	if b.left() < 1 {
		return false
	}
	b.current().retries++
	b.retries++
	return true
}

// SetFloor changes the number of retries that are allowed without regard to the
// share.
func (b *Budget) SetFloor(floor int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Floor = floor
}

// Left returns how many retries may be taken now, in parts of one.
func (b *Budget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	return max(b.left(), 0)
}

func (b *Budget) left() float64 {
	return b.cfg.Share*float64(b.requests) + float64(b.cfg.Floor) - float64(b.retries)
}

// Counts returns the requests and retries in the window.
func (b *Budget) Counts(now time.Time) (requests, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	return b.requests, b.retries
}

func (b *Budget) current() *slot { return &b.slots[b.newest%budgetSlots] }

// slide drops the slots that have left the window. A clock that goes back
// goes on counting in the newest slot.
func (b *Budget) slide(now time.Time) {
	number := now.UnixNano() / int64(b.width)
	if number-b.newest >= budgetSlots {
		b.slots = [budgetSlots]slot{}
		b.requests, b.retries = 0, 0
		b.newest = number
		return
	}
	for b.newest < number {
		b.newest++
		old := b.current()
		b.requests -= old.requests
		b.retries -= old.retries
		*old = slot{}
	}
}
