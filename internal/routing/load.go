package routing

import (
	"math"
	"time"
)

// loadEstimate is the load that others put on a backend server, in requests,
// as it reports it itself. Own requests are counted exactly and left out.
type loadEstimate struct {
	// reported is the backend server's late figure less this entry's own
	// requests, and reportedAt when that figure last changed: one that stays
	// the same in message after message loses its weight.
	reported   float64
	reportedAt time.Time
}

func (l *loadEstimate) update(now time.Time, old, st AgentState, own int64) {
	if st.ReportedLoad < 0 {
		l.reported = 0
		return
	}
	if st.ReportedLoad == old.ReportedLoad && !l.reportedAt.IsZero() {
		return
	}
	l.reported = math.Max(0, st.ReportedLoad*float64(st.Concurrency)-float64(own))
	l.reportedAt = now
}

// now estimates the reported load of others now.
func (l *loadEstimate) now(now time.Time, halfLife time.Duration) float64 {
	return l.reported * decay(now.Sub(l.reportedAt), halfLife)
}

// decay is the weight left of a figure of that age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
