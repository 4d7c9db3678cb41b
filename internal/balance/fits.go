package balance

import "time"

// Availability counts why servers of a service were not chosen for a request.
type Availability struct {
	// Known servers of the service, and those that could serve the request but may be full. Abroad
	// are those in regions that the request must not use, Evacuated those in evacuated zones.
	Known, Fit, Abroad, Evacuated int
	// Late are those of Fit that would accept the request if first events did not come later than predicted there.
	Late int
	// Tried have had an attempt of this request; Aside are ejected, no longer announced, or have lost
	// their address to another server; Busy refused a moment ago; Loading accept no new requests;
	// Empty hold no weights, Old hold a version past its bound, or one on which the request would not begin in time, would be cut or can't be relayed, Other one that the request can't use.
	// Unheard may stand still: nothing shows that they run.
	Tried, Aside, Busy, Loading, Empty, Old, Other, Unheard int
	// Limited servers fit and have free slots, but this entry has used its part of the limit that they
	// named, or of the one for cold servers; BackingOff ones accept no requests of this entry for a time. Opens is when it may send to the
	// first of those that fit otherwise, zero if there is none.
	Limited, BackingOff int
	Opens               time.Time `json:"-"`
	// Throttled names some of the limited and backing-off servers with their signals.
	Throttled []Throttled `json:"-"`
	// Later counts servers that may accept the request soon: ejected, busy, limited, backing-off or unheard ones
	// that fit otherwise, and those that still have to load the version of a begun request. They are
	// also counted above; Later is not logged.
	Later int `json:"-"`
	// Soonest is the least predicted wait at those that fit.
	Soonest time.Duration `json:"-"`
}

// fits reports whether a server may accept the request now, and its version; if not,
// it counts the reason.
func (b *Balancer) fits(now time.Time, s *Server, w Requirements, availability *Availability) (uint64, bool) {
	for _, tried := range w.Exclude {
		if tried == s {
			availability.Tried++
			return 0, false
		}
	}
	version, reason := b.usableVersion(now, s, w, availability)
	switch {
	case s.retired || s.replaced() || now.Sub(s.seenAt) > lostAfter:
		availability.Aside++
	case now.Before(s.health.ejectedUntil), s.health.probing && s.inFlight > 0:
		availability.Aside++
		availability.countLater(reason == nil)
	case !s.signals.acceptsWork(now):
		availability.BackingOff++
		availability.countLater(reason == nil)
		if reason == nil && !s.signals.backoff.Over(now) {
			availability.opensAt(s.signals.backoff.Until)
		}
		availability.throttle(s, "backoff", now.Sub(s.signals.backoff.RequestedAt), s.signals.backoff.Until.Sub(now))
	case now.Before(s.busyUntil):
		availability.Busy++
		availability.countLater(reason == nil)
	case reason != nil:
		*reason++
		availability.countLater(w.Version != 0 && s.holds(now, w.Model) < w.Version)
	case !w.reserves(s) && b.heldBack(now, s):
		availability.Unheard++
		availability.Later++
		b.probe(now, s)
	default:
		opens := b.opens(now, s)
		if !opens.After(now) {
			return version, true
		}
		availability.Limited++
		availability.Later++
		availability.opensAt(opens)
		availability.throttle(s, s.signals.strongest(now), now.Sub(s.signals.limit.ReceivedAt), opens.Sub(now))
	}
	return 0, false
}

// Throttled is a server that was not chosen because of one of its signals.
type Throttled struct {
	Server string `json:"server"`
	Signal string `json:"signal"`
	// AgeMs is the age of the signal, OpensMs the time until requests may be sent; negative if that
	// time has passed and a probe is in flight.
	AgeMs   int64 `json:"age_ms"`
	OpensMs int64 `json:"opens_ms"`
}

// maxThrottled bounds the servers that a log line names.
const maxThrottled = 3

func (r *Availability) throttle(s *Server, signal string, age, opens time.Duration) {
	if len(r.Throttled) < maxThrottled {
		r.Throttled = append(r.Throttled, Throttled{Server: s.ID, Signal: signal, AgeMs: age.Milliseconds(), OpensMs: opens.Milliseconds()})
	}
}

// opensAt records when a server accepts requests again.
func (r *Availability) opensAt(at time.Time) {
	if r.Opens.IsZero() || at.Before(r.Opens) {
		r.Opens = at
	}
}

func (r *Availability) countLater(usable bool) {
	if usable {
		r.Later++
	}
}

// usableVersion returns the version of weights that a server may begin the request on,
// 0 for plain services, or the counter of the reason why it may not.
func (b *Balancer) usableVersion(now time.Time, s *Server, w Requirements, availability *Availability) (version uint64, reason *int) {
	if w.Model == "" || s.engine == nil {
		return 0, nil
	}
	if s.loading(now) {
		return 0, &availability.Loading
	}
	version = s.holds(now, w.Model)
	margin := versionMargin + 2*s.excess.now(now)
	switch {
	case version == 0:
		return 0, &availability.Empty
	case w.Version != 0 && version != w.Version:
		return 0, &availability.Other
	case version < b.view.Versions[w.Model].Floor(now, b.cfg.VersionBound-margin):
		return 0, &availability.Old
	}
	return version, nil
}
