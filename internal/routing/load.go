package routing

import (
	"math"
	"time"
)

// loadEstimate is the load of a backend server by its own report, in requests,
// without those of this entry, which are counted exactly.
type loadEstimate struct {
	// reported is the reported load less this entry's own requests, and
	// reportedAt when the report last changed: a report that stays the same in
	// successive messages decays.
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

// now returns the reported load with its weight by age.
func (l *loadEstimate) now(now time.Time, halfLife time.Duration) float64 {
	return l.reported * decay(now.Sub(l.reportedAt), halfLife)
}

// decay returns the weight of a value of the given age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
