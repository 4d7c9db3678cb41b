package swarm

import "time"

const (
	// A refusal for the rate at least doubles the gap between two requests,
	// every verified chunk shortens it by gapShrink.
	firstGap  = 20 * time.Millisecond
	maxGap    = 10 * time.Second
	gapShrink = 0.05
	// storeAfter failures in a row the other of origin and store is asked.
	storeAfter = 2
	// After storeFor the origin is tried again.
	storeFor = 10 * time.Second
)

// source is the conduct of the origin and the weight store.
type source struct {
	hasStore bool
	store    bool // the store is asked, not the origin
	since    time.Time
	failures int
	gap      time.Duration
	last     time.Time
	notAsked time.Time // not before this time
	// usual is the smoothed duration of a fetch that ended well.
	usual time.Duration
}

func (o *source) open(now time.Time) bool {
	if o.store && now.Sub(o.since) > storeFor {
		o.swap(now)
	}
	return !now.Before(o.notAsked)
}

func (o *source) asked(now time.Time) {
	o.last = now
	o.notAsked = now.Add(o.gap)
}

// patience is how long a fetch may bring no byte: longer with each failure in
// a row, or an origin that takes longer than the first would never be given
// the time; and never shorter than a few times what fetches take.
func (o *source) patience(first time.Duration) time.Duration {
	return max(backoff(first, o.failures), min(maxPause, slowFactor*o.usual))
}

func (o *source) ended(ev Ended, took time.Duration, now time.Time) {
	switch ev.Outcome {
	case Verified:
		o.failures = 0
		o.usual = smoothed(o.usual, took)
		o.gap -= time.Duration(gapShrink * float64(o.gap))
	case Limited:
		o.limited(ev.RetryAfter, now)
	case Dropped:
	default:
		o.failed(now)
	}
}

// limited learns from a refusal that requests came too fast.
func (o *source) limited(retryAfter time.Duration, now time.Time) {
	o.gap = min(maxGap, max(firstGap, 2*o.gap))
	if until := now.Add(max(retryAfter, o.gap)); until.After(o.notAsked) {
		o.notAsked = until
	}
}

func (o *source) failed(now time.Time) {
	o.notAsked = now.Add(backoff(failedPause, o.failures))
	o.failures++
	if o.hasStore && o.failures%storeAfter == 0 {
		o.swap(now)
	}
}

func (o *source) swap(now time.Time) {
	o.store = !o.store
	o.since = now
	o.notAsked = now
}
