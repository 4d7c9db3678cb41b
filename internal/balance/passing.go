package balance

import "time"

// An overload that ends by itself, as while the engines of a service load new weights in turn, is
// tolerated: serving callers late is better than refusing them, as they would retry in the same
// overload and be refused for good. The estimate of unseen requests applies only to an overload
// that does not end by itself.

const (
	// loadingShare is the share of a service's servers that must be loading for an overload to
	// count as one that ends by itself.
	loadingShare = 0.1
	// loadingTail is how long such an overload is taken to last after the loading. Refused callers
	// retry within 2 s, and their requests take another 2 s.
	loadingTail = 4 * time.Second
	// loadingCheckInterval is how often loading servers are counted: a rollout to all takes seconds.
	loadingCheckInterval = 100 * time.Millisecond
)

// loadingPhase records when many servers of a service were last seen loading.
type loadingPhase struct {
	countedAt, seenAt time.Time
	// logged is the last logged state.
	logged bool
}

// active reports whether many servers are loading, or were a moment ago.
func (o *loadingPhase) active(now time.Time) bool {
	return !o.seenAt.IsZero() && now.Sub(o.seenAt) < loadingTail
}

// note records a count of servers.
func (o *loadingPhase) note(now time.Time, loading, known int) {
	o.countedAt = now
	if loading > 0 && float64(loading) >= loadingShare*float64(known) {
		o.seenAt = now
	}
}

// inLoadingPhase reports whether an overload of a service ends by itself.
func (b *Balancer) inLoadingPhase(service string, now time.Time) bool {
	o := b.loadingPhases[service]
	if o == nil {
		o = &loadingPhase{}
		b.loadingPhases[service] = o
	}
	if now.Sub(o.countedAt) >= loadingCheckInterval {
		servers := b.services[service]
		loading := 0
		for _, s := range servers {
			if s.loading(now) {
				loading++
			}
		}
		o.note(now, loading, len(servers))
		b.logLoadingPhase(o, service, now, loading)
	}
	return o.active(now)
}

// logLoadingPhase logs the beginning and the end of a loading phase of a service.
func (b *Balancer) logLoadingPhase(o *loadingPhase, service string, now time.Time, loading int) {
	if o.logged == o.active(now) {
		return
	}
	o.logged = !o.logged
	b.cfg.Logger.Info().Str("service", service).Bool("passes", o.logged).Int("loading", loading).
		Int("known", len(b.services[service])).Msg("judgement of overload changed")
}
