package gateway

import (
	"context"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/reservation"
)

// choose picks the server of the next attempt. It returns false if the call has ended.
func (c *call) choose(ctx context.Context) bool {
	if !c.canEnd(nil) {
		c.endForStop()
		return false
	}
	ctx, release := c.untilLastSend(ctx)
	defer release()
	isRetry := c.attempts > 0
	if isRetry {
		if c.attemptsExhausted() {
			c.giveUp("all attempts are used")
			return false
		}
		if c.restExpired(clock.Now()) {
			c.giveUp(reasonRestExpired)
			return false
		}
	}
	if !c.admit(ctx) {
		return false
	}
	if isRetry && (!c.backOff(ctx) || !c.takeRetry(ctx)) {
		c.noteStop(ctx)
		c.giveUp("retry budget is used up")
		return false
	}
	choice, ok := c.pickAdmitted(ctx, isRetry)
	if !ok {
		return false
	}
	c.choice = choice
	c.countSignal(&choice)
	c.tried = append(c.tried, choice.Server)
	return true
}

// pickAdmitted picks a server for a request that was admitted. It returns false if the call has ended.
func (c *call) pickAdmitted(ctx context.Context, isRetry bool) (balance.Choice, bool) {
	for {
		choice, capacity := c.pick(ctx, isRetry)
		if choice.Server == nil {
			c.noteStop(ctx)
			c.failNoServer(capacity)
			return balance.Choice{}, false
		}
		expired := c.endIfExpired(ctx) // during one of the waits
		inTime := c.canEnd(&choice)
		if !expired && inTime && c.stillAdmitted() {
			return choice, true
		}
		c.g.balancer.Done(&choice, clock.Now(), balance.ResultUnknown)
		if !expired && !inTime {
			c.endForStop()
			return balance.Choice{}, false
		}
		if expired || !c.admit(ctx) {
			return balance.Choice{}, false
		}
	}
}

// attemptsExhausted reports whether the route allows no further attempt. Refusals that requested backoff
// do not count: the server gets no requests from this entry for that time, and a few such servers
// would use up the attempts of requests that others have free slots for. For the rest of
// a stream that has begun, no refusal counts, since its caller can't start again; the retry
// budget bounds those attempts.
func (c *call) attemptsExhausted() bool {
	most := max(c.route.MaxAttempts, 1)
	if c.events > 0 {
		return c.runs >= most
	}
	return c.attempts-c.backoffs >= most
}

// backOff waits before the next attempt at the rest of a stream once some servers have refused
// it: a stream that waits for a free slot must not use up the retry budget of all others. It
// returns false if there is no time left.
func (c *call) backOff(ctx context.Context) bool {
	if c.events == 0 || c.refusals <= undelayedRefusals {
		return true
	}
	pause := min(resumeInterval<<min(c.refusals-undelayedRefusals, maxDoublings), maxResumeInterval)
	return c.waitFor(ctx, pause)
}

// takeRetry takes a retry from the service's budget. The rest of a stream that has begun waits
// until the budget has one.
func (c *call) takeRetry(ctx context.Context) bool {
	for !c.g.budget(c.service).TryRetry(c.g.monotonic(clock.Now())) {
		if c.events == 0 || !c.waitToResume(ctx) {
			return false
		}
	}
	return true
}

// waitToResume waits before the next search for a server for the rest of a stream or for a retry. It returns
// false if there is no time left. Where agents are asked, the pause grows, so that a request that finds no
// server makes no more than some ten searches.
func (c *call) waitToResume(ctx context.Context) bool {
	pause := resumeInterval
	if c.agents.reason != reservation.ReasonNone {
		c.vainSearches++
		pause = min(resumeInterval<<min(max(c.vainSearches-undelayedSearches, 0), maxDoublings), maxResumeInterval)
	}
	return c.waitFor(ctx, pause)
}

// waitFor waits for d. It returns false if there would be no time left for an attempt after that.
func (c *call) waitFor(ctx context.Context, d time.Duration) bool {
	if clock.Until(c.deadline) < minAttemptTime+d {
		return false
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// pick asks the balancer for a server, and waits in the wait queue if that can help. The rest of
// a stream that has begun, and the retry of a request that may have run, wait until the deadline, as
// long as any server may become able to take them: neither can be refused as not run.
func (c *call) pick(ctx context.Context, isRetry bool) (balance.Choice, balance.Availability) {
	for {
		now := clock.Now()
		if c.deadline.Sub(now) < minAttemptTime || c.restExpired(now) {
			return balance.Choice{}, balance.Availability{}
		}
		want := c.want(objectiveShare(isRetry))
		if c.events > 0 {
			want.Version = c.versionNumber()
		}
		choice, capacity, decided := c.reserve(ctx, want)
		if !decided {
			choice, capacity = c.pickNow(clock.Now(), want)
		}
		if choice.Server == nil && !decided {
			if given, ok := c.waitForSlot(ctx, want, capacity); ok {
				return given, capacity
			}
		}
		if choice.Server != nil || !c.waitsForServer() || capacity.Fit+capacity.Later == 0 || !c.waitToResume(ctx) {
			return choice, capacity
		}
	}
}

// waitsForServer reports whether the call waits for a server until its deadline.
func (c *call) waitsForServer() bool { return c.events > 0 || c.mayHaveRun }

// pickNow asks the balancer for a server with a free slot. A client retry, which is late already,
// gets none while first attempts wait.
func (c *call) pickNow(now time.Time, want balance.Requirements) (balance.Choice, balance.Availability) {
	if c.attempts == 0 && c.clientRetry && c.g.queues.hasFirstAttempts(c.service, c.residency) {
		return c.g.balancer.Evaluate(now, want)
	}
	return c.g.balancer.Pick(now, want)
}

// reasonAbroad is the reason of refusals because of the residency of a request.
const reasonAbroad = "no backend server in the regions that the request may use"

// reasonEvacuated is the reason of refusals because all backend servers that a request may use are
// in evacuated zones.
const reasonEvacuated = "the zones of the backend servers are evacuated"

// reasonRestExpired is the reason of streams whose rest no server may write any more.
const reasonRestExpired = "the weights of the stream's first events have expired"

// restExpired reports whether the rest of a stream, which has time left, may not begin anywhere any more, since only the weights of
// its first events may write it.
func (c *call) restExpired(now time.Time) bool {
	if c.events == 0 || c.versionNumber() == 0 || c.deadline.Sub(now) < minAttemptTime {
		return false
	}
	left, bounded := c.g.balancer.VersionLeft(c.model, c.versionNumber(), now)
	return bounded && left <= balance.CancelMargin
}

// failNoServer ends a call that no server can take.
func (c *call) failNoServer(capacity balance.Availability) {
	c.capacity = capacity
	switch {
	case c.restExpired(clock.Now()):
		c.giveUp(reasonRestExpired)
	case c.agents.reason != reservation.ReasonNone:
		c.giveUp(refusalReasons[c.agents.reason])
	case clock.Until(c.deadline) < minAttemptTime:
		c.giveUp("no time left")
	case capacity.Known == 0:
		c.giveUp("no backend server is known")
	case capacity.Known == capacity.Abroad:
		c.giveUp(reasonAbroad)
	case capacity.Known == capacity.Abroad+capacity.Evacuated:
		c.giveUp(reasonEvacuated)
	case capacity.Fit == 0 && capacity.Limited > 0:
		c.giveUp("backend servers are at the limits that they name")
	case capacity.Fit == 0 && capacity.BackingOff > 0:
		c.giveUp("backend servers have requested backoff")
	case capacity.Fit == 0:
		c.giveUp("no backend server can take it")
	default:
		c.giveUp("all backend servers are full")
	}
}
