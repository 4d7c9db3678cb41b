package gateway

import (
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
)

const (
	// moveAfter is how long a server that is to load may go on with its streams
	// before another one is asked for them: the server is out until the last of them has
	// ended, and most that have almost ended by then end by themselves.
	moveAfter = 200 * time.Millisecond
	// moveShare of the objective is the longest predicted time until the other
	// server goes on: a pause must not be noticed.
	moveShare = 0.6
	// streamSilence is after how long without an event a stream is asked of another server,
	// though its own one goes on with others: its connection may have gone silent for good.
	// Engines write to all their requests about every 60 ms, and callers leave after 2 s.
	streamSilence = 800 * time.Millisecond
)

// moveReason is why another server is asked to go on with a request.
type moveReason string

const (
	// moveLoading: its server waits for its last streams to end, so that it can load.
	moveLoading moveReason = "moved to another server"
	// moveServerSilent: nothing comes from the server, for this stream and others.
	moveServerSilent moveReason = "nothing came from the server"
	// moveConnectionSilent: nothing comes for this stream.
	moveConnectionSilent moveReason = "nothing came over the connection"
	// moveAnswered: the server has answered after all, and tells nothing by that.
	moveAnswered moveReason = "another server was faster"
	// moveLate: an answer in one piece takes long.
	moveLate moveReason = "no answer came from the server"
)

// moveReason tells whether another server should be asked to go on with a request, and
// why; it is empty if not.
func (c *call) moveReason(w *watchdog, now time.Time) moveReason {
	switch {
	case !c.route.Idempotent():
		return ""
	case c.route.Kind != fleet.KindStream:
		if c.route.Objective > 0 && now.Sub(w.sentAt) >= wholeStall*c.route.Objective {
			return moveLate
		}
	case c.g.balancer.Silent(w.server, now):
		return moveServerSilent
	case !w.begun.Load():
	case c.pausedFor(now) > streamSilence:
		return moveConnectionSilent
	case c.g.balancer.LoadingSince(w.server, now, moveAfter):
		return moveLoading
	}
	return ""
}

// pausedFor is for how long no event has come; 0 while some are passed on, since the
// caller may take them slowly.
func (c *call) pausedFor(now time.Time) time.Duration {
	if !c.passing.TryLock() {
		return 0
	}
	defer c.passing.Unlock()
	return now.Sub(c.eventAt)
}
