// Package retryafter advises refused callers when to return.
//
// A caller returns once. While returning callers are served, an early return costs it the least time.
// While they are refused, a late one has the best chance that the overload has ended by then. The advice
// follows the share of returning callers that were refused in the last seconds, and the returns of
// callers refused at the same moment are spread evenly.
//
// State: the decayed numbers of returning callers served and refused, and the position in the
// sequence that spreads the returns. Messages: none; time is an argument, and an Advisor is not safe for
// concurrent use.
package retryafter

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// leftDivisor divides the time that a caller has left: callers wait for at most a third of it.
	leftDivisor = 3
	// earliestObjectives is the earliest return, in objectives: sooner, the overload that the caller
	// met has not changed.
	earliestObjectives = 2
	// earlyObjectives is the time over which early returns are spread, in objectives.
	earlyObjectives = 3
	// latePart is the part of the longest advice over which late returns are spread, at its end.
	latePart = 1.0 / 4
	// halfLife is that of observations: callers with a deadline of 6 s return within 2 s, so that
	// older results tell of an earlier load.
	halfLife = 2 * time.Second
	// assumedRefused is the number of refused callers assumed besides those observed. Without observations the
	// advice is late: the first callers of an overload would otherwise return before anything is
	// known of its length, and one served caller alone does not make it entirely early.
	assumedRefused = 1
	// step is the golden ratio less 1. Any number of successive multiples of it modulo 1 is spread evenly;
	// independent random numbers form clusters.
	step = 1 / math.Phi
)

// Advisor computes the value of Retry-After.
type Advisor struct {
	// served and refused are decayed numbers of returning callers, as of the time at.
	served, refused float64
	at              time.Time
	// position is the position of the last advice in the range of returns, in [0, 1).
	position float64
}

// New returns an Advisor without observations. One number is drawn from source, so that Advisors at
// different entries advise different times.
func New(source rand.Source) *Advisor {
	return &Advisor{position: rand.New(source).Float64()}
}

// Observe records a client retry that was served or refused at this time.
func (a *Advisor) Observe(now time.Time, served bool) {
	a.decay(now)
	if served {
		a.served++
	} else {
		a.refused++
	}
}

// Advise returns after what time a caller that is refused now should return.
//
// left is the time until the caller's deadline; the result is at most a third of it, and 0 if there is none
// left. objective is the time within which its first event is due; if it is not positive, the
// advice is late. soonest is the time until capacity is predicted to be available, 0 if unknown.
func (a *Advisor) Advise(now time.Time, left, objective, soonest time.Duration) time.Duration {
	a.decay(now)
	longest := max(left, 0) / leftDivisor
	lateFrom := longest - time.Duration(latePart*float64(longest))
	share := a.refusedShare()
	if objective <= 0 {
		share = 1
	}
	// Where little time is left, the early range begins no later than the late one. If it were only cut at
	// longest, it would shrink to a single moment.
	earlyFrom := min(max(soonest, earliestObjectives*objective), lateFrom)
	earlyTo := min(earlyFrom+earlyObjectives*objective, longest)
	from, to := between(earlyFrom, lateFrom, share), between(earlyTo, longest, share)
	_, a.position = math.Modf(a.position + step)
	return between(from, to, a.position)
}

// refusedShare returns the share of returning callers that were refused lately.
func (a *Advisor) refusedShare() float64 {
	return (a.refused + assumedRefused) / (a.refused + a.served + assumedRefused)
}

// decay reduces the weight of earlier observations. A time before the last one counts as the last one.
func (a *Advisor) decay(now time.Time) {
	if age := now.Sub(a.at); age > 0 {
		factor := math.Exp2(-float64(age) / float64(halfLife))
		a.served, a.refused, a.at = a.served*factor, a.refused*factor, now
	}
}

// between returns the duration at this share of the way between two durations.
func between(from, to time.Duration, share float64) time.Duration {
	return from + time.Duration(share*float64(to-from))
}
