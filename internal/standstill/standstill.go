// Package standstill runs timing-dependent test scenarios on machines that may not schedule
// the test process, or the processes that it judges, in time. It measures for how long they
// stalled during a scenario, and repeats one that failed meanwhile. No daemon imports it.
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
	// A gap between two samples that exceeds stallThreshold counts as a stall; scenarios must
	// tolerate shorter ones.
	sampleInterval = 20 * time.Millisecond
	stallThreshold = 100 * time.Millisecond
	// maxRuns limits the runs of a scenario. If it failed in all of them while the process
	// stalled, the test fails, since it has shown nothing about the code under test.
	maxRuns = 5
)

// Run runs a scenario. If it fails, t fails at once unless the process stalled during the
// run; in that case the scenario runs again, up to maxRuns times in all.
func Run(t *testing.T, scenario func(t testing.TB)) {
	t.Helper()
	runScenario(t, func() stallMeter { return startMonitor() }, scenario)
}

// stallMeter measures how long the process has stalled since the meter was created.
type stallMeter interface{ stop() time.Duration }

// runScenario implements Run for any test and stall meter.
func runScenario(t testing.TB, newMeter func() stallMeter, scenario func(t testing.TB)) {
	t.Helper()
	for range maxRuns {
		r := runOnce(t, newMeter(), scenario)
		if !r.Failed() {
			return
		}
		if r.stalled == 0 {
			for _, message := range r.messages {
				t.Error(message)
			}
			t.FailNow()
		}
		t.Logf("scenario failed while the process or a watched one stalled for %v; running it again: %v", r.stalled, r.messages)
	}
	t.Fatalf("scenario failed in each of %d runs while the process or a watched one stalled", maxRuns)
}

// scenarioRun is the testing.TB of one run of a scenario. It records failures instead of
// reporting them.
type scenarioRun struct {
	testing.TB
	ctx     context.Context
	stalled time.Duration
	// processes are those of Watch.
	processes *processMonitor

	mu sync.Mutex
	// noted are the stalls that the scenario has found itself.
	noted    time.Duration
	messages []string
	failed   bool
	cleanups []func()
}

func runOnce(t testing.TB, meter stallMeter, scenario func(t testing.TB)) *scenarioRun {
	ctx, cancel := context.WithCancel(t.Context())
	r := &scenarioRun{TB: t, ctx: ctx, processes: startProcessMonitor()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer r.runCleanups()
		defer cancel()
		scenario(r)
	}()
	<-done
	r.stalled = meter.stop() + r.processes.stop() + r.noted
	return r
}

// Note records that the machine held up a scenario for a time, as by a disk that stalled. Like the stalls that are measured, it has a
// run that fails repeated, and no other effect.
func Note(t testing.TB, stalled time.Duration) {
	r, ok := t.(*scenarioRun)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noted += stalled
}

func (r *scenarioRun) runCleanups() {
	for len(r.cleanups) > 0 {
		last := r.cleanups[len(r.cleanups)-1]
		r.cleanups = r.cleanups[:len(r.cleanups)-1]
		last()
	}
}

// Context returns a context that is cancelled before the cleanup functions run.
func (r *scenarioRun) Context() context.Context { return r.ctx }

// Cleanup registers f to be called at the end of this run.
func (r *scenarioRun) Cleanup(f func()) { r.cleanups = append(r.cleanups, f) }

// Fail marks this run as failed.
func (r *scenarioRun) Fail() { r.record("") }

// Failed reports whether this run has failed.
func (r *scenarioRun) Failed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// FailNow marks this run as failed and ends it.
func (r *scenarioRun) FailNow() {
	r.Fail()
	runtime.Goexit()
}

// Error records a message and marks this run as failed.
func (r *scenarioRun) Error(args ...any) { r.record(fmt.Sprint(args...)) }

// Errorf records a formatted message and marks this run as failed.
func (r *scenarioRun) Errorf(format string, args ...any) { r.record(fmt.Sprintf(format, args...)) }

// Fatal is Error followed by FailNow.
func (r *scenarioRun) Fatal(args ...any) {
	r.Error(args...)
	runtime.Goexit()
}

// Fatalf is Errorf followed by FailNow.
func (r *scenarioRun) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	runtime.Goexit()
}

func (r *scenarioRun) record(message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
	if message != "" {
		r.messages = append(r.messages, message)
	}
}

// stallMonitor is a stallMeter that samples the clock every sampleInterval.
type stallMonitor struct {
	quit       chan struct{}
	done       chan struct{}
	lastSample time.Time
	stalled    time.Duration
}

func startMonitor() *stallMonitor {
	m := &stallMonitor{quit: make(chan struct{}), done: make(chan struct{}), lastSample: time.Now()}
	go func() {
		defer close(m.done)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				m.sample(time.Now())
			case <-m.quit:
				m.sample(time.Now())
				return
			}
		}
	}()
	return m
}

func (m *stallMonitor) sample(now time.Time) {
	if gap := now.Sub(m.lastSample); gap > stallThreshold {
		m.stalled += gap
	}
	m.lastSample = now
}

// stop ends the sampling and returns the total stall time since startMonitor.
func (m *stallMonitor) stop() time.Duration {
	close(m.quit)
	<-m.done
	return m.stalled
}
