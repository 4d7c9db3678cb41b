package gateway

import (
	"time"

	"lynxgate.dev/lynxgate/internal/waiting"
)

// noteAsked notes a request to an engine. One without an objective tells nothing of the waits that
// callers bear.
func (c *call) noteAsked() {
	e := c.engine()
	if e == nil || c.route.Objective <= 0 {
		return
	}
	c.g.rooms.asked(c.service, c.route.Objective, e.ReadTime(c.promptTokens(e)), e.ReadTime(e.UsualPrompt), c.cameBack)
}

// asked notes a request with this objective to an engine that reads its prompt for read, and a
// usual one for usualRead.
func (q *roomQueues) asked(service string, objective, read, usualRead time.Duration, cameBack bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.allowances[service]
	if a == nil {
		a = waiting.NewAllowance(objective, usualRead)
		q.allowances[service] = a
	}
	if !cameBack {
		a.Asked(objective, read)
	}
}

// allowance is the longest predicted wait with which requests to a service are sent now.
func (q *roomQueues) allowance(service string, share float64, pass time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.allowances[service]
	if a == nil {
		return leastBudget
	}
	return a.Longest(share, pass, leastBudget)
}

// unnoticed is the longest wait at another server whose caller notices nothing. It counts the
// request's own prompt, unlike what decides who gets room: the request has its place, and keeps
// it if no other fits.
func (c *call) unnoticed(read time.Duration) time.Duration {
	e := c.engine()
	if e == nil {
		return 0
	}
	return max(time.Duration(moveShare*float64(c.route.Objective))-read-e.Pass(), leastBudget)
}
