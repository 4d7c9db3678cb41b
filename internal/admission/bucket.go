package admission

import "time"

// bucket is a token bucket. Its level is negative after a request for more
// than the burst, or if a request used more tokens than it had reserved.
type bucket struct {
	rate  float64 // per second; 0 means no limit
	burst float64
	level float64
	last  time.Time
}

// setRate changes the rate. Accumulated tokens are kept up to the new burst; a
// bucket that had no rate starts full.
func (b *bucket) setRate(rate float64, burst time.Duration, now time.Time) {
	unset := b.rate <= 0
	b.refill(now)
	b.rate = rate
	b.burst = max(1, rate*burst.Seconds())
	b.level = min(b.level, b.burst)
	if unset {
		b.level = b.burst
	}
}

func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.last); passed > 0 {
		b.level = min(b.level+b.rate*passed.Seconds(), b.burst)
		b.last = now
	}
}

// wait returns the time until n tokens may be taken; 0 means now. A request for
// more than the burst needs a full bucket and leaves the level negative.
func (b *bucket) wait(n float64, now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	missing := min(n, b.burst) - b.level
	if missing <= 0 {
		return 0
	}
	return max(time.Duration(missing/b.rate*float64(time.Second)), time.Nanosecond)
}

func (b *bucket) take(n float64) {
	if b.rate > 0 {
		b.level = min(b.level-n, b.burst)
	}
}
