// Package retry decides whether a request is retried after an attempt.
//
// A Budget, shared by all requests to a service, bounds retries to a share of
// the recent requests, so that they do not amplify a brown-out. An Attempts
// value tracks the attempts of one request. The time and the seed of the
// jitter are arguments.
package retry

import (
	"sync"
	"time"
)

// budgetBuckets is the number of buckets that a budget's window consists of.
const budgetBuckets = 10

// BudgetConfig bounds the retries of one service at one entry.
type BudgetConfig struct {
	// Share is the number of retries allowed per request in the window.
	Share float64
	// Floor is the number of retries per window that is added to the share, so
	// that an entry with few requests can retry at all.
	Floor int
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

// DefaultBudget allows one retry per five requests. That is enough to retry
// all requests in progress in one of 12 zones when that zone fails (see
// docs/CAPACITY.md), and bounds the load in a brown-out to 1.2 times.
var DefaultBudget = BudgetConfig{Share: 0.2, Floor: 3, Window: 10 * time.Second}

// Budget counts requests and retries in a sliding window. It is safe for
// concurrent use.
type Budget struct {
	cfg   BudgetConfig
	width time.Duration

	mu       sync.Mutex
	newest   int64 // number of the newest bucket since the Unix epoch
	buckets  [budgetBuckets]bucket
	requests int
	retries  int
}

type bucket struct{ requests, retries int }

// NewBudget returns an empty budget.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, width: max(cfg.Window/budgetBuckets, time.Millisecond)}
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

// SetFloor changes the Floor of the configuration.
func (b *Budget) SetFloor(floor int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Floor = floor
}

// Left returns the number of retries available now, including a fraction.
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

func (b *Budget) current() *bucket { return &b.buckets[b.newest%budgetBuckets] }

// slide drops the buckets that have left the window. If the clock steps back,
// requests and retries still count in the newest bucket.
func (b *Budget) slide(now time.Time) {
	number := now.UnixNano() / int64(b.width)
	if number-b.newest >= budgetBuckets {
		b.buckets = [budgetBuckets]bucket{}
		b.requests, b.retries = 0, 0
		b.newest = number
		return
	}
	for b.newest < number {
		b.newest++
		old := b.current()
		b.requests -= old.requests
		b.retries -= old.retries
		*old = bucket{}
	}
}
