package balance

import "time"

const (
	// failureGain is the weight of the newest send in the moving share of
	// failures: about the last six sends count.
	failureGain = 0.3
	// asideAbove is the share of failures above which a server is set aside:
	// three failures in a row, from a sound state.
	asideAbove = 0.6
	// probeAfter is how long a server is set aside at first, doubled with each
	// further time up to maxAside.
	probeAfter = 1 * time.Second
	maxAside   = 4 * time.Second
	// suspectAfter is after how long without a byte a server with requests in
	// flight counts as silent: an engine writes to all of its requests about
	// every 60 ms, and reads a long prompt in 200 ms.
	suspectAfter = 600 * time.Millisecond
	// suspectTold is the same while the agent beside it goes on to report: an entry
	// with few requests there hears of it seldom.
	suspectTold = 1500 * time.Millisecond
)

// health is how a server did in this entry's own sends.
type health struct {
	failures   float64
	asideUntil time.Time
	aside      time.Duration
	// probing: one send at a time until one ends well.
	probing bool
	// heardAt is when the last byte came; busySince when the server began to
	// have requests of this entry without a pause.
	heardAt, busySince time.Time
}

// failed notes a send that failed by the server's or the link's fault, and tells
// whether the server is set aside by it.
func (h *health) failed(now time.Time) bool {
	h.failures += failureGain * (1 - h.failures)
	if h.failures < asideAbove && !h.probing {
		return false
	}
	h.setAside(now)
	return true
}

func (h *health) setAside(now time.Time) {
	h.aside = min(max(2*h.aside, probeAfter), maxAside)
	h.asideUntil = now.Add(h.aside)
	h.probing = true
}

// setAsideOnce sets the server aside unless it is already, and tells whether.
func (h *health) setAsideOnce(now time.Time) bool {
	if now.Before(h.asideUntil) {
		return false
	}
	h.setAside(now)
	return true
}

// succeeded notes a send that ended well, and tells whether the server is back.
func (h *health) succeeded() bool {
	h.failures -= failureGain * h.failures
	back := h.probing
	h.probing = false
	if back {
		h.failures, h.aside = 0, 0
	}
	return back
}

// silent tells whether requests wait at the server and nothing comes.
func (s *Server) silent(now time.Time) bool {
	if s.inFlight == 0 {
		return false
	}
	since := s.health.heardAt
	if s.health.busySince.After(since) {
		since = s.health.busySince
	}
	if now.Sub(s.agent.at) <= suspectAfter {
		return now.Sub(since) > suspectTold
	}
	return now.Sub(since) > suspectAfter
}
