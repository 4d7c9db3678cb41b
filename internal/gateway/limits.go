package gateway

import (
	"math/rand/v2"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
)

const (
	// retryAfterDivisor: the suggested retry delay is at most 1/retryAfterDivisor of the time
	// that the caller has left, since callers do not wait longer.
	retryAfterDivisor = 3
	// defaultRetryAfter is the suggested retry delay on routes without an objective.
	defaultRetryAfter = time.Second
	// minWaitBudget is the wait that is allowed even if a prompt of usual size takes the
	// whole objective: such requests are served late, or as soon as an engine is free.
	minWaitBudget = 20 * time.Millisecond
	// firstAttemptShare is the part of the objective within which the first event of a usual
	// request must be predicted for a request to be dispatched. The rest is a margin for errors
	// of the prediction and for prompts that are larger than usual.
	firstAttemptShare = 0.6
	// retryShare is the same for retries: their caller has waited already, and a refusal would
	// not get that time back.
	retryShare = 1.6
	// resumeInterval is how often a server is searched for the rest of a stream.
	resumeInterval = 40 * time.Millisecond
	// undelayedRefusals is the number of refusals of the rest of a stream after which the pause
	// before the next attempt begins to double, up to maxResumeInterval: a stream that waits 2 s
	// makes about eight attempts.
	undelayedRefusals = 2
	maxResumeInterval = 640 * time.Millisecond
	// undelayedSearches is the number of searches for a slot in vain after which the pause begins to double.
	undelayedSearches = 4
	maxDoublings      = 4
)

// jitter returns a random time up to d.
func jitter(d time.Duration) time.Duration { return rand.N(max(d, 1)) }

// objectiveShare returns the part of the objective within which the first event must be predicted.
func objectiveShare(isRetry bool) float64 {
	if isRetry {
		return retryShare
	}
	return firstAttemptShare
}

// want returns the requirements for the server of an attempt whose first event must be predicted
// within this share of the objective, for a usual request to the service.
func (c *call) want(share float64) balance.Requirements {
	w := balance.Requirements{Service: c.service, Model: c.model, Residency: c.residency, Exclude: c.tried, Bytes: len(c.body), RunOnce: !c.cancellable()}
	if e := c.engine(); e != nil {
		w.Read = e.PrefillTime(c.promptTokens(e))
		w.Budget = c.g.queues.allowance(c.service, share, e.PassTime())
		c.allowed.Store(int64(w.Budget))
		w.Answer = c.expectedAnswer()
		// A request whose prompt alone takes the objective is late at any server.
		if !c.clientRetry && w.Read+e.PassTime() < c.route.Objective {
			w.Due = c.began.Add(c.route.Objective)
		}
	}
	return w
}

func (c *call) engine() *fleet.Engine {
	if s := c.view.Table.Service(c.service); s != nil {
		return s.Engine
	}
	return nil
}
