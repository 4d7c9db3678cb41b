package admission

import "time"

// bucket is a token bucket. Its level may be negative after a settlement.
type bucket struct {
	rate  float64 // per second; 0 means no limit
	burst float64
	level float64
	last  time.Time
}

// setRate changes the rate and keeps what is saved up within the new burst.
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

// wait returns how long until n may be taken; 0 means now. More than the
// burst is let through on a full bucket and leaves it in debt.
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
