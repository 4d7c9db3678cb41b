package pace

import "time"

// The transfers' share decreases by a factor and increases by a constant, as in
// TCP congestion avoidance. But each decrease is a trial: if live requests do not
// get faster, something else makes them slow (most often the engine's own queue,
// in the load that the new weights are for), and the share is restored to 1.
const (
	// minShare lets transfers progress however slow live requests are.
	minShare       = 0.25
	decreaseFactor = 0.8
	increaseStep   = 0.05
	// stepEvery is the minimum interval between increases, trialTime is how
	// long a decrease may take to have an effect, and holdOff is how long no
	// decrease is tried after one without effect.
	stepEvery = 200 * time.Millisecond
	trialTime = 500 * time.Millisecond
	holdOff   = 10 * time.Second
	// sustained is how long latency must be elevated before a decrease, so that
	// one slow request does not lower the share.
	sustained = time.Second
	// Latency is elevated above elevatedFactor times the baseline plus
	// elevatedSlack. A decrease is effective if latency is then below
	// effectiveFactor times the latency before it.
	elevatedFactor  = 1.5
	elevatedSlack   = 5 * time.Millisecond
	effectiveFactor = 0.85
	// Weights of a new observation in the moving averages. The baseline follows
	// a higher latency slowly and a lower one fast.
	recentWeight       = 0.2
	baselineUpWeight   = 0.002
	baselineDownWeight = 0.1
)

// Governor adapts the transfers' share of a link to live latencies. It is not
// safe for concurrent use.
type Governor struct {
	share     float64
	recent    float64 // seconds
	baseline  float64 // seconds
	observed  bool
	increased time.Time // when the share was last increased
	// before is the latency before the decrease on trial, 0 without a trial.
	before        float64
	trialStart    time.Time // when the last trial started
	holdUntil     time.Time // no decrease before this time
	elevatedSince time.Time // since when latency has been elevated; zero if it is not
}

// NewGovernor returns a governor that starts with a share of 1.
func NewGovernor() *Governor { return &Governor{share: 1} }

// Share returns the fraction of the link that transfers may use.
func (g *Governor) Share() float64 { return g.share }

// Observe updates the share with the first-token latency of a live request.
func (g *Governor) Observe(latency time.Duration, now time.Time) {
	seconds := latency.Seconds()
	if !g.observed {
		g.observed, g.recent, g.baseline = true, seconds, seconds
		return
	}
	g.recent += recentWeight * (seconds - g.recent)
	weight := baselineUpWeight
	if seconds < g.baseline {
		weight = baselineDownWeight
	}
	g.baseline += weight * (seconds - g.baseline)
	g.step(now)
}

// Tick increases the share when no live requests have been observed for a while.
func (g *Governor) Tick(now time.Time) {
	if g.share < 1 && now.Sub(g.increased) >= 5*stepEvery && now.Sub(g.trialStart) >= 10*trialTime {
		g.recent = g.baseline
		g.step(now)
	}
}

func (g *Governor) step(now time.Time) {
	if g.before > 0 {
		g.endTrial(now)
		return
	}
	if g.recent > g.baseline*elevatedFactor+elevatedSlack.Seconds() {
		g.decrease(now)
		return
	}
	g.elevatedSince = time.Time{}
	if now.Sub(g.increased) >= stepEvery {
		g.increased = now
		g.share = min(1, g.share+increaseStep)
	}
}

// decrease starts the trial of a smaller share once latency has been elevated for
// long enough.
func (g *Governor) decrease(now time.Time) {
	if g.elevatedSince.IsZero() {
		g.elevatedSince = now
	}
	if now.Sub(g.elevatedSince) < sustained || now.Before(g.holdUntil) || g.share <= minShare {
		return
	}
	g.before, g.trialStart = g.recent, now
	g.share = max(minShare, g.share*decreaseFactor)
}

// endTrial ends a trial after trialTime, and restores the share if it had no
// effect.
func (g *Governor) endTrial(now time.Time) {
	if now.Sub(g.trialStart) < trialTime {
		return
	}
	effective := g.recent < g.before*effectiveFactor
	g.before = 0
	if effective {
		return
	}
	g.share = 1
	g.baseline = g.recent
	g.holdUntil = now.Add(holdOff)
}
