package gateway

import (
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
)

const (
	// loadingGrace is how long a server that waits to load weights keeps its streams before
	// they are handed over. The server takes no requests until the last stream has ended;
	// within this time, most streams that are almost complete end on their own.
	loadingGrace = 200 * time.Millisecond
	// unnoticedShare is the part of the objective within which the other server must be
	// predicted to continue, so that the caller does not notice the pause.
	unnoticedShare = 0.6
	// minEventsForRate is the number of events from which on the rate of a stream is known.
	minEventsForRate = 6
	// usualPassFactor is how many passes of an engine of usual pace an event takes: half of the time goes to
	// the prompts of others.
	usualPassFactor = 2
	// streamSilenceTimeout is the time without an event after which a stream is handed over
	// although its server still writes to others: its connection may be dead. Engines write to
	// all their requests about every 60 ms, and callers leave after 2 s.
	streamSilenceTimeout = 800 * time.Millisecond
)

// handoverReason is why a handover is begun. One reason, handoverAnswered, replaces that of the
// beginning when the handover ends.
type handoverReason string

const (
	// handoverLoading: the server waits for its last streams to end, to load weights then.
	handoverLoading handoverReason = "moved to another server"
	// handoverServerSilent: the server sends nothing, for this stream or others.
	handoverServerSilent handoverReason = "nothing came from the server"
	// handoverConnectionSilent: the server sends nothing for this stream only.
	handoverConnectionSilent handoverReason = "nothing came over the connection"
	// handoverAnswered: the server answered or refused after all, but later than the other one,
	// which does not count as silence.
	handoverAnswered handoverReason = "another server was faster"
	// handoverEndMissed: the stream is so slow that it will not end before its deadline; elsewhere it may.
	handoverEndMissed handoverReason = "the stream would not end in time"
	// handoverLate: a non-streaming answer takes too long.
	handoverLate handoverReason = "no answer came from the server"
)

// handoverReason returns why the attempt that w watches should be handed over, empty if it should
// not.
func (c *call) handoverReason(w *watchdog, now time.Time) handoverReason {
	switch {
	case !c.route.Idempotent():
		return ""
	case c.route.Kind != fleet.KindStream:
		if c.route.Objective > 0 && now.Sub(w.sentAt) >= wholeStallFactor*c.route.Objective {
			return handoverLate
		}
	case c.g.balancer.Silent(w.server, now):
		return handoverServerSilent
	case !w.begun.Load():
	case c.pausedFor(now) > streamSilenceTimeout:
		return handoverConnectionSilent
	case c.g.balancer.LoadingSince(w.server, now, loadingGrace):
		return handoverLoading
	case c.missesEnd(now):
		return handoverEndMissed
	}
	return ""
}

// missesEnd reports whether a stream will not end before its engine stops it at the rate of its events so far, though it would end
// before the caller's deadline at an engine of usual pace. Where only the caller's deadline counts, it is asked only if slots are
// reserved: the agent of the other engine predicts its end there.
func (c *call) missesEnd(now time.Time) bool {
	e := c.engine()
	if e == nil || !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	stopped := c.choice.Deadline(c.deadline)
	if c.received < minEventsForRate || !stopped.Before(c.deadline) && !c.g.reserves(c.service) {
		return false
	}
	interval := c.eventAt.Sub(c.began.Add(c.firstEvent)) / time.Duration(c.received-1)
	missing := time.Duration((c.expectedAnswer() + e.Stride - 1) / max(e.Stride, 1))
	elsewhere := e.PrefillTime(c.promptTokens(e)) + missing*usualPassFactor*e.PassTime()
	return now.Add(missing*interval).After(stopped) && now.Add(elsewhere).Before(c.deadline)
}

// pausedFor returns the time since the last event; 0 while events are being written, since the
// caller may read them slowly.
func (c *call) pausedFor(now time.Time) time.Duration {
	if !c.mu.TryLock() {
		return 0
	}
	defer c.mu.Unlock()
	return now.Sub(c.eventAt)
}
