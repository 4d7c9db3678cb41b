package gateway

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/quarantine"
)

// heldReasons are what callers are told whose work is not sent.
var heldReasons = map[quarantine.Verdict]string{
	quarantine.Held:      "backend servers ended under this request",
	quarantine.Unsettled: "backend servers ended under this request, and others beside",
	quarantine.Suspect:   "a backend server ended under this request, and a copy of it runs",
}

// admit tells whether the call's work may be sent to a server now. Work that was at a
// server that ended is sent once at a time; work that several have ended under is not sent, and
// gets its final answer at once. The call has ended if it returns false.
func (c *call) admit(ctx context.Context) bool {
	if !c.g.suspects.any.Load() {
		return true
	}
	waitUntil := clock.Now().Add(turnWait)
	for {
		verdict, ended := c.g.suspects.verdict(clock.Now(), c.digest())
		var change <-chan struct{}
		switch verdict {
		case quarantine.Free:
			return true
		case quarantine.Held:
			c.holdBack(verdict, ended)
			return false
		case quarantine.Suspect:
			if c.hasTurn {
				return true
			}
			if c.hasTurn, change = c.g.suspects.turn(ctx, c.digest()); c.hasTurn {
				continue // what ended before this turn may be known by now
			}
		}
		if !clock.Now().Before(waitUntil) || !c.waitFor(ctx, change) {
			c.holdBack(verdict, ended)
			return false
		}
	}
}

// waitFor waits for a change, or a while if there is none to wait for; false if the call
// has no time left.
func (c *call) waitFor(ctx context.Context, change <-chan struct{}) bool {
	if clock.Until(c.by) < leastSend+settlePause {
		return false
	}
	select {
	case <-change:
	case <-time.After(settlePause):
	case <-ctx.Done():
		return false
	}
	return true
}

// holdBack ends a call whose work is not sent, or not again.
func (c *call) holdBack(verdict quarantine.Verdict, ended []string) {
	c.g.cfg.Metrics.heldBack.WithLabelValues(verdict.String()).Inc()
	c.endedServers = ended
	c.neverBack = verdict == quarantine.Held
	c.giveUp(heldReasons[verdict])
}

// suspect tells whether anything counts against the call's work.
func (c *call) suspect() bool {
	if !c.g.suspects.any.Load() {
		return false
	}
	verdict, _ := c.g.suspects.verdict(clock.Now(), c.digest())
	return verdict != quarantine.Free
}

// noteEnd finds out, after a send that broke off, whether its server has ended.
func (c *call) noteEnd(s *balance.Server, err error) {
	if !brokeOff(err) || c.g.balancer.Leaving(s) || !c.g.suspects.hasEnded(s) {
		return
	}
	c.g.suspects.endedUnder(clock.Now(), s.Start, c.digest(), c.hasTurn)
}

// brokeOff tells whether a connection was closed by its peer, or by the peer's VM: bytes that
// are no answer, or none in time, tell nothing of an end.
func brokeOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// clear notes that the call's work was answered in full.
func (c *call) clear() {
	if c.g.suspects.any.Load() {
		c.g.suspects.served(clock.Now(), c.digest())
	}
}

// giveTurnBack lets another call run the same work.
func (c *call) giveTurnBack() {
	if c.hasTurn {
		c.g.suspects.giveTurnBack(c.digest())
		c.hasTurn = false
	}
}
