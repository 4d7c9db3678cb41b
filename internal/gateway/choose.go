package gateway

import (
	"context"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
)

// choose picks the server of the next send; false if the call has ended.
func (c *call) choose(ctx context.Context) bool {
	again := c.sends > 0
	if again {
		if c.attemptsUsed() {
			c.giveUp("all attempts are used")
			return false
		}
	}
	if !c.admit(ctx) {
		return false
	}
	if again && (!c.backOff(ctx) || !c.takeRetry(ctx)) {
		c.giveUp("retry budget is used up")
		return false
	}
	choice, room := c.pick(ctx, again)
	if choice.Server == nil {
		c.noServer(room)
		return false
	}
	c.choice = choice
	c.countSignal(&choice)
	c.tried = append(c.tried, choice.Server)
	return true
}

// attemptsUsed tells whether no other server may get the request. One that requested backoff gets
// nothing more for that time from anybody here, so that it does not count: else a few servers
// that back off would use up the attempts of callers that others have room for. The rest of a stream
// that has begun is sent on after servers that refused it, since its caller can't
// start again; the retry budget bounds that.
func (c *call) attemptsUsed() bool {
	most := max(c.route.MaxAttempts, 1)
	if c.events > 0 {
		return c.runs >= most
	}
	return c.sends-c.backoffs >= most
}

// backOff waits before the rest of a stream that has begun is asked of further servers,
// once some have refused it: a stream that waits for room must not use up the repeats of
// all others. It returns false if there is no time left.
func (c *call) backOff(ctx context.Context) bool {
	if c.events == 0 || c.refusals <= freeRefusals {
		return true
	}
	pause := min(resumePause<<min(c.refusals-freeRefusals, maxDoublings), maxResumePause)
	return c.wait(ctx, pause)
}

// takeRetry takes a repeat from the budget. The rest of a stream that has begun waits
// for one.
func (c *call) takeRetry(ctx context.Context) bool {
	for !c.g.budget(c.service).TryRetry(c.g.steady(clock.Now())) {
		if c.events == 0 || !c.resumeLater(ctx) {
			return false
		}
	}
	return true
}

// resumeLater waits before the next look for a server that goes on with a stream;
// false if there is no time left.
func (c *call) resumeLater(ctx context.Context) bool { return c.wait(ctx, resumePause) }

// wait waits, and returns false if there is no time left for a send then.
func (c *call) wait(ctx context.Context, d time.Duration) bool {
	if clock.Until(c.by) < leastSend+d {
		return false
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// pick asks the balancer for a server. The rest of a stream that has begun waits
// for one as long as its caller does and any server may come to take it.
func (c *call) pick(ctx context.Context, again bool) (balance.Choice, balance.Room) {
	for {
		now := clock.Now()
		if c.by.Sub(now) < leastSend {
			return balance.Choice{}, balance.Room{}
		}
		want := c.want(share(again))
		if c.events > 0 {
			want.Version = c.versionNumber()
		}
		choice, room := c.pickNow(now, want)
		if choice.Server == nil {
			if given, ok := c.waitForRoom(ctx, want, room); ok {
				return given, room
			}
		}
		if choice.Server != nil || c.events == 0 || room.Fit+room.Later == 0 || !c.resumeLater(ctx) {
			return choice, room
		}
	}
}

// pickNow asks the balancer for a server that has room now. A caller that is late already
// gets none while others wait that are not.
func (c *call) pickNow(now time.Time, want balance.Want) (balance.Choice, balance.Room) {
	if c.sends == 0 && c.cameBack && c.g.rooms.firstAttempts(c.service) {
		return c.g.balancer.Look(now, want)
	}
	return c.g.balancer.Pick(now, want)
}

// noServer ends a call that no server can take.
func (c *call) noServer(room balance.Room) {
	c.room = room
	switch {
	case clock.Until(c.by) < leastSend:
		c.giveUp("no time left")
	case room.Known == 0:
		c.giveUp("no backend server is known")
	case room.Fit == 0 && room.Limited > 0:
		c.giveUp("backend servers are at the limits that they name")
	case room.Fit == 0 && room.BackingOff > 0:
		c.giveUp("backend servers have requested backoff")
	case room.Fit == 0:
		c.giveUp("no backend server can take it")
	default:
		c.giveUp("all backend servers are full")
	}
}
