package gateway

import (
	"time"

	"lynxgate.dev/lynxgate/internal/waiting"
)

// recordArrival adds a request to an engine to the allowance of its service. Routes without an
// objective say nothing about acceptable waits and are ignored.
func (c *call) recordArrival() {
	e := c.engine()
	if e == nil || c.route.Objective <= 0 {
		return
	}
	c.g.queues.recordArrival(c.service, c.route.Objective, e.PrefillTime(c.promptTokens(e)), e.PrefillTime(e.UsualPrompt), c.clientRetry)
}

// recordArrival adds a request with this objective to the allowance of a service. The engine takes read
// for its prompt and usualRead for a prompt of usual size. Client retries are not counted, as
// waiting.Allowance requires.
func (q *waitQueues) recordArrival(service string, objective, read, usualRead time.Duration, clientRetry bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.allowances[service]
	if a == nil {
		a = waiting.NewAllowance(objective, usualRead)
		q.allowances[service] = a
	}
	if !clientRetry {
		a.Observe(objective, read)
	}
}

// allowance returns the longest predicted wait with which requests to a service are dispatched now.
func (q *waitQueues) allowance(service string, share float64, pass time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.allowances[service]
	if a == nil {
		return minWaitBudget
	}
	return a.Longest(share, pass, minWaitBudget)
}

// unnoticedWait returns the longest wait at another server that the caller does not notice. Unlike the
// allowance it counts the request's own prompt: the request already has a slot and keeps it if no
// other server fits.
func (c *call) unnoticedWait(read time.Duration) time.Duration {
	e := c.engine()
	if e == nil {
		return 0
	}
	return max(time.Duration(unnoticedShare*float64(c.route.Objective))-read-e.PassTime(), minWaitBudget)
}
