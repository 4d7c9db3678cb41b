package gateway

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/quarantine"
)

// quarantineReasons are the messages for callers whose request is not dispatched because of its
// content, by verdict.
var quarantineReasons = map[quarantine.Verdict]string{
	quarantine.Quarantined: "backend servers ended under this request",
	quarantine.Unsettled:   "backend servers ended under this request, and others beside",
	quarantine.Suspect:     "a backend server ended under this request, and a copy of it runs",
}

// admit reports whether the request may be dispatched now as far as its content is concerned.
// Suspect content, which was in flight at a server that crashed, has one attempt at a time;
// quarantined content, under which several servers crashed, is refused at once. If admit returns
// false, the call has been answered.
func (c *call) admit(ctx context.Context) bool {
	if !c.g.suspects.nonEmpty.Load() {
		return true
	}
	waitUntil := clock.Now().Add(maxTurnWait)
	for {
		verdict, ended := c.g.suspects.verdict(clock.Now(), c.digest())
		var change <-chan struct{}
		switch verdict {
		case quarantine.Free:
			return true
		case quarantine.Quarantined:
			c.refuseSuspect(verdict, ended)
			return false
		case quarantine.Suspect:
			if c.hasTurn {
				return true
			}
			if c.hasTurn, change = c.g.suspects.takeTurn(ctx, c.digest()); c.hasTurn {
				continue // crashes before this turn may be known by now
			}
		}
		if !clock.Now().Before(waitUntil) || !c.waitForChange(ctx, change) {
			c.refuseSuspect(verdict, ended)
			return false
		}
	}
}

// waitForChange waits until change is closed or suspectRecheckInterval has passed. It returns false if
// the call has no time left.
func (c *call) waitForChange(ctx context.Context, change <-chan struct{}) bool {
	if clock.Until(c.deadline) < minAttemptTime+suspectRecheckInterval {
		return false
	}
	select {
	case <-change:
	case <-time.After(suspectRecheckInterval):
	case <-ctx.Done():
		return false
	}
	return true
}

// refuseSuspect ends a call whose content is suspect or quarantined without a further attempt.
func (c *call) refuseSuspect(verdict quarantine.Verdict, ended []string) {
	c.g.cfg.Metrics.suspectRefusals.WithLabelValues(verdict.String()).Inc()
	c.endedServers = ended
	c.noRetryAfter = verdict == quarantine.Quarantined
	c.giveUp(quarantineReasons[verdict])
}

// isSuspect reports whether the request's content is suspect or quarantined.
func (c *call) isSuspect() bool {
	if !c.g.suspects.nonEmpty.Load() {
		return false
	}
	verdict, _ := c.g.suspects.verdict(clock.Now(), c.digest())
	return verdict != quarantine.Free
}

// noteCrash records a crash if the server of a failed attempt turns out to be down. events counts the pieces of the answer that
// the caller has.
func (c *call) noteCrash(s *balance.Server, events int, err error) {
	if !connectionLost(err) || c.g.balancer.Leaving(s) || !c.g.suspects.hasCrashed(s) {
		return
	}
	c.g.balancer.ConnectionRefused(s, clock.Now())
	r := inFlight{content: c.digest(), alone: c.hasTurn, parts: c.sharedParts(), events: events}
	if events > 0 {
		r.writing = clock.Since(c.began) - c.firstEvent
	}
	c.g.suspects.recordCrash(clock.Now(), s.Incarnation, r)
}

// connectionLost reports whether an error means that the peer or its VM closed the connection. A
// malformed answer or a timeout is no sign of a crash.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// clearSuspicion records that the request was answered in full.
func (c *call) clearSuspicion(a *dispatch.Answer) {
	if c.g.suspects.nonEmpty.Load() {
		c.g.suspects.recordAnswer(clock.Now(), c.digest(), c.choice.Server.Incarnation, a.Unframed())
	}
}

// endTurn lets another call dispatch the same suspect content.
func (c *call) endTurn() {
	if c.hasTurn {
		c.g.suspects.endTurn(c.digest())
		c.hasTurn = false
	}
}
