package shutdown

import "time"

// AnswerTime is the smoothed time of answers and its mean deviation, computed as TCP does for round trips (RFC 6298).
// The zero value has no observations.
type AnswerTime struct {
	mean, deviation time.Duration
}

const (
	meanDivisor      = 8
	deviationDivisor = 4
	// deviations is how many mean deviations over the mean hardly any answer takes.
	deviations = 4
)

// Observe adds the time that an answer took.
func (t AnswerTime) Observe(took time.Duration) AnswerTime {
	if t.mean == 0 {
		return AnswerTime{mean: max(took, 1), deviation: took / 2}
	}
	t.deviation += ((took - t.mean).Abs() - t.deviation) / deviationDivisor
	t.mean = max(t.mean+(took-t.mean)/meanDivisor, 1)
	return t
}

// Estimate is what is known of how long a request takes from its send to the end of its answer. Durations are 0 if not known.
type Estimate struct {
	// Predicted is the prediction for the server that was chosen.
	Predicted time.Duration
	// Observed are the answers to earlier requests of its kind, Objective is their objective.
	Observed  AnswerTime
	Objective time.Duration
	// Left is the time until the request's deadline: it takes no longer.
	Left time.Duration
	// RunOnce: the request must not run twice, so that its caller can't send it again if it is cut.
	RunOnce bool
}

// lateFactor times the objective is the time after which an answer counts as late.
const lateFactor = 2

// Takes returns how long the request is taken to take. Requests that must not run twice are judged by the time that hardly any of
// them exceeds, and if nothing is known by their deadline: a refusal as not run costs their callers a moment, while a cut may lose their work.
// Others are judged by the usual time, and if nothing is known take none: one that is cut can be sent again elsewhere.
func (e Estimate) Takes() time.Duration {
	takes := e.Left
	switch {
	case e.Predicted > 0:
		takes = e.Predicted
	case e.Observed.mean > 0 && e.RunOnce:
		takes = e.Observed.mean + deviations*e.Observed.deviation
	case e.Observed.mean > 0:
		takes = e.Observed.mean
	case e.Objective > 0 && e.RunOnce:
		takes = lateFactor * e.Objective
	case e.Objective > 0:
		takes = e.Objective
	case !e.RunOnce:
		takes = 0
	}
	return max(min(takes, e.Left), 0)
}
