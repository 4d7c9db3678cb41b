package balance

import "time"

// An overload that ends by itself, as while the engines of a service load new weights in turn, is
// borne: callers are served late, which is more to them than to be refused, come back in the same
// overload, and be refused for good. What is learned of servers of others counts in one that
// has no such end.

const (
	// loadingPart of a service's servers that load is an overload that ends by itself;
	// loadingTail is for how long its callers are still about after it: those that were
	// refused come back within 2 s, and a request takes as long.
	loadingPart = 0.1
	loadingTail = 4 * time.Second
	// loadingCheck is how often the servers are counted: a roll of all takes seconds.
	loadingCheck = 100 * time.Millisecond
)

// outage is when many servers of a service were last seen to load.
type outage struct {
	countedAt, seenAt time.Time
	// told is what was logged last.
	told bool
}

// passes tells whether an overload ends by itself: many servers load, or did a moment ago.
func (o *outage) passes(now time.Time) bool {
	return !o.seenAt.IsZero() && now.Sub(o.seenAt) < loadingTail
}

// note takes a count of servers.
func (o *outage) note(now time.Time, loading, known int) {
	o.countedAt = now
	if loading > 0 && float64(loading) >= loadingPart*float64(known) {
		o.seenAt = now
	}
}

// passing tells whether an overload of a service ends by itself.
func (b *Balancer) passing(service string, now time.Time) bool {
	o := b.outages[service]
	if o == nil {
		o = &outage{}
		b.outages[service] = o
	}
	if now.Sub(o.countedAt) >= loadingCheck {
		servers := b.services[service]
		loading := 0
		for _, s := range servers {
			if s.loading(now) {
				loading++
			}
		}
		o.note(now, loading, len(servers))
		b.tellPassing(o, service, now, loading)
	}
	return o.passes(now)
}

// tellPassing logs that an overload of a service is, or is no longer, taken for one that passes.
func (b *Balancer) tellPassing(o *outage, service string, now time.Time, loading int) {
	if o.told == o.passes(now) {
		return
	}
	o.told = !o.told
	b.cfg.Logger.Info().Str("service", service).Bool("passes", o.told).Int("loading", loading).
		Int("known", len(b.services[service])).Msg("judgement of overload changed")
}
