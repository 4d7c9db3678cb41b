package pace

import "time"

// The governor's rule: additive rise and multiplicative fall of the transfers'
// share, as in TCP's congestion avoidance.
const (
	// minShare keeps a transfer going however slow live requests are: they
	// may be slow for reasons that no transfer causes.
	minShare = 0.25
	fall     = 0.7
	rise     = 0.05
	// stepEvery bounds how often the share moves, so that a fall can show
	// its effect before the next.
	stepEvery = 200 * time.Millisecond
	// Latency counts as risen above factor times the usual one plus slack.
	riseFactor = 1.5
	riseSlack  = 5 * time.Millisecond
	// Weights of a new observation in the averages. The usual latency follows
	// a higher one slowly and a lower one fast.
	recentWeight    = 0.2
	usualUpWeight   = 0.002
	usualDownWeight = 0.1
)

// Governor decides the transfers' share of a link from live latencies. It is
// not safe for concurrent use.
type Governor struct {
	share    float64
	recent   float64 // seconds
	usual    float64 // seconds
	stepped  time.Time
	observed bool
}

// NewGovernor returns a governor that leaves transfers the whole link.
func NewGovernor() *Governor { return &Governor{share: 1} }

// Share returns the part of the link that transfers may use.
func (g *Governor) Share() float64 { return g.share }

// Observe takes the first-token latency of a live request.
func (g *Governor) Observe(latency time.Duration, now time.Time) {
	seconds := latency.Seconds()
	if !g.observed {
		g.observed, g.recent, g.usual = true, seconds, seconds
		return
	}
	g.recent += recentWeight * (seconds - g.recent)
	weight := usualUpWeight
	if seconds < g.usual {
		weight = usualDownWeight
	}
	g.usual += weight * (seconds - g.usual)
	if now.Sub(g.stepped) >= stepEvery {
		g.step(now)
	}
}

// Tick lets the share rise when no live requests are observed.
func (g *Governor) Tick(now time.Time) {
	if g.share < 1 && now.Sub(g.stepped) >= 5*stepEvery {
		g.recent = g.usual
		g.step(now)
	}
}

func (g *Governor) step(now time.Time) {
	g.stepped = now
	if g.recent > g.usual*riseFactor+riseSlack.Seconds() {
		g.share = max(minShare, g.share*fall)
		return
	}
	g.share = min(1, g.share+rise)
}
