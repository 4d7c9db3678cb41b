package balance

import "time"

const (
	// failureGain is the weight of the newest attempt in the moving share of failures: about
	// the last six attempts count.
	failureGain = 0.3
	// ejectAbove is the share of failures above which a server is ejected: three failures in
	// a row, from a healthy state.
	ejectAbove = 0.6
	// baseEjectionTime is the duration of the first ejection, doubled with each further one
	// up to maxEjectionTime.
	baseEjectionTime = 1 * time.Second
	maxEjectionTime  = 4 * time.Second
	// silentAfter is the time without a byte after which a server with requests in flight
	// counts as silent: an engine writes to all of its requests about every 60 ms, and reads
	// a long prompt in 200 ms.
	silentAfter = 600 * time.Millisecond
	// silentAfterReport is the same while the agent beside the server still reports: an
	// entry with few requests there receives bytes rarely.
	silentAfterReport = 1500 * time.Millisecond
)

// health is the health of a server as seen in this entry's own attempts.
type health struct {
	failures float64
	// timeouts is the moving share of attempts that ended at their deadline. It makes a server the less preferred one, but does
	// not eject it: under an overload callers' deadlines end while requests wait at sound servers.
	timeouts     float64
	ejectedUntil time.Time
	ejectionTime time.Duration
	// probing: one attempt at a time until one succeeds.
	probing bool
	// lastByteAt is when the last byte was received; busySince is since when this entry has
	// had requests at the server without a gap.
	lastByteAt, busySince time.Time
}

// failed records an attempt that failed because of the server or the link, and reports
// whether this ejects the server.
func (h *health) failed(now time.Time) bool {
	h.failures += failureGain * (1 - h.failures)
	if h.failures < ejectAbove && !h.probing {
		return false
	}
	return h.ejectOnce(now)
}

// timedOut records an attempt that ended at its deadline.
func (h *health) timedOut() { h.timeouts += failureGain * (1 - h.timeouts) }

func (h *health) eject(now time.Time) {
	h.ejectionTime = min(max(2*h.ejectionTime, baseEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.probing = true
}

// ejectOnce ejects the server unless it is ejected already, and reports whether it did.
func (h *health) ejectOnce(now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	h.eject(now)
	return true
}

// succeeded records a successful attempt, and reports whether it ends an ejection.
func (h *health) succeeded() bool {
	h.failures -= failureGain * h.failures
	h.timeouts -= failureGain * h.timeouts
	recovered := h.probing
	h.probing = false
	if recovered {
		h.failures, h.timeouts, h.ejectionTime = 0, 0, 0
	}
	return recovered
}

// silent reports whether requests are waiting at a server that sends nothing.
func (s *Server) silent(now time.Time) bool {
	if s.inFlight == 0 {
		return false
	}
	since := s.health.lastByteAt
	if s.health.busySince.After(since) {
		since = s.health.busySince
	}
	if now.Sub(s.agent.at) <= silentAfter {
		return now.Sub(since) > silentAfterReport
	}
	return now.Sub(since) > silentAfter
}
