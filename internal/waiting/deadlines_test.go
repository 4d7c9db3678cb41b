package waiting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	route   = "r"
	timeout = 6 * time.Second
)

// TestCallersWhoseDeadlinesDifferAreFirstAttempts: callers that state between 0.85 and 1.0
// of the timeout at their first attempt; a bound at 0.97 of it took most of them for ones
// that come back.
func TestCallersWhoseDeadlinesDifferAreFirstAttempts(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	first := func() time.Duration {
		return time.Duration((0.85 + 0.15*draw.Float64()) * float64(timeout))
	}
	d := NewDeadlines()
	for range 200 {
		assert.False(t, d.ComesBack(start, route, first(), timeout))
	}
	d.Refused(start, time.Second)
	taken := 0
	for range 1000 {
		if d.ComesBack(start, route, first(), timeout) {
			taken++
		}
	}
	assert.Less(t, taken, 80, "of 1000 first attempts")
	back := 0
	for range 1000 {
		if d.ComesBack(start, route, first()-2*time.Second, timeout) {
			back++
		}
	}
	assert.Equal(t, 1000, back, "after 2 s")
}

func TestCallersThatAllStateTheTimeoutAreToldApartSooner(t *testing.T) {
	d := NewDeadlines()
	for range leastSample {
		d.ComesBack(start, route, timeout-3*time.Millisecond, timeout)
	}
	d.Refused(start, time.Second)
	assert.False(t, d.ComesBack(start, route, timeout, timeout))
	assert.True(t, d.ComesBack(start, route, timeout-200*time.Millisecond, timeout))
}

// TestChangedTimeoutOfARouteChangesNothing: a timeout that operators raise does not make
// callers late.
func TestChangedTimeoutOfARouteChangesNothing(t *testing.T) {
	d := NewDeadlines()
	for range leastSample {
		d.ComesBack(start, route, timeout, timeout)
	}
	d.Refused(start, time.Second)
	assert.False(t, d.ComesBack(start, route, timeout, 2*timeout))
}

func TestRoutesThatAreGoneAreForgotten(t *testing.T) {
	d := NewDeadlines()
	for _, name := range []string{"kept", "gone"} {
		for range leastSample {
			d.ComesBack(start, name, timeout/2, timeout)
		}
	}
	d.Keep([]string{"kept"})
	d.Refused(start, time.Second)
	assert.False(t, d.ComesBack(start, "kept", timeout/2, timeout))
	assert.True(t, d.ComesBack(start, "gone", timeout/2, timeout), "by the route's timeout")
}

func TestNothingIsLearnedWhileCallersComeBack(t *testing.T) {
	d := NewDeadlines()
	d.Refused(start, time.Second)
	for range sampleSize {
		assert.True(t, d.ComesBack(start, route, timeout/2, timeout))
	}
	assert.False(t, d.ComesBack(start, route, timeout, timeout), "by the route's timeout")
	later := start.Add(time.Second + afterReturn)
	assert.False(t, d.ComesBack(later, route, timeout/2, timeout), "nobody was refused lately")
}
