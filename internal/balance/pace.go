package balance

import "time"

// The pace of an engine is how many times as long as usual all of its work takes, as reported by its
// agent. Predictions scale the engine's times with it. A pace of 1 changes nothing.

const (
	// maxPace bounds a reported pace, so that no prediction overflows.
	maxPace = 100
	// minSlowBudget is the least longest wait that is accepted at a slow engine, so that it keeps
	// getting requests; it equals the gateway's minimum for all engines.
	minSlowBudget = 20 * time.Millisecond
	// lastResortPenalty exceeds the sum of all other costs of a server.
	lastResortPenalty = time.Hour
)

// pace returns how many times as long as usual the server's work takes: 1 for plain services, and
// without a recent report of a positive pace.
func (s *Server) pace(now time.Time) float64 {
	known := s.agent.pace > 0 // false for NaN
	if s.engine == nil || !known || now.Sub(s.agent.at) >= maxReportAge {
		return 1
	}
	return min(s.agent.pace, maxPace)
}

// scale returns the duration at this pace of work that usually takes d.
func scale(d time.Duration, pace float64) time.Duration { return time.Duration(float64(d) * pace) }

// prediction is what is predicted for a request at a server of this pace.
type prediction struct {
	pace float64
	// wait is that for a slot and for the prompts before its own, read the time to read the prompt,
	// firstEvent the time until the first event. extra is by how much reading and the pass to the first
	// event take longer than usual.
	wait, read, firstEvent, extra time.Duration
}

// predict predicts how a request is served whose prompt usually takes read.
func (s *Server) predict(now time.Time, queue, others float64, read time.Duration) prediction {
	p := prediction{pace: s.pace(now), wait: s.predictWait(now, queue, others)}
	p.read = scale(read, p.pace)
	own := read
	if s.engine != nil {
		own += s.engine.PassTime()
	}
	scaled := scale(own, p.pace)
	p.firstEvent, p.extra = p.wait+scaled, scaled-own
	return p
}

// onTime returns the prediction without the lateness that it includes.
func (p prediction) onTime(lateness time.Duration) prediction {
	p.wait -= lateness
	p.firstEvent -= lateness
	return p
}

// budget returns the longest accepted wait at an engine of this pace. A slower engine uses more of the
// objective for a usual prompt and the pass to the first event.
func (s *Server) budget(accepted time.Duration, pace float64) time.Duration {
	if pace == 1 {
		return accepted
	}
	usual := s.engine.PrefillTime(s.engine.UsualPrompt) + s.engine.PassTime()
	return max(accepted-scale(usual, pace-1), minSlowBudget)
}

// isLastResort reports whether a slow engine is predicted to send the first event too late, so that any
// other server that fits is preferred. Engines of usual pace are not judged by the request's prompt.
func (p prediction) isLastResort(now, due time.Time) bool {
	return p.pace > 1 && !due.IsZero() && now.Add(p.firstEvent).After(due)
}
