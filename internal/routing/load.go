package routing

import (
	"math"
	"time"
)

// loadEstimate is the load that others put on a backend server, in requests.
// Own requests are counted exactly and left out here.
type loadEstimate struct {
	// inFlight is the agent's count less this entry's own, at inFlightAt.
	inFlight   float64
	inFlightAt time.Time
	// reported is the backend server's late figure less this entry's own
	// requests, and reportedAt when that figure last changed: one that stays
	// the same in message after message loses its weight.
	reported   float64
	reportedAt time.Time
}

func (l *loadEstimate) update(now time.Time, old, st AgentState, own int64) {
	l.inFlight = math.Max(0, float64(st.InFlight)-float64(own))
	l.inFlightAt = now
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

// counted estimates the requests of other entries from the agent's count
// alone.
func (l *loadEstimate) counted(now time.Time, halfLife time.Duration) float64 {
	return l.inFlight * decay(now.Sub(l.inFlightAt), halfLife)
}

// others estimates the requests of other entries now.
func (l *loadEstimate) others(now time.Time, halfLife time.Duration) float64 {
	return math.Max(
		l.counted(now, halfLife),
		l.reported*decay(now.Sub(l.reportedAt), halfLife),
	)
}

// decay is the weight left of a figure of that age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
