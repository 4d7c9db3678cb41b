package admission

import (
	"math"
	"time"
)

// deadlineBand groups requests by the time that they have left on arrival. Each
// band has a flow of its own, and all its requests may wait for the same time. In
// a single queue that admits each request by its own deadline, under overload the
// queue would grow to the wait that the longest deadlines allow, and requests with
// shorter ones would never be admitted.
type deadlineBand int

const (
	// noDeadline is the band of requests without a deadline.
	noDeadline deadlineBand = math.MaxInt
	// firstBandBound is the upper bound of band 0, and bandsPerDoubling the
	// number of bands between a time and its double.
	firstBandBound   = 250 * time.Millisecond
	bandsPerDoubling = 4
)

// bandUntil returns the band of a request with this deadline; a zero deadline
// means none.
func bandUntil(now, deadline time.Time) deadlineBand {
	if deadline.IsZero() {
		return noDeadline
	}
	return bandOf(deadline.Sub(now))
}

// bandOf returns the band of a request that has this much time left.
func bandOf(left time.Duration) deadlineBand {
	if left < firstBandBound {
		return 0
	}
	return 1 + deadlineBand(bandsPerDoubling*math.Log2(float64(left)/float64(firstBandBound)))
}

// lowerBound returns the shortest time left in a band other than noDeadline.
func (b deadlineBand) lowerBound() time.Duration {
	if b <= 0 {
		return 0
	}
	return time.Duration(float64(firstBandBound) * math.Exp2(float64(b-1)/bandsPerDoubling))
}
