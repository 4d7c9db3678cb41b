package admission

import (
	"math"
	"time"
)

// patience is a band of the time that callers have left when they ask. Each band has a flow of
// its own, and all of a band may wait for the same time. In one queue, with each one's own
// deadline to decide who may join, the queue would stand as long as those with most time may
// wait while more is asked than the slots bear, and the others would never fit.
type patience int

const (
	// endless is the patience of callers without a deadline.
	endless patience = math.MaxInt
	// leastPatience is the upper bound of band 0, and bandsPerDouble how many bands there are
	// between a time and its double.
	leastPatience  = 250 * time.Millisecond
	bandsPerDouble = 4
)

// patienceUntil returns the band of a caller with this deadline, zero if it has none.
func patienceUntil(now, deadline time.Time) patience {
	if deadline.IsZero() {
		return endless
	}
	return patienceOf(deadline.Sub(now))
}

// patienceOf returns the band of a caller that has this much time left.
func patienceOf(left time.Duration) patience {
	if left < leastPatience {
		return 0
	}
	return 1 + patience(bandsPerDouble*math.Log2(float64(left)/float64(leastPatience)))
}

// least is the lower bound of a band that has an end.
func (p patience) least() time.Duration {
	if p <= 0 {
		return 0
	}
	return time.Duration(float64(leastPatience) * math.Exp2(float64(p-1)/bandsPerDouble))
}
