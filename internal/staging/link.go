package staging

import (
	"errors"
	"time"
)

const (
	// linkGain is the weight of the newest piece in the moving slowness of the link:
	// one slow peer among several does not make the own link narrow.
	linkGain = 0.3
	// narrowAbove is from which slowness on the own link is taken to be narrow: it
	// gives a third of what the settings say.
	narrowAbove = 3
	// mostSlowness is what one piece counts at most.
	mostSlowness = 6
)

// bitsPerByte and bitsPerMegabit convert sizes in bytes and bandwidths in Mbit/s.
const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// timeOnLink is how long a link of mbps Mbit/s, which must be more than 0, takes for
// bytes.
func timeOnLink(bytes int, mbps float64) time.Duration {
	return time.Duration(float64(bytes) * bitsPerByte / (mbps * bitsPerMegabit) * float64(time.Second))
}

// linkState judges the VM's own link by how much longer pieces take than it should
// need for them. Behind a narrow one pieces are fetched one at a time, since requests
// wait behind them, and so do the ends of connections: engines would go on with work whose callers
// have left.
type linkState struct {
	// slowness is the moving ratio of the time that pieces took to the time that they
	// should take.
	slowness float64
}

func (l *linkState) narrow() bool { return l.slowness > narrowAbove }

// observe takes a piece in that took this long where it should have taken want.
func (l *linkState) observe(took, want time.Duration) {
	if want > 0 {
		l.slowness += linkGain * (min(float64(took)/float64(want), mostSlowness) - l.slowness)
	}
}

// noteLink judges the link by a fetch from a peer; one that timed out counts with the
// time that it was waited for.
func (f *fetcher) noteLink(r fetched) {
	if errors.Is(r.err, errPeerBusy) || f.s.cfg.LinkMbps <= 0 {
		return
	}
	piece := timeOnLink(f.g.engine.PieceBytes, f.s.cfg.LinkMbps)
	before := f.link.narrow()
	f.link.observe(r.took, time.Duration(max(r.beside, 1))*piece)
	if now := f.link.narrow(); now != before {
		f.s.log.Info().Bool("narrow", now).Float64("slowness", f.link.slowness).Dur("piece_took_ms", r.took).
			Int("beside", r.beside).Msg("judgement of the own link changed")
	}
}
