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

// admit reports whether the request may be dispatched now as far as its content and the parts of its prompt are
// concerned. A suspect one, which was in flight at a server that crashed, has one attempt at a time;
// a quarantined one, under which several servers crashed, is refused at once. If admit returns
// false, the call has been answered.
func (c *call) admit(ctx context.Context) bool {
	if !c.g.suspects.nonEmpty.Load() {
		return true
	}
	waitUntil := clock.Now().Add(maxTurnWait)
	for {
		judgement := c.g.suspects.judge(clock.Now(), c.candidates())
		var change <-chan struct{}
		switch judgement.Verdict {
		case quarantine.Free:
			return true
		case quarantine.Quarantined:
			c.refuseSuspect(judgement)
			return false
		case quarantine.Suspect:
			if c.holdsTurnOf(judgement.Cause.Digest) {
				return true
			}
			if change = c.takeTurn(ctx, judgement.Cause.Digest); c.hasTurn {
				continue // crashes before this turn may be known by now
			}
		}
		if !clock.Now().Before(waitUntil) || !c.waitForChange(ctx, change) {
			c.noteStop(ctx)
			c.refuseSuspect(judgement)
			return false
		}
	}
}

// stillAdmitted reports whether a request that was admitted may still be dispatched: crashes may have become known while it waited
// for a server.
func (c *call) stillAdmitted() bool {
	if !c.g.suspects.nonEmpty.Load() {
		return true
	}
	judgement := c.g.suspects.judge(clock.Now(), c.candidates())
	return judgement.Verdict == quarantine.Free || judgement.Verdict == quarantine.Suspect && c.holdsTurnOf(judgement.Cause.Digest)
}

func (c *call) holdsTurnOf(d quarantine.Digest) bool { return c.hasTurn && c.turn == d }

// takeTurn takes the turn of a suspect candidate, in place of another one that the call may have. If another call has it, takeTurn
// returns a channel that is closed when that turn ends, nil if that is a call of another entry.
func (c *call) takeTurn(ctx context.Context, d quarantine.Digest) (ended <-chan struct{}) {
	c.endTurn()
	c.hasTurn, ended = c.g.suspects.takeTurn(ctx, d)
	c.turn = d
	return ended
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

// refuseSuspect ends a call that is suspect or quarantined without a further attempt.
func (c *call) refuseSuspect(j quarantine.Judgement) {
	cause := "content"
	if j.Cause.Part != "" {
		cause = "part"
	}
	c.g.cfg.Metrics.suspectRefusals.WithLabelValues(j.Verdict.String(), cause).Inc()
	c.endedServers, c.causePart = j.Servers, j.Cause.Part
	c.noRetryAfter = j.Verdict == quarantine.Quarantined
	c.giveUp(quarantineReasons[j.Verdict])
}

// isSuspect reports whether the request is suspect or quarantined.
func (c *call) isSuspect() bool {
	return c.g.suspects.nonEmpty.Load() && c.g.suspects.judge(clock.Now(), c.candidates()).Verdict != quarantine.Free
}

// noteCrash records a crash if the server of a failed attempt turns out to be down. events counts the pieces of the answer that
// the caller has.
func (c *call) noteCrash(choice *balance.Choice, events int, err error) {
	s := choice.Server
	if !connectionLost(err) || c.g.balancer.Leaving(s) || !c.g.suspects.hasCrashed(s) {
		return
	}
	c.g.balancer.ConnectionRefused(s, clock.Now())
	r := inFlight{server: s.Incarnation, version: choice.Version, parts: c.sharedParts(), events: events}
	if events > 0 {
		r.writing = c.writing
	}
	candidates := c.candidates()
	for i, candidate := range candidates {
		r.candidates = append(r.candidates, observed{Candidate: candidate, alone: c.holdsTurnFor(candidates, i)})
	}
	c.g.suspects.recordCrash(clock.Now(), r)
}

// connectionLost reports whether an error means that the peer or its VM closed the connection. A
// malformed answer or a timeout is no sign of a crash.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// clearSuspicion records that the request was answered in full.
func (c *call) clearSuspicion(a *dispatch.Answer) {
	c.clearParts()
	if c.g.suspects.nonEmpty.Load() {
		c.g.suspects.recordAnswer(clock.Now(), c.digest(), c.choice.Version, c.choice.Server.Incarnation, a.Unframed())
	}
}

// clearParts records that the chosen server has written an answer on the shared parts of the prompt.
func (c *call) clearParts() {
	if parts := c.partCandidates(); len(parts) > 0 {
		c.g.suspects.recordSound(clock.Now(), parts, c.choice.Version, c.choice.Server.Incarnation, c.writing >= soundAfter)
	}
}

// endTurn lets another call dispatch requests with the same suspect candidate.
func (c *call) endTurn() {
	if c.hasTurn {
		c.g.suspects.endTurn(c.turn)
		c.hasTurn = false
	}
}
