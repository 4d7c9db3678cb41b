// Package shutdown tells requests when their process ends.
//
// State of an End: the time of the end, set once at the begin of a stop. An estimate of answer times is a value of its owner.
package shutdown

import (
	"context"
	"errors"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
)

// ErrStopping is the cause of contexts that end because the process does.
var ErrStopping = errors.New("the process stops")

// CanEnd reports whether what takes this long ends by end if it begins now.
func CanEnd(now time.Time, takes time.Duration, end time.Time) bool {
	return !now.Add(takes).After(end)
}

// End is when the process ends. It is safe for concurrent use.
type End struct {
	begun context.Context
	begin context.CancelFunc

	mu sync.Mutex
	at time.Time
}

// NewEnd returns the end of a process that does not stop.
func NewEnd() *End {
	e := &End{}
	e.begun, e.begin = context.WithCancel(context.Background())
	return e
}

// Set begins a stop that ends at this time of package clock. Only the first call has an effect: a second signal shortens nothing.
func (e *End) Set(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.at.IsZero() {
		e.at = at
		e.begin()
	}
}

// At returns when the process ends; ok is false while it does not stop.
func (e *End) At() (at time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.at, !e.at.IsZero()
}

// Allows reports whether what takes this long may begin now: always while the process does not stop.
func (e *End) Allows(now time.Time, takes time.Duration) bool {
	at, stopping := e.At()
	return !stopping || CanEnd(now, takes, at)
}

// Reached reports whether the end has come.
func (e *End) Reached(now time.Time) bool {
	at, stopping := e.At()
	return stopping && !now.Before(at)
}

// AfterFunc calls f in its own goroutine once the end is no further away than lead, which may be at once, also if the stop
// begins later. After stop has returned, f has ended or will not be called. f must not call stop.
func (e *End) AfterFunc(lead time.Duration, f func()) (stop func()) {
	var (
		mu      sync.Mutex
		stopped bool
		timer   *time.Timer
	)
	call := func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			f()
		}
	}
	unlink := context.AfterFunc(e.begun, func() {
		mu.Lock()
		defer mu.Unlock()
		if at, _ := e.At(); !stopped {
			timer = time.AfterFunc(clock.Until(at)-lead, call)
		}
	})
	return func() {
		unlink()
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		if timer != nil {
			timer.Stop()
		}
	}
}

// Context returns a context that ends with parent, or with the cause ErrStopping once the end is no further away than lead.
func (e *End) Context(parent context.Context, lead time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := e.AfterFunc(lead, func() { cancel(ErrStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
