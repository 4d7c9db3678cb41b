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

// Callers state between 0.85 and 1.0 of the timeout at their first attempt; a fixed bound at
// 0.97 of it took most of them for client retries.
func TestFirstAttemptsWithVaryingDeadlines(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	first := func() time.Duration {
		return time.Duration((0.85 + 0.15*draw.Float64()) * float64(timeout))
	}
	d := NewDeadlines()
	for range 200 {
		assert.False(t, d.IsClientRetry(start, route, first(), timeout))
	}
	d.Refused(start, time.Second)
	misjudged := 0
	for range 1000 {
		if d.IsClientRetry(start, route, first(), timeout) {
			misjudged++
		}
	}
	assert.Less(t, misjudged, 80, "of 1000 first attempts")
	found := 0
	for range 1000 {
		if d.IsClientRetry(start, route, first()-2*time.Second, timeout) {
			found++
		}
	}
	assert.Equal(t, 1000, found, "after 2 s")
}

func TestRetriesAreFoundSoonerWhenDeadlinesAreEqual(t *testing.T) {
	d := NewDeadlines()
	for range minSample {
		d.IsClientRetry(start, route, timeout-3*time.Millisecond, timeout)
	}
	d.Refused(start, time.Second)
	assert.False(t, d.IsClientRetry(start, route, timeout, timeout))
	assert.True(t, d.IsClientRetry(start, route, timeout-200*time.Millisecond, timeout))
}

// After operators raise a timeout, callers with the old one must not count as client retries.
func TestRaisedRouteTimeoutDoesNotMarkRetries(t *testing.T) {
	d := NewDeadlines()
	for range minSample {
		d.IsClientRetry(start, route, timeout, timeout)
	}
	d.Refused(start, time.Second)
	assert.False(t, d.IsClientRetry(start, route, timeout, 2*timeout))
}

func TestRemovedRoutesAreForgotten(t *testing.T) {
	d := NewDeadlines()
	for _, name := range []string{"kept", "gone"} {
		for range minSample {
			d.IsClientRetry(start, name, timeout/2, timeout)
		}
	}
	d.Keep([]string{"kept"})
	d.Refused(start, time.Second)
	assert.False(t, d.IsClientRetry(start, "kept", timeout/2, timeout))
	assert.True(t, d.IsClientRetry(start, "gone", timeout/2, timeout), "by the route's timeout")
}

func TestDeadlinesOfRetriesAreNotLearned(t *testing.T) {
	d := NewDeadlines()
	d.Refused(start, time.Second)
	for range sampleSize {
		assert.True(t, d.IsClientRetry(start, route, timeout/2, timeout))
	}
	assert.False(t, d.IsClientRetry(start, route, timeout, timeout), "by the route's timeout")
	later := start.Add(time.Second + learningPause)
	assert.False(t, d.IsClientRetry(later, route, timeout/2, timeout), "nobody was refused recently")
}

// Regression: entries that restarted under overload had no sample, and operators had raised the timeout: all first
// attempts of the route were taken for client retries until the overload ended, 3,109 of 6,500 in 10 s.
func TestFirstAttemptsBelowTheTimeoutAreNotRetriesWithoutASample(t *testing.T) {
	d := NewDeadlines()
	retries := 0
	for i := range 200 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		d.RefusedFirst(now, route, 800*time.Millisecond)
		first := d.IsClientRetry(now, route, timeout/2, timeout)
		if now.Sub(start) >= recentKnown {
			assert.False(t, first, "a first attempt states half of the timeout")
		}
		if d.IsClientRetry(now, route, timeout/2-time.Second, timeout) {
			retries++
		}
	}
	assert.Equal(t, 200, retries)
}

// Callers that state less than before must not count as client retries for good.
func TestShorterDeadlinesThanLearnedAreNotRetriesForGood(t *testing.T) {
	d := NewDeadlines()
	for range sampleSize {
		d.IsClientRetry(start, route, timeout, timeout)
	}
	d.Refused(start, time.Hour)
	assert.True(t, d.IsClientRetry(start, route, timeout/2, timeout))
	later := start.Add(2 * recentDeadlines)
	d.IsClientRetry(later, route, timeout/2, timeout)
	assert.False(t, d.IsClientRetry(later.Add(recentKnown), route, timeout/2, timeout), "nobody has stated more for 12 s")
}

// Regression: entries that restart under overload never learn while callers are refused, and took first attempts that state
// 0.85 to 0.97 of the timeout for client retries; these were refused, too, so that it went on for 20 s.
func TestVaryingFirstAttemptsAreNotRetriesWithoutASample(t *testing.T) {
	draw := rand.New(rand.NewPCG(2, 1))
	d := NewDeadlines()
	misjudged, found := 0, 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		d.RefusedFirst(now, route, 1500*time.Millisecond)
		d.RefusedFirst(now, "other", 100*time.Millisecond)
		d.Refused(now, 50*time.Millisecond)
		first := time.Duration((0.85 + 0.15*draw.Float64()) * float64(timeout))
		if d.IsClientRetry(now, route, first, timeout) {
			misjudged++
		}
		if d.IsClientRetry(now, route, first-1500*time.Millisecond, timeout) {
			found++
		}
	}
	assert.Less(t, misjudged, 10, "of 1000 first attempts")
	assert.Greater(t, found, 990, "of 1000 client retries")
}
