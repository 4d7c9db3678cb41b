package reservation

import "time"

const (
	// RoundTrip is the time that a call leaves to the way there and back: between regions it takes up to 4 ms.
	RoundTrip = 5 * time.Millisecond
	// defaultReportWait is how long an agent waits for its engine's report if the call does not state its timeout.
	defaultReportWait = 10 * time.Millisecond
	// AnswerTime is the time in which an agent that runs answers, with or without its engine's report.
	AnswerTime = defaultReportWait + RoundTrip
)

// ReportWait returns how long an agent waits for its engine's report before a decision on a call with this timeout, 0 if it is not
// stated. The answer must arrive before the timeout, as an agent that does not answer counts as one whose VM may stand still.
func ReportWait(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return defaultReportWait
	}
	return max(timeout-RoundTrip, timeout/2)
}
