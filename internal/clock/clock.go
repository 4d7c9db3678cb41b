// Package clock provides the time used for ages and deadlines: the age of a snapshot or report,
// how long weights may be used, when a caller's deadline passes. It keeps counting while the VM is
// suspended, unlike Go's monotonic clock (CLOCK_MONOTONIC), and ignores steps of the wall clock.
//
// State: the total suspension of the VM since the process started. Messages: none. Now makes no
// extra system call unless the wall clock and the monotonic clock have drifted apart. A suspension
// and a step of the wall clock both cause that; CLOCK_BOOTTIME is then read to tell them apart.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// driftTolerance is the drift between the wall clock and the monotonic clock above which
	// CLOCK_BOOTTIME is read. It is below any age limit in the system and above what slewing
	// moves the wall clock within seconds.
	driftTolerance = 10 * time.Millisecond
	// minSuspension is the shortest difference counted as a suspension: the three clocks are
	// not read at the same instant.
	minSuspension = 2 * time.Millisecond
	// watchInterval is how often Watch reads CLOCK_BOOTTIME, to find suspensions that a step of
	// the wall clock has cancelled out.
	watchInterval = time.Second
)

// Source reads the clocks of a VM.
type Source struct {
	// Drift returns how far the wall clock has moved ahead of the monotonic clock since some
	// fixed instant. Every Now calls it, so it must be cheap.
	Drift func(now time.Time) time.Duration
	// Boot returns the time since some fixed instant, including suspensions.
	Boot func() (time.Duration, error)
}

// Clock adds suspensions to the monotonic clock. It is safe for concurrent use.
type Clock struct {
	source    Source
	suspended atomic.Int64 // ns
	drift     atomic.Int64 // ns, as of the last check

	mu sync.Mutex
	// start and boot are the same instant, by the monotonic clock and by Boot.
	start time.Time
	boot  time.Duration
	// bootTimeUnavailable means that CLOCK_BOOTTIME can't be read, so suspensions are not detected.
	bootTimeUnavailable bool
}

// New returns a clock that counts suspensions from now on.
func New(source Source) *Clock {
	c := &Clock{source: source, start: time.Now()}
	var err error
	if c.boot, err = source.Boot(); err != nil {
		c.bootTimeUnavailable = true
	}
	c.drift.Store(int64(source.Drift(c.start)))
	return c
}

// Now returns a time whose monotonic reading includes suspensions. Use it for ages and deadlines
// only: its wall clock reading is ahead by the suspensions since the start.
func (c *Clock) Now() time.Time {
	now := time.Now()
	if moved := c.source.Drift(now) - time.Duration(c.drift.Load()); moved.Abs() > driftTolerance {
		c.updateSuspended()
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

// Suspended returns the total suspension of the VM since the start.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// updateSuspended updates the total suspension from CLOCK_BOOTTIME.
func (c *Clock) updateSuspended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.drift.Store(int64(c.source.Drift(now)))
	if c.bootTimeUnavailable {
		return
	}
	boot, err := c.source.Boot()
	if err != nil {
		return // it was readable before; the next check retries
	}
	suspended := boot - c.boot - now.Sub(c.start)
	if suspended-c.Suspended() > minSuspension {
		c.suspended.Store(int64(suspended))
	}
}

// Watch calls resumed with the length of each suspension until ctx is done.
func (c *Clock) Watch(ctx context.Context, resumed func(time.Duration)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	known := c.Suspended()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		c.updateSuspended()
		if now := c.Suspended(); now > known {
			resumed(now - known)
			known = now
		}
	}
}

// std is the clock of the process.
var std atomic.Pointer[Clock]

func init() { std.Store(New(system())) }

// Use replaces the clock of the process in a test; restore undoes it.
func Use(c *Clock) (restore func()) {
	previous := std.Swap(c)
	return func() { std.Store(previous) }
}

// Now calls Clock.Now on the clock of the process.
func Now() time.Time { return std.Load().Now() }

// Since returns the time elapsed from t to Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time from Now to t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Deadline converts t, a time based on Now, to the clock that timers, contexts and connections
// of the Go runtime use.
func Deadline(t time.Time) time.Time { return t.Add(-std.Load().Suspended()) }

// Watch calls Clock.Watch on the clock of the process.
func Watch(ctx context.Context, resumed func(time.Duration)) { std.Load().Watch(ctx, resumed) }

// system reads the clocks of the VM.
func system() Source {
	start := time.Now()
	return Source{
		Drift: func(now time.Time) time.Duration {
			return now.Round(0).Sub(start.Round(0)) - now.Sub(start) // Round strips the monotonic reading
		},
		Boot: bootTime,
	}
}
