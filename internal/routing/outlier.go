package routing

import (
	"slices"
	"time"
)

// OutlierConfig configures when a backend server that does worse than its peers
// is ejected, and how it is probed afterwards.
type OutlierConfig struct {
	// Smoothing is the weight of a new sample in the moving averages.
	Smoothing float64
	// MinSamples is the number of samples needed to compare a backend server.
	MinSamples int
	// A backend server is slow if its first-token time exceeds LatencyFactor
	// times the peers' median plus LatencySlack.
	LatencyFactor float64
	LatencySlack  time.Duration
	// StallFactor times the median plus LatencySlack is the wait for the first
	// token after which a request is overdue; a backend server with two overdue
	// requests is stalled.
	StallFactor float64
	// UnstreamedStallFactor times the median, but at least UnstreamedStallMin, replaces
	// it for answers that are not streamed, whose duration varies much more.
	UnstreamedStallFactor float64
	UnstreamedStallMin    time.Duration
	// A backend server is failing if its share of failures exceeds ErrorRatio
	// and LatencyFactor times the peers' median.
	ErrorRatio float64
	// MaxEjectedShare bounds the share of a service's watched backend servers
	// that is ejected at once; one may always be, if there are at least two.
	MaxEjectedShare float64
	// Backoff is the duration of the first ejection; each further one lasts
	// twice as long, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// ProbeShare is the share of requests at which probing begins; it doubles
	// with each good answer. ProbeInterval is the time between probes.
	ProbeShare    float64
	ProbeInterval time.Duration
	// Disabled turns outlier detection off.
	Disabled bool
}

// DefaultOutlierConfig returns the default settings.
func DefaultOutlierConfig() OutlierConfig {
	return OutlierConfig{
		Smoothing:     0.2,
		MinSamples:    5,
		LatencyFactor: 5,
		LatencySlack:  20 * time.Millisecond,
		StallFactor:   10,

		UnstreamedStallFactor: 100,
		UnstreamedStallMin:    2 * time.Minute,

		ErrorRatio:      0.3,
		MaxEjectedShare: 0.3,
		Backoff:         10 * time.Second,
		MaxBackoff:      2 * time.Minute,
		ProbeShare:      0.05,
		ProbeInterval:   time.Second,
	}
}

func (c OutlierConfig) withDefaults() OutlierConfig {
	d := DefaultOutlierConfig()
	c.Smoothing = orDefault(c.Smoothing, d.Smoothing)
	c.MinSamples = orDefault(c.MinSamples, d.MinSamples)
	c.LatencyFactor = orDefault(c.LatencyFactor, d.LatencyFactor)
	c.LatencySlack = orDefault(c.LatencySlack, d.LatencySlack)
	c.StallFactor = orDefault(c.StallFactor, d.StallFactor)
	c.UnstreamedStallFactor = orDefault(c.UnstreamedStallFactor, d.UnstreamedStallFactor)
	c.UnstreamedStallMin = orDefault(c.UnstreamedStallMin, d.UnstreamedStallMin)
	c.ErrorRatio = orDefault(c.ErrorRatio, d.ErrorRatio)
	c.MaxEjectedShare = orDefault(c.MaxEjectedShare, d.MaxEjectedShare)
	c.Backoff = orDefault(c.Backoff, d.Backoff)
	c.MaxBackoff = orDefault(c.MaxBackoff, d.MaxBackoff)
	c.ProbeShare = orDefault(c.ProbeShare, d.ProbeShare)
	c.ProbeInterval = orDefault(c.ProbeInterval, d.ProbeInterval)
	return c
}

// EjectionCause is why a backend server was ejected.
type EjectionCause string

// The causes.
const (
	EjectedSlow    EjectionCause = "slow"
	EjectedFailing EjectionCause = "failing"
	EjectedStalled EjectionCause = "stalled"
)

// healthPhase is the state of a backend server in outlier detection.
type healthPhase int

const (
	phaseHealthy healthPhase = iota
	phaseEjected
	phaseProbing
)

// health describes a backend server by the results of this entry's own requests.
type health struct {
	phase healthPhase
	// latency is the moving average of the first-token time, in seconds.
	latency float64
	// errors is the moving average of the share of failures.
	errors       float64
	samples      int
	ejectedUntil time.Time
	backoff      time.Duration
	probeShare   float64
}

// recordSample adds one sample; a failure has no latency.
func (h *health) recordSample(latency time.Duration, failed bool, cfg *OutlierConfig) {
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

func (h *health) eject(now time.Time, cfg *OutlierConfig) {
	h.backoff = min(max(2*h.backoff, cfg.Backoff), cfg.MaxBackoff)
	h.phase = phaseEjected
	h.ejectedUntil = now.Add(h.backoff)
}

// recordProbe evaluates one answer of a backend server that is being probed. It
// reports whether the server gets its full share again.
func (h *health) recordProbe(now time.Time, latency time.Duration, failed bool, peers peerStats, cfg *OutlierConfig) bool {
	if failed || peers.isSlow(latency.Seconds(), cfg) {
		h.eject(now, cfg)
		return false
	}
	h.probeShare *= 2
	if h.probeShare < 1 {
		return false
	}
	*h = health{backoff: h.backoff}
	return true
}

// peerStats holds the medians over a service's healthy backend servers.
type peerStats struct {
	latency float64
	errors  float64
	known   bool
}

func (p peerStats) isSlow(latency float64, cfg *OutlierConfig) bool {
	return p.known && latency > cfg.LatencyFactor*p.latency+cfg.LatencySlack.Seconds()
}

func (p peerStats) isFailing(errors float64, cfg *OutlierConfig) bool {
	return errors > max(cfg.ErrorRatio, cfg.LatencyFactor*p.errors)
}

// lowerMedian returns the median, the lower one for an even count: of two backend
// servers, the better one is the reference.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func computePeerStats(servers []*server, cfg *OutlierConfig) peerStats {
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
	return peerStats{lowerMedian(latencies), lowerMedian(errors), len(latencies) > 0}
}

// outlierCause returns why a healthy backend server is an outlier among its
// peers, and whether it is.
func (s *server) outlierCause(now time.Time, peers peerStats, cfg *OutlierConfig) (EjectionCause, bool) {
	enough := s.health.samples >= cfg.MinSamples
	switch {
	case enough && peers.isFailing(s.health.errors, cfg):
		return EjectedFailing, true
	case enough && peers.isSlow(s.health.latency, cfg):
		return EjectedSlow, true
	case peers.known && s.overdue(now, peers, cfg) >= 2:
		return EjectedStalled, true
	default:
		return "", false
	}
}

// overdue counts the requests that have waited too long for their first token.
func (s *server) overdue(now time.Time, peers peerStats, cfg *OutlierConfig) int {
	limit := cfg.StallFactor*peers.latency + cfg.LatencySlack.Seconds()
	unstreamedLimit := max(cfg.UnstreamedStallFactor*peers.latency, cfg.UnstreamedStallMin.Seconds())
	n := 0
	for _, w := range s.waiting {
		allowed := limit
		if w.unstreamed {
			allowed = unstreamedLimit
		}
		if now.Sub(w.since).Seconds() > allowed {
			n++
		}
	}
	return n
}

// ejectOutliers ejects outliers of one service, up to the bounded share, and
// begins to probe those whose ejection time has passed.
func ejectOutliers(now time.Time, servers []*server, peers peerStats, cfg *OutlierConfig) []Action {
	if cfg.Disabled || len(servers) < 2 {
		return nil
	}
	allowed := max(1, int(cfg.MaxEjectedShare*float64(len(servers))))
	var actions []Action
	for _, s := range servers {
		if s.health.phase == phaseHealthy {
			continue
		}
		allowed--
		if s.health.phase == phaseEjected && !now.Before(s.health.ejectedUntil) {
			s.health.phase = phaseProbing
			s.health.probeShare = cfg.ProbeShare
		}
	}
	for _, s := range servers {
		if allowed <= 0 {
			break
		}
		if s.health.phase != phaseHealthy {
			continue
		}
		if cause, bad := s.outlierCause(now, peers, cfg); bad {
			s.health.eject(now, cfg)
			actions = append(actions, Ejected{s.member.VM, cause})
			allowed--
		}
	}
	return actions
}

// dueProbe returns a backend server being probed that has no request of this
// entry in flight and got the last one at least ProbeInterval ago.
func dueProbe(c *Candidates) *ServerView {
	for _, s := range c.Servers {
		if s.phase != phaseProbing || s.count.inFlight.Load() > 0 {
			continue
		}
		last := time.Unix(0, s.count.lastDispatch.Load())
		if c.Now.Sub(last) >= c.cfg.Outlier.ProbeInterval {
			return s
		}
	}
	return nil
}
