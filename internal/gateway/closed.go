package gateway

import (
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
)

// maxClosed bounds the requests that are remembered because their servers may go on with them.
const maxClosed = 1024

// closedRequest is a request that this entry has closed before its answer was complete. Its server may go on with it, and crash under it.
type closedRequest struct {
	inFlight
	// until is when the request's deadline passes.
	until time.Time
}

// noteClosed records that an attempt was closed by this entry before its answer was complete, if it was.
func (c *call) noteClosed(choice *balance.Choice, result balance.Result) {
	if result == balance.ResultUnknown || result == balance.ResultSilent {
		c.closed = append(c.closed, inFlight{server: choice.Server.Incarnation, version: choice.Version, closed: true})
	}
}

// noteRefused counts the closed requests that a server may still have had, since it has crashed: it refuses connections and is not
// leaving.
func (c *call) noteRefused(s *balance.Server) {
	if !c.g.balancer.Leaving(s) {
		c.g.suspects.recordClosedAt(clock.Now(), s.Incarnation)
	}
}

// rememberClosed has the closed attempts of a call that was not served counted should their servers crash. Only the
// content counts, as its parts are in many requests.
func (c *call) rememberClosed() {
	if len(c.closed) == 0 || c.status/100 == 2 && !c.broken {
		return
	}
	candidates := c.candidates()
	content := observed{Candidate: candidates[len(candidates)-1]}
	for _, r := range c.closed {
		r.candidates = []observed{content}
		c.g.suspects.rememberClosed(clock.Now(), closedRequest{r, c.deadline})
	}
}

// rememberClosed adds a closed request, unless there are too many.
func (s *suspicions) rememberClosed(now time.Time, r closedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closedCount >= maxClosed || !now.Before(r.until) {
		return
	}
	s.closed[r.server] = append(s.closed[r.server], r)
	s.closedCount++
}

// takeClosed returns the closed requests that a server may still have had when it crashed, and forgets them. s.mu must be locked.
func (s *suspicions) takeClosed(now time.Time, server string) (kept []inFlight) {
	for _, r := range s.closed[server] {
		if now.Before(r.until) {
			kept = append(kept, r.inFlight)
		}
	}
	s.closedCount -= len(s.closed[server])
	delete(s.closed, server)
	return kept
}

// recordClosedAt records that a server has crashed under the closed requests that it may still have had.
func (s *suspicions) recordClosedAt(now time.Time, server string) {
	s.mu.Lock()
	kept := s.takeClosed(now, server)
	s.mu.Unlock()
	s.recordCrashes(now, kept)
}

// dropExpiredClosed forgets the closed requests whose deadlines have passed. s.mu must be locked.
func (s *suspicions) dropExpiredClosed(now time.Time) {
	for server, requests := range s.closed {
		var kept []closedRequest
		for _, r := range requests {
			if now.Before(r.until) {
				kept = append(kept, r)
			}
		}
		s.closedCount -= len(requests) - len(kept)
		if s.closed[server] = kept; len(kept) == 0 {
			delete(s.closed, server)
		}
	}
}
