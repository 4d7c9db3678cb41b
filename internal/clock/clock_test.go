package clock_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/clock/clocktest"
)

func TestNowIncludesSuspensionWithoutWatch(t *testing.T) {
	vm := clocktest.New()
	c := clock.New(vm.Source())
	before := c.Now()
	vm.Suspend(5 * time.Second)
	assert.InDelta(t, 5, c.Now().Sub(before).Seconds(), 0.5, "counted at the first Now, without Watch")
	assert.InDelta(t, 5, c.Suspended().Seconds(), 0.1)
	vm.Suspend(2 * time.Second)
	assert.InDelta(t, 7, c.Now().Sub(before).Seconds(), 0.5)
}

func TestWallClockStepIsNoSuspension(t *testing.T) {
	vm := clocktest.New()
	c := clock.New(vm.Source())
	before := c.Now()
	for _, step := range []time.Duration{5 * time.Second, -8 * time.Second, 3 * time.Second} {
		vm.Step(step)
		assert.InDelta(t, 0, c.Now().Sub(before).Seconds(), 0.5)
	}
}

// The wall clock is set back by the length of the suspension, so there is no drift; only Watch
// detects it.
func TestWatchDetectsSuspensionHiddenByStep(t *testing.T) {
	vm := clocktest.New()
	c := clock.New(vm.Source())
	vm.Suspend(5 * time.Second)
	vm.Step(-5 * time.Second)
	seen := make(chan time.Duration, 1)
	go c.Watch(t.Context(), func(d time.Duration) { seen <- d })
	assert.InDelta(t, 5, (<-seen).Seconds(), 0.1)
}

func TestWithoutBootTimeNowFollowsMonotonicClock(t *testing.T) {
	vm := clocktest.New()
	source := vm.Source()
	source.Boot = func() (time.Duration, error) { return 0, errors.ErrUnsupported }
	c := clock.New(source)
	before := c.Now()
	vm.Step(time.Hour)
	assert.InDelta(t, 0, c.Now().Sub(before).Seconds(), 0.5)
}

func TestDeadlineConvertsToRuntimeClock(t *testing.T) {
	vm := clocktest.Install(t)
	vm.Suspend(5 * time.Second)
	by := clock.Now().Add(time.Second)
	require.InDelta(t, 1, clock.Until(by).Seconds(), 0.1)
	assert.InDelta(t, 1, time.Until(clock.Deadline(by)).Seconds(), 0.1)
}

// Without suspensions the default clock runs like the monotonic clock.
func TestDefaultClockFollowsMonotonicClock(t *testing.T) {
	began, monotonic := clock.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	assert.InDelta(t, time.Since(monotonic).Seconds(), clock.Since(began).Seconds(), 0.01)
}

func BenchmarkNow(b *testing.B) {
	b.Run("monotonic clock", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
	b.Run("with suspensions", func(b *testing.B) {
		for b.Loop() {
			clock.Now()
		}
	})
}
