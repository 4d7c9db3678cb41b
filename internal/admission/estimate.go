package admission

import "time"

// estimateGain is the weight of a new measurement in the running estimate.
const estimateGain = 1.0 / 32

// estimate is the running mean of a service time and of its deviation.
type estimate struct {
	mean, deviation time.Duration
	measured        bool
}

// add includes one measured service time.
func (e *estimate) add(took time.Duration) {
	if !e.measured {
		e.mean = took
		e.deviation = took / 2
		e.measured = true
		return
	}
	diff := took - e.mean
	e.mean += time.Duration(estimateGain * float64(diff))
	e.deviation += time.Duration(estimateGain * float64(diff.Abs()-e.deviation))
}

// addAtLeast includes a lower bound of a service time: the time after which a
// request ended without an answer. Bounds below the mean are ignored.
func (e *estimate) addAtLeast(took time.Duration) {
	if took > e.mean {
		e.add(took)
	}
}

// likely returns the time within which most requests finish.
func (e *estimate) likely() time.Duration { return e.mean + e.deviation }
