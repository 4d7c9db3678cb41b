package swarm

import "time"

const (
	// A rate-limited answer doubles the gap between two requests, to at least
	// firstGap and at most maxGap. Every verified chunk shortens it by the
	// fraction gapShrink.
	firstGap  = 20 * time.Millisecond
	maxGap    = 10 * time.Second
	gapShrink = 0.05
	// switchAfter consecutive failures switch between origin and store.
	switchAfter = 2
	// After storeTime the origin is tried again.
	storeTime = 10 * time.Second
)

// source tracks the health and rate limits of the origin and the weight store.
type source struct {
	hasStore  bool
	store     bool      // requests go to the store, not the origin
	switched  time.Time // of the last switch between origin and store
	failures  int
	gap       time.Duration
	last      time.Time
	notBefore time.Time // no request before this time
	// average is the moving average of the duration of successful fetches.
	average time.Duration
}

func (o *source) available(now time.Time) bool {
	if o.store && now.Sub(o.switched) > storeTime {
		o.switchSource(now)
	}
	return !now.Before(o.notBefore)
}

func (o *source) requested(now time.Time) {
	o.last = now
	o.notBefore = now.Add(o.gap)
}

// progressTimeout is how long a fetch may receive no byte. It grows with each
// consecutive failure, since a fetch from an origin that is slower than the
// first timeout would otherwise never succeed, and it is at least slowFactor
// times the average fetch (up to maxBackoff).
func (o *source) progressTimeout(first time.Duration) time.Duration {
	return max(backoff(first, o.failures), min(maxBackoff, slowFactor*o.average))
}

func (o *source) requestEnded(ev Ended, took time.Duration, now time.Time) {
	switch ev.Outcome {
	case Verified:
		o.failures = 0
		o.average = movingAverage(o.average, took)
		o.gap -= time.Duration(gapShrink * float64(o.gap))
	case Limited:
		o.limited(ev.RetryAfter, now)
	case Dropped:
	default:
		o.failed(now)
	}
}

// limited slows down requests after a rate-limited answer.
func (o *source) limited(retryAfter time.Duration, now time.Time) {
	o.gap = min(maxGap, max(firstGap, 2*o.gap))
	if until := now.Add(max(retryAfter, o.gap)); until.After(o.notBefore) {
		o.notBefore = until
	}
}

func (o *source) failed(now time.Time) {
	o.notBefore = now.Add(backoff(firstBackoff, o.failures))
	o.failures++
	if o.hasStore && o.failures%switchAfter == 0 {
		o.switchSource(now)
	}
}

func (o *source) switchSource(now time.Time) {
	o.store = !o.store
	o.switched = now
	o.notBefore = now
}
