package routing

import (
	"slices"
	"time"
)

// OutlierConfig says when a backend server that is up but does worse than
// its peers is set aside, and how it is tried again.
type OutlierConfig struct {
	// Smoothing is the weight of a new sample in the moving averages.
	Smoothing float64
	// MinSamples is how many samples a judgement needs.
	MinSamples int
	// LatencyFactor over the peers' median first-token time, and
	// LatencySlack above it, make a backend server slow.
	LatencyFactor float64
	LatencySlack  time.Duration
	// StallFactor over the median makes a waiting request overdue; two
	// overdue requests make a backend server stalled.
	StallFactor float64
	// WholeStallFactor and WholeStallMin take its place for answers that
	// come in one piece, whose work differs much more.
	WholeStallFactor float64
	WholeStallMin    time.Duration
	// ErrorRatio is the least share of failures that counts as failing.
	ErrorRatio float64
	// MaxAside is the largest share of a service's watched backend servers
	// that is set aside at once; one of two may always be.
	MaxAside float64
	// Backoff is how long the first setting aside lasts; each further one
	// is twice as long, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// ProbeShare is the share of requests that a tried one begins with; it
	// doubles with each good answer. ProbeEvery is the time between probes.
	ProbeShare float64
	ProbeEvery time.Duration
	// Disabled turns the judgement off.
	Disabled bool
}

// DefaultOutlierConfig returns the settings in use.
func DefaultOutlierConfig() OutlierConfig {
	return OutlierConfig{
		Smoothing:     0.2,
		MinSamples:    5,
		LatencyFactor: 5,
		LatencySlack:  20 * time.Millisecond,
		StallFactor:   10,

		WholeStallFactor: 100,
		WholeStallMin:    2 * time.Minute,

		ErrorRatio: 0.3,
		MaxAside:   0.3,
		Backoff:    10 * time.Second,
		MaxBackoff: 2 * time.Minute,
		ProbeShare: 0.05,
		ProbeEvery: time.Second,
	}
}

func (c OutlierConfig) withDefaults() OutlierConfig {
	d := DefaultOutlierConfig()
	c.Smoothing = orDefault(c.Smoothing, d.Smoothing)
	c.MinSamples = orDefault(c.MinSamples, d.MinSamples)
	c.LatencyFactor = orDefault(c.LatencyFactor, d.LatencyFactor)
	c.LatencySlack = orDefault(c.LatencySlack, d.LatencySlack)
	c.StallFactor = orDefault(c.StallFactor, d.StallFactor)
	c.WholeStallFactor = orDefault(c.WholeStallFactor, d.WholeStallFactor)
	c.WholeStallMin = orDefault(c.WholeStallMin, d.WholeStallMin)
	c.ErrorRatio = orDefault(c.ErrorRatio, d.ErrorRatio)
	c.MaxAside = orDefault(c.MaxAside, d.MaxAside)
	c.Backoff = orDefault(c.Backoff, d.Backoff)
	c.MaxBackoff = orDefault(c.MaxBackoff, d.MaxBackoff)
	c.ProbeShare = orDefault(c.ProbeShare, d.ProbeShare)
	c.ProbeEvery = orDefault(c.ProbeEvery, d.ProbeEvery)
	return c
}

// AsideCause is why a backend server was set aside.
type AsideCause string

// The causes.
const (
	AsideSlow    AsideCause = "slow"
	AsideFailing AsideCause = "failing"
	AsideStalled AsideCause = "stalled"
)

// healthPhase is where a backend server stands in the judgement.
type healthPhase int

const (
	phaseHealthy healthPhase = iota
	phaseAside
	phaseProbing
)

// health is how a backend server did in this entry's own requests.
type health struct {
	phase healthPhase
	// latency is the moving average of the first-token time, in seconds.
	latency float64
	// errors is the moving average of the share of failures.
	errors  float64
	samples int
	until   time.Time
	backoff time.Duration
	share   float64
}

// observe adds one sample; a failure has no latency.
func (h *health) observe(latency time.Duration, failed bool, cfg *OutlierConfig) {
	h.samples++
	if failed {
		h.errors += cfg.Smoothing * (1 - h.errors)
		return
	}
	h.errors -= cfg.Smoothing * h.errors
	if latency <= 0 {
		return
	}
	if h.latency == 0 {
		h.latency = latency.Seconds()
		return
	}
	h.latency += cfg.Smoothing * (latency.Seconds() - h.latency)
}

func (h *health) setAside(now time.Time, cfg *OutlierConfig) {
	h.backoff = min(max(2*h.backoff, cfg.Backoff), cfg.MaxBackoff)
	h.phase = phaseAside
	h.until = now.Add(h.backoff)
}

// probed judges one answer of a backend server that is being tried. It
// reports whether the server is back to its full share.
func (h *health) probed(now time.Time, latency time.Duration, failed bool, peers peerFigures, cfg *OutlierConfig) bool {
	if failed || peers.isSlow(latency.Seconds(), cfg) {
		h.setAside(now, cfg)
		return false
	}
	h.share *= 2
	if h.share < 1 {
		return false
	}
	*h = health{backoff: h.backoff}
	return true
}

// peerFigures are the medians over a service's healthy backend servers.
type peerFigures struct {
	latency float64
	errors  float64
	known   bool
}

func (p peerFigures) isSlow(latency float64, cfg *OutlierConfig) bool {
	return p.known && latency > cfg.LatencyFactor*p.latency+cfg.LatencySlack.Seconds()
}

func (p peerFigures) isFailing(errors float64, cfg *OutlierConfig) bool {
	return errors > max(cfg.ErrorRatio, cfg.LatencyFactor*p.errors)
}

// lowerMedian returns the median, the lower of two for an even count: of two
// backend servers the better one is the measure.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func figures(servers []*server, cfg *OutlierConfig) peerFigures {
	var latencies, errors []float64
	for _, s := range servers {
		if s.health.phase != phaseHealthy || s.health.samples < cfg.MinSamples {
			continue
		}
		errors = append(errors, s.health.errors)
		if s.health.latency > 0 {
			latencies = append(latencies, s.health.latency)
		}
	}
	return peerFigures{lowerMedian(latencies), lowerMedian(errors), len(latencies) > 0}
}

// verdict says whether a healthy backend server does worse than its peers.
func (s *server) verdict(now time.Time, peers peerFigures, cfg *OutlierConfig) (AsideCause, bool) {
	enough := s.health.samples >= cfg.MinSamples
	switch {
	case enough && peers.isFailing(s.health.errors, cfg):
		return AsideFailing, true
	case enough && peers.isSlow(s.health.latency, cfg):
		return AsideSlow, true
	case peers.known && s.overdue(now, peers, cfg) >= 2:
		return AsideStalled, true
	default:
		return "", false
	}
}

// overdue counts the requests that wait too long for their first token.
func (s *server) overdue(now time.Time, peers peerFigures, cfg *OutlierConfig) int {
	limit := cfg.StallFactor*peers.latency + cfg.LatencySlack.Seconds()
	wholeLimit := max(cfg.WholeStallFactor*peers.latency, cfg.WholeStallMin.Seconds())
	n := 0
	for _, w := range s.waiting {
		allowed := limit
		if w.whole {
			allowed = wholeLimit
		}
		if now.Sub(w.since).Seconds() > allowed {
			n++
		}
	}
	return n
}

// judge sets outliers of one service aside, within the bounded share, and
// begins to try those whose time has passed.
func judge(now time.Time, servers []*server, peers peerFigures, cfg *OutlierConfig) []Action {
	if cfg.Disabled || len(servers) < 2 {
		return nil
	}
	allowed := max(1, int(cfg.MaxAside*float64(len(servers))))
	var actions []Action
	for _, s := range servers {
		if s.health.phase == phaseHealthy {
			continue
		}
		allowed--
		if s.health.phase == phaseAside && !now.Before(s.health.until) {
			s.health.phase = phaseProbing
			s.health.share = cfg.ProbeShare
		}
	}
	for _, s := range servers {
		if allowed <= 0 {
			break
		}
		if s.health.phase != phaseHealthy {
			continue
		}
		if cause, bad := s.verdict(now, peers, cfg); bad {
			s.health.setAside(now, cfg)
			actions = append(actions, SetAside{s.member.VM, cause})
			allowed--
		}
	}
	return actions
}

// dueProbe returns a backend server on trial that has no request of this
// entry in flight and has not been tried for a while.
func dueProbe(c *Candidates) *ServerView {
	for _, s := range c.Servers {
		if s.phase != phaseProbing || s.count.inFlight.Load() > 0 {
			continue
		}
		last := time.Unix(0, s.count.lastDispatch.Load())
		if c.Now.Sub(last) >= c.cfg.Outlier.ProbeEvery {
			return s
		}
	}
	return nil
}
