package balance

import "time"

// Room tells why servers of a service did not take a request.
type Room struct {
	// Known servers of the service, and those that fit but are too full.
	Known, Fit int
	// Tried were sent this request before; Aside failed lately, are silent in the
	// directory or have another's address; Busy refused a moment ago; Loading take
	// nothing new; Empty hold no weights, Old hold a version that is over, Other one that
	// the request can't use.
	Tried, Aside, Busy, Loading, Empty, Old, Other int
	// Limited servers fit and have room, and this entry has used its part of the limit that they
	// named; BackingOff ones want nothing from this entry for a time. Opens is when it may send to the
	// first of them that else fits, zero if there is none.
	Limited, BackingOff int
	Opens               time.Time `json:"-"`
	// Throttled names some of the limited and backing-off ones, and by which signal.
	Throttled []Throttled `json:"-"`
	// Later are those that may take it in a while: set aside, busy, limited or resting ones that else fit,
	// and those that have the version of a begun request still to load. They are counted
	// above, too, and not logged.
	Later int `json:"-"`
	// Soonest is the least predicted wait at those that fit.
	Soonest time.Duration `json:"-"`
}

// fits tells whether a server may take the request now, and its version; if not,
// it counts why.
func (b *Balancer) fits(now time.Time, s *Server, w Want, room *Room) (uint64, bool) {
	for _, tried := range w.Exclude {
		if tried == s {
			room.Tried++
			return 0, false
		}
	}
	version, why := b.usableVersion(now, s, w, room)
	switch {
	case s.retired || s.replaced() || now.Sub(s.seenAt) > lostAfter:
		room.Aside++
	case now.Before(s.health.asideUntil), s.health.probing && s.inFlight > 0:
		room.Aside++
		room.laterIf(why == nil)
	case !s.signals.takes(now):
		room.BackingOff++
		room.laterIf(why == nil)
		if why == nil && !s.signals.backoff.Over(now) {
			room.opensAt(s.signals.backoff.Until)
		}
		room.throttle(s, "backoff", now.Sub(s.signals.backoff.AskedAt), s.signals.backoff.Until.Sub(now))
	case now.Before(s.busyUntil):
		room.Busy++
		room.laterIf(why == nil)
	case why != nil:
		*why++
		room.laterIf(w.Version != 0 && s.holds(now, w.Model) < w.Version)
	default:
		opens := b.opens(now, s)
		if !opens.After(now) {
			return version, true
		}
		room.Limited++
		room.Later++
		room.opensAt(opens)
		room.throttle(s, "limit", now.Sub(s.signals.limit.HeardAt), opens.Sub(now))
	}
	return 0, false
}

// Throttled is a server that was not chosen because of its own signal.
type Throttled struct {
	Server string `json:"server"`
	Signal string `json:"signal"`
	// AgeMs is how old the signal is, OpensMs after how long the server may be sent to; negative if it
	// may, and another request is on its way to try it.
	AgeMs   int64 `json:"age_ms"`
	OpensMs int64 `json:"opens_ms"`
}

// maxThrottled bounds those that a line names.
const maxThrottled = 3

func (r *Room) throttle(s *Server, signal string, age, opens time.Duration) {
	if len(r.Throttled) < maxThrottled {
		r.Throttled = append(r.Throttled, Throttled{Server: s.ID, Signal: signal, AgeMs: age.Milliseconds(), OpensMs: opens.Milliseconds()})
	}
}

// opensAt notes when a server takes a request again.
func (r *Room) opensAt(at time.Time) {
	if r.Opens.IsZero() || at.Before(r.Opens) {
		r.Opens = at
	}
}

func (r *Room) laterIf(usable bool) {
	if usable {
		r.Later++
	}
}

// usableVersion returns the version of weights that a server may begin the request on,
// 0 for plain services, or the counter of the reason why it may not.
func (b *Balancer) usableVersion(now time.Time, s *Server, w Want, room *Room) (version uint64, why *int) {
	if w.Model == "" || s.engine == nil {
		return 0, nil
	}
	if s.loading(now) {
		return 0, &room.Loading
	}
	version = s.holds(now, w.Model)
	margin := versionMargin + 2*s.excess.now(now)
	switch {
	case version == 0:
		return 0, &room.Empty
	case w.Version != 0 && version != w.Version:
		return 0, &room.Other
	case version < b.view.Versions[w.Model].Floor(now, b.cfg.VersionBound-margin):
		return 0, &room.Old
	}
	return version, nil
}
