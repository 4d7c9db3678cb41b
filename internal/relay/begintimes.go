package relay

import "time"

const (
	// beginMemory is for how long the time that a request has taken to begin counts.
	beginMemory = 10 * time.Second
	// usualSilence is the longest standstill of a sound engine that is to keep the bound after it has read a request, if it
	// begins that within unseenSlowdown times the longest time that it took lately.
	usualSilence   = 1600 * time.Millisecond
	unseenSlowdown = 1.5
)

// beginTimes is the longest time that an engine took lately to begin a request that it got while a slot was free.
type beginTimes struct {
	longest time.Duration
	at      time.Time
}

// add records that a request began, or was closed, this long after it was passed on.
func (b *beginTimes) add(took time.Duration, now time.Time) {
	if took >= b.last(now) {
		b.longest, b.at = took, now
	}
}

// last returns the longest time within beginMemory.
func (b *beginTimes) last(now time.Time) time.Duration {
	if now.Sub(b.at) >= beginMemory {
		return 0
	}
	return b.longest
}

// silenceMargin returns how long before the bound the last request is passed on to an engine that took this long to begin one.
func silenceMargin(beginTime time.Duration) time.Duration {
	return usualSilence + time.Duration(unseenSlowdown*float64(beginTime))
}
