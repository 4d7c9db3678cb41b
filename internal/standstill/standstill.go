// Package standstill lets tests that judge by the clock judge the product only, not a
// machine on which the test's process did not run: such a scenario measures its own
// standstill, and one that failed beside a standstill is played again. No daemon imports it.
package standstill

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"
)

const (
	// tick is how often it is looked whether the process runs; least is the lateness above
	// which it did not: scenarios allow for less.
	tick  = 20 * time.Millisecond
	least = 100 * time.Millisecond
	// most plays of a scenario; if the process stood still in all of them, nothing is known
	// of the product, and the test fails.
	most = 5
)

// Judge plays a scenario. A failure counts at once if the process ran all the while; else
// the scenario is played again.
func Judge(t *testing.T, scenario func(t testing.TB)) {
	t.Helper()
	judge(t, func() stopwatch { return start() }, scenario)
}

// stopwatch tells for how long the process stood still since it was made.
type stopwatch interface{ stop() time.Duration }

// judge is Judge for any test and stopwatch.
func judge(t testing.TB, newWatch func() stopwatch, scenario func(t testing.TB)) {
	t.Helper()
	for range most {
		p := play(t, newWatch(), scenario)
		if !p.Failed() {
			return
		}
		if p.stood == 0 {
			for _, message := range p.messages {
				t.Error(message)
			}
			t.FailNow()
		}
		t.Logf("the process stood still for %v in a scenario that failed; it is played again: %v", p.stood, p.messages)
	}
	t.Fatalf("the process stood still in each of %d plays", most)
}

// attempt is one play of a scenario: a test whose failures are kept.
type attempt struct {
	testing.TB
	ctx   context.Context
	stood time.Duration

	mu       sync.Mutex
	messages []string
	failed   bool
	cleanups []func()
}

func play(t testing.TB, clock stopwatch, scenario func(t testing.TB)) *attempt {
	ctx, cancel := context.WithCancel(t.Context())
	a := &attempt{TB: t, ctx: ctx}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer a.runCleanups()
		defer cancel()
		scenario(a)
	}()
	<-done
	a.stood = clock.stop()
	return a
}

func (a *attempt) runCleanups() {
	for len(a.cleanups) > 0 {
		last := a.cleanups[len(a.cleanups)-1]
		a.cleanups = a.cleanups[:len(a.cleanups)-1]
		last()
	}
}

// Context ends before the cleanups.
func (a *attempt) Context() context.Context { return a.ctx }

// Cleanup runs f when this play has ended.
func (a *attempt) Cleanup(f func()) { a.cleanups = append(a.cleanups, f) }

// Fail marks this play as failed.
func (a *attempt) Fail() { a.note("") }

// Failed tells whether this play has failed.
func (a *attempt) Failed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failed
}

// FailNow ends this play.
func (a *attempt) FailNow() {
	a.Fail()
	runtime.Goexit()
}

// Error marks this play as failed.
func (a *attempt) Error(args ...any) { a.note(fmt.Sprint(args...)) }

// Errorf marks this play as failed.
func (a *attempt) Errorf(format string, args ...any) { a.note(fmt.Sprintf(format, args...)) }

// Fatal ends this play.
func (a *attempt) Fatal(args ...any) {
	a.Error(args...)
	runtime.Goexit()
}

// Fatalf ends this play.
func (a *attempt) Fatalf(format string, args ...any) {
	a.Errorf(format, args...)
	runtime.Goexit()
}

func (a *attempt) note(message string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed = true
	if message != "" {
		a.messages = append(a.messages, message)
	}
}

// watch measures for how long the process stands still.
type watch struct {
	quit  chan struct{}
	ended chan struct{}
	seen  time.Time
	stood time.Duration
}

func start() *watch {
	w := &watch{quit: make(chan struct{}), ended: make(chan struct{}), seen: time.Now()}
	go func() {
		defer close(w.ended)
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.note(time.Now())
			case <-w.quit:
				w.note(time.Now())
				return
			}
		}
	}()
	return w
}

func (w *watch) note(now time.Time) {
	if gap := now.Sub(w.seen); gap > least {
		w.stood += gap
	}
	w.seen = now
}

// stop returns for how long the process stood still since start.
func (w *watch) stop() time.Duration {
	close(w.quit)
	<-w.ended
	return w.stood
}
