package pace

import "time"

// The governor's rule: multiplicative fall and additive rise of the transfers'
// share, as in TCP's congestion avoidance, but a fall is a trial: when live
// requests are no faster for it, something else makes them slow (most often
// the engine's own queue in the very burst that the weights are for), and the
// transfers get their share back.
const (
	// minShare keeps a transfer going however slow live requests are.
	minShare   = 0.25
	fallFactor = 0.8
	rise       = 0.05
	// stepEvery bounds how often the share rises, trialTime is how long a
	// fall may take to show its effect, and holdOff is how long no other is
	// tried after one without effect.
	stepEvery = 200 * time.Millisecond
	trialTime = 500 * time.Millisecond
	holdOff   = 10 * time.Second
	// sustained is how long latency must stay risen before a fall, so that one
	// slow request does not cost a transfer its share.
	sustained = time.Second
	// Latency counts as risen above riseFactor times the usual one plus
	// riseSlack, and a fall as effective if it is below helpFactor times
	// what it was.
	riseFactor = 1.5
	riseSlack  = 5 * time.Millisecond
	helpFactor = 0.85
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
	observed bool
	stepped  time.Time // when the share last rose
	// before is the latency at the fall being tried, 0 if none is.
	before  float64
	trial   time.Time // when it began
	holding time.Time // no fall until then
	risen   time.Time // since when latency has been risen; zero if it is not
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
	g.step(now)
}

// Tick lets the share rise when no live requests are observed.
func (g *Governor) Tick(now time.Time) {
	if g.share < 1 && now.Sub(g.stepped) >= 5*stepEvery && now.Sub(g.trial) >= 10*trialTime {
		g.recent = g.usual
		g.step(now)
	}
}

func (g *Governor) step(now time.Time) {
	if g.before > 0 {
		g.judge(now)
		return
	}
	if g.recent > g.usual*riseFactor+riseSlack.Seconds() {
		g.fall(now)
		return
	}
	g.risen = time.Time{}
	if now.Sub(g.stepped) >= stepEvery {
		g.stepped = now
		g.share = min(1, g.share+rise)
	}
}

// fall begins the trial of a smaller share once latency has stayed risen.
func (g *Governor) fall(now time.Time) {
	if g.risen.IsZero() {
		g.risen = now
	}
	if now.Sub(g.risen) < sustained || now.Before(g.holding) || g.share <= minShare {
		return
	}
	g.before, g.trial = g.recent, now
	g.share = max(minShare, g.share*fallFactor)
}

// judge decides whether a fall has helped.
func (g *Governor) judge(now time.Time) {
	if now.Sub(g.trial) < trialTime {
		return
	}
	helped := g.recent < g.before*helpFactor
	g.before = 0
	if helped {
		return
	}
	g.share = 1
	g.usual = g.recent
	g.holding = now.Add(holdOff)
}
