package standstill

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// parentTest is the testing.TB that a scenario is run for.
type parentTest struct {
	testing.TB
	failed bool
}

func (p *parentTest) Error(...any)          { p.failed = true }
func (p *parentTest) Logf(string, ...any)   {}
func (p *parentTest) Fatalf(string, ...any) { p.failed = true; runtime.Goexit() }
func (p *parentTest) FailNow()              { p.failed = true; runtime.Goexit() }

// fakeMeter returns the listed stall times, one per run.
type fakeMeter []time.Duration

func (m *fakeMeter) stop() time.Duration {
	first := (*m)[0]
	*m = (*m)[1:]
	return first
}

func passes(t *testing.T, stalls fakeMeter, scenario func(t testing.TB)) bool {
	p := &parentTest{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		runScenario(p, func() stallMeter { return &stalls }, scenario)
	}()
	<-done
	return !p.failed
}

func TestFailureWithoutStallFailsAtOnce(t *testing.T) {
	for name, fail := range map[string]func(t testing.TB){
		"assert":  func(t testing.TB) { assert.Fail(t, "wrong") },
		"require": func(t testing.TB) { require.Fail(t, "wrong") },
		"fatal":   func(t testing.TB) { t.Fatal("wrong") },
	} {
		runs, cleaned := 0, 0
		assert.False(t, passes(t, fakeMeter{0}, func(t testing.TB) {
			runs++
			t.Cleanup(func() { cleaned++ })
			fail(t)
		}), name)
		assert.Equal(t, 1, runs, name)
		assert.Equal(t, 1, cleaned, name)
	}
}

func TestFailureDuringStallRunsAgain(t *testing.T) {
	runs := 0
	failsFirst := func(t testing.TB) {
		runs++
		require.Greater(t, runs, 1)
	}
	assert.True(t, passes(t, fakeMeter{time.Second, 0}, failsFirst))
	assert.Equal(t, 2, runs)
	fails := func(t testing.TB) { t.Fatal("wrong") }
	assert.False(t, passes(t, fakeMeter{time.Second, 0}, fails), "the second run fails without a stall")
	always := fakeMeter{1, 1, 1, 1, 1}
	assert.False(t, passes(t, always, fails), "the process stalled in every run")
}

func TestMonitorSumsStallTimes(t *testing.T) {
	at := time.Unix(1000, 0)
	m := &stallMonitor{lastSample: at}
	for _, gap := range []time.Duration{sampleInterval, stallThreshold, 3 * time.Second, sampleInterval, time.Second} {
		at = at.Add(gap)
		m.sample(at)
	}
	assert.Equal(t, 4*time.Second, m.stalled)
}

func TestFailureWithANotedStallRunsAgain(t *testing.T) {
	runs := 0
	assert.True(t, passes(t, fakeMeter{0, 0}, func(t testing.TB) {
		if runs++; runs == 1 {
			Note(t, time.Second)
			assert.Fail(t, "wrong")
		}
	}))
	assert.Equal(t, 2, runs)
	Note(t, time.Second) // no scenario
}
