package fleetcontrol

import "time"

const (
	// ownPause is the time without any event after which this control server may have stood still. The hub has an event
	// every reportInterval.
	ownPause = 300 * time.Millisecond
	// unreadTime is for how long after a pause messages are read that may have come at any time of it.
	unreadTime = 300 * time.Millisecond
)

// pauses records when this control server has run. Reports and announcements that came while it stood still are read as
// it goes on, and are no signs of life: they may be as old as the pause.
type pauses struct {
	// now is clock.Now, except in tests.
	now       func() time.Time
	at, ended time.Time
}

// note records that the control server runs at a time, and reports whether it may have stood still until then.
func (p *pauses) note(now time.Time) (paused bool) {
	if paused = !p.at.IsZero() && now.Sub(p.at) > ownPause; paused {
		p.ended = now
	}
	if now.After(p.at) {
		p.at = now
	}
	return paused
}

// unread reports whether a message that is read at a time may have come during the last pause.
func (p *pauses) unread(now time.Time) bool {
	return !p.ended.IsZero() && now.Sub(p.ended) < unreadTime
}

// noteRunning records that the hub runs. After a pause it drops the reports and renewals that were to be forwarded. It reports
// whether what is read now is no sign of life. The caller holds mu.
func (h *hub) noteRunning() (unread bool) {
	now, before := h.pauses.now(), h.pauses.at
	if h.pauses.note(now) {
		h.log.Warn().Dur("pause_ms", now.Sub(before)).Msg("control server may have stood still")
		clear(h.reports)
		for f := range h.followers {
			clear(f.reports)
			clear(f.renewed)
		}
	}
	return h.pauses.unread(now)
}
