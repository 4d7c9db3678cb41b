package engine

import "time"

// sample is the load of the engine from a point in time on.
type sample struct {
	at              time.Time
	running, queued int
}

// loadReport reports the load as it was some time ago.
type loadReport struct {
	lag     time.Duration
	samples []sample // by time
}

// record notes the load at now.
func (l *loadReport) record(now time.Time, running, queued int) {
	l.forget(now)
	l.samples = append(l.samples, sample{at: now, running: running, queued: queued})
}

// at returns the load that a caller sees at now.
func (l *loadReport) at(now time.Time) sample {
	l.forget(now)
	if len(l.samples) == 0 || l.samples[0].at.After(now.Add(-l.lag)) {
		return sample{}
	}
	return l.samples[0]
}

// forget drops the samples that no caller can see any more.
func (l *loadReport) forget(now time.Time) {
	seen := now.Add(-l.lag)
	drop := 0
	for drop+1 < len(l.samples) && !l.samples[drop+1].at.After(seen) {
		drop++
	}
	l.samples = l.samples[drop:]
}
