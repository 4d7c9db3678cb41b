package staging

import (
	"errors"
	"time"
)

const (
	// slownessGain is the weight of the latest piece in the moving average of slowness: one
	// slow peer among several must not make the VM's own link count as narrow.
	slownessGain = 0.3
	// narrowThreshold is the slowness above which the link counts as narrow: its bandwidth
	// is then less than a third of the configured one.
	narrowThreshold = 3
	// maxSlowness is the maximum that one piece contributes to the average.
	maxSlowness = 6
)

// bitsPerByte and bitsPerMegabit convert sizes in bytes and bandwidths in Mbit/s.
const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// timeOnLink returns the time that a link of mbps Mbit/s takes to send bytes. mbps must be
// greater than 0.
func timeOnLink(bytes int, mbps float64) time.Duration {
	return time.Duration(float64(bytes) * bitsPerByte / (mbps * bitsPerMegabit) * float64(time.Second))
}

// linkState estimates whether the VM's own link is narrow, from how much longer pieces take
// than its bandwidth requires. On a narrow link pieces are fetched one at a time, because
// requests wait behind them, and so do closed connections: engines would continue to work
// for callers that have disconnected.
type linkState struct {
	// slowness is the moving average of the ratio of actual to expected transfer time.
	slowness float64
}

func (l *linkState) narrow() bool { return l.slowness > narrowThreshold }

// observe adds a piece that took this long where want was expected.
func (l *linkState) observe(took, want time.Duration) {
	if want > 0 {
		l.slowness += slownessGain * (min(float64(took)/float64(want), maxSlowness) - l.slowness)
	}
}

// observeLink updates the estimate of the link after a fetch from a peer. A fetch that timed out
// counts with the time until then.
func (f *fetcher) observeLink(r fetchResult) {
	if errors.Is(r.err, errPeerBusy) || f.s.cfg.LinkMbps <= 0 {
		return
	}
	piece := timeOnLink(f.g.engine.PieceBytes, f.s.cfg.LinkMbps)
	before := f.link.narrow()
	f.link.observe(r.took, time.Duration(max(r.concurrent, 1))*piece)
	if now := f.link.narrow(); now != before {
		f.s.log.Info().Bool("narrow", now).Float64("slowness", f.link.slowness).Dur("piece_took_ms", r.took).
			Int("beside", r.concurrent).Msg("judgement of the own link changed")
	}
}
