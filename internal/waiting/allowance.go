package waiting

import "time"

// allowanceGain is the weight of the newest request in the means: a second's worth of them at
// a busy entry, so that one unusual request moves them little.
const allowanceGain = 1.0 / 64

// Allowance is the longest predicted wait with which a request may be sent to a server of a
// service: what a part of the objective leaves after the prompt is read, by the means of those who
// ask.
//
// It is the same for all of them. While more is asked than servers bear, each place that becomes
// free is taken by the first request that may wait for it, so that waits stand at the longest that
// anybody is allowed: were it each one's own, those with large prompts or a short objective
// would never fit, however often they ask.
//
// It belongs to its caller, like Queue.
type Allowance struct {
	// objective and read are means in nanoseconds.
	objective, read float64
}

// NewAllowance returns one that expects requests with this objective and prompts that are read for
// this long.
func NewAllowance(objective, read time.Duration) *Allowance {
	return &Allowance{objective: float64(objective), read: float64(read)}
}

// Asked notes a first attempt with this objective whose prompt is read for this long. Attempts of
// callers that come back are not to be noted: whoever fits least would count twice. A prompt that
// takes more than the objective counts as one that takes it.
func (a *Allowance) Asked(objective, read time.Duration) {
	a.objective += allowanceGain * (float64(objective) - a.objective)
	a.read += allowanceGain * (float64(min(read, objective)) - a.read)
}

// Longest returns the longest wait with which the first event of a usual request is predicted
// within this share of its objective, if a pass of the engine takes this long; not below least.
func (a *Allowance) Longest(share float64, pass, least time.Duration) time.Duration {
	return max(time.Duration(share*a.objective-a.read)-pass, least)
}
