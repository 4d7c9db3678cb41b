// Package clock is the time by which the system judges ages and deadlines: how old news is,
// until when weights may be used, when a caller gives up. It goes on while the VM is suspended,
// which Go's own steady clock (CLOCK_MONOTONIC) does not, and does not follow steps of the time of
// day.
//
// State: how long the VM was suspended since the process started. Messages: none. Now costs no
// system call unless the time of day and the steady clock have moved apart: both move apart by
// a suspension and by a step of the time of day, and only then CLOCK_BOOTTIME tells which it was.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tolerance is by how much the time of day may move against the steady clock before
	// CLOCK_BOOTTIME is asked: less than any age is judged by, more than a slewed clock moves
	// in seconds.
	tolerance = 10 * time.Millisecond
	// leastSuspension is what is taken for one: the three clocks are not read at one moment.
	leastSuspension = 2 * time.Millisecond
	// watchInterval is how often a suspension is looked for that a step of the time of day
	// has hidden.
	watchInterval = time.Second
)

// Source reads the clocks of a VM.
type Source struct {
	// Drift returns by how much the time of day is ahead of the steady clock, since some
	// fixed moment. It is read at each Now and must be cheap.
	Drift func(now time.Time) time.Duration
	// Boot returns the time since some fixed moment, suspensions included.
	Boot func() (time.Duration, error)
}

// Clock adds suspensions to the steady clock. It is safe for concurrent use.
type Clock struct {
	source    Source
	suspended atomic.Int64 // ns
	drift     atomic.Int64 // ns, as of the last look

	mu sync.Mutex
	// start and boot are one moment by the steady clock and by Boot.
	start time.Time
	boot  time.Duration
	// broken: CLOCK_BOOTTIME can't be read here, and suspensions are not seen.
	broken bool
}

// New returns a clock that begins to watch now.
func New(source Source) *Clock {
	c := &Clock{source: source, start: time.Now()}
	var err error
	if c.boot, err = source.Boot(); err != nil {
		c.broken = true
	}
	c.drift.Store(int64(source.Drift(c.start)))
	return c
}

// Now returns a time whose steady part counts suspensions. It is for ages and deadlines: its time
// of day is ahead by the suspensions since the start.
func (c *Clock) Now() time.Time {
	now := time.Now()
	if moved := c.source.Drift(now) - time.Duration(c.drift.Load()); moved.Abs() > tolerance {
		c.look()
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

// Suspended returns for how long the VM was suspended since the start.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// look finds out whether the VM was suspended.
func (c *Clock) look() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.drift.Store(int64(c.source.Drift(now)))
	if c.broken {
		return
	}
	boot, err := c.source.Boot()
	if err != nil {
		return // it could be read before; the next look asks again
	}
	suspended := boot - c.boot - now.Sub(c.start)
	if suspended-c.Suspended() > leastSuspension {
		c.suspended.Store(int64(suspended))
	}
}

// Watch calls resumed after each suspension, with its length, until ctx is done.
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
		c.look()
		if now := c.Suspended(); now > known {
			resumed(now - known)
			known = now
		}
	}
}

// std is the clock of this process.
var std atomic.Pointer[Clock]

func init() { std.Store(New(system())) }

// Use replaces the clock of the process, in tests, and returns what puts the former back.
func Use(c *Clock) (restore func()) {
	former := std.Swap(c)
	return func() { std.Store(former) }
}

// Now is Clock.Now of the process.
func Now() time.Time { return std.Load().Now() }

// Since returns how long ago t was, by Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how far ahead t is, by Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Deadline returns t, which is by Now, as timers and connections of the runtime count.
func Deadline(t time.Time) time.Time { return t.Add(-std.Load().Suspended()) }

// Watch is Clock.Watch of the process.
func Watch(ctx context.Context, resumed func(time.Duration)) { std.Load().Watch(ctx, resumed) }

// system reads the clocks of the VM.
func system() Source {
	start := time.Now()
	return Source{
		Drift: func(now time.Time) time.Duration {
			return now.Round(0).Sub(start.Round(0)) - now.Sub(start) // Round strips the steady part
		},
		Boot: bootTime,
	}
}
