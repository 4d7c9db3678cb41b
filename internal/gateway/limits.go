package gateway

import (
	"math/rand/v2"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
)

const (
	// retryAfterPart of the time that a caller has left is the latest that it is told
	// to come back: callers do not wait longer.
	retryAfterPart = 3
	// defaultRetryAfter is told where no objective is known.
	defaultRetryAfter = time.Second
	// leastBudget is the wait that is allowed where usual prompts alone take the
	// objective: requests are served late, or as soon as an engine is free.
	leastBudget = 20 * time.Millisecond
	// firstShare is the part of the objective within which the first event of a usual
	// request must be predicted for one to be sent; the rest is for what the prediction does
	// not know, and for prompts that are larger than usual.
	firstShare = 0.6
	// resendShare is the same for our own repeats: their caller has waited already,
	// and the time is gone whatever happens.
	resendShare = 1.6
	// resumePause is how often a server is looked for that can go on with a stream.
	resumePause = 40 * time.Millisecond
	// freeRefusals is after how many refusals of the rest of a stream the pause before the
	// next send begins to double, up to maxResumePause: a stream that waits 2 s makes some
	// eight sends.
	freeRefusals   = 2
	maxResumePause = 640 * time.Millisecond
	maxDoublings   = 4
)

// jitter draws a time up to d.
func jitter(d time.Duration) time.Duration { return rand.N(max(d, 1)) }

// share is the part of the objective within which the first event must be predicted.
func share(again bool) float64 {
	if again {
		return resendShare
	}
	return firstShare
}

// want says what a send needs whose first event must be predicted within this share
// of the objective, for a usual request to the service.
func (c *call) want(share float64) balance.Want {
	w := balance.Want{Service: c.service, Model: c.model, Exclude: c.tried}
	if e := c.engine(); e != nil {
		w.Read = e.ReadTime(c.promptTokens(e))
		w.Budget = c.g.rooms.allowance(c.service, share, e.Pass())
		c.allowed = w.Budget
		// One whose prompt alone takes the objective is late whatever its server does.
		if !c.cameBack && w.Read+e.Pass() < c.route.Objective {
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
