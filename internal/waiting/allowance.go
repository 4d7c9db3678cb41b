package waiting

import "time"

// allowanceGain is the weight of the newest request in the means: at a busy entry these cover the
// requests of about a second, so that one unusual request changes them little.
const allowanceGain = 1.0 / 64

// Allowance computes the longest predicted wait with which a request may be dispatched to a server of
// a service: what a share of the objective leaves after the prompt is read, by the means of recent
// requests.
//
// It is the same for all requests. While the demand exceeds the capacity, each free slot is taken by
// the first request that may wait for it, so that waits are as long as the longest that any request is
// allowed: with an allowance for each request, those with large prompts or a short objective would
// never be dispatched, however often they are retried.
//
// Like Queue it is not safe for concurrent use.
type Allowance struct {
	// objective and read are means in nanoseconds.
	objective, read float64
}

// NewAllowance returns an allowance that starts with this objective and this time to read a prompt.
func NewAllowance(objective, read time.Duration) *Allowance {
	return &Allowance{objective: float64(objective), read: float64(read)}
}

// Observe records a first attempt with this objective, whose prompt takes this long to read. Client
// retries must not be recorded: requests that are refused most often would count twice. A prompt that
// takes longer than the objective counts as one that takes the objective.
func (a *Allowance) Observe(objective, read time.Duration) {
	a.objective += allowanceGain * (float64(objective) - a.objective)
	a.read += allowanceGain * (float64(min(read, objective)) - a.read)
}

// Longest returns the longest wait with which the first event of an average request is predicted
// within this share of its objective, if a pass of the engine takes this long; at least least.
func (a *Allowance) Longest(share float64, pass, least time.Duration) time.Duration {
	return max(time.Duration(share*a.objective-a.read)-pass, least)
}
