package replay

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lynxgate.dev/lynxgate/internal/trace"
)

// Outcome is how a request ended, as its caller saw it.
type Outcome string

// The outcomes.
const (
	// Completed: the answer was whole and right.
	Completed Outcome = "completed"
	// NotRun: the caller was told that the request did not run, or it never
	// left.
	NotRun Outcome = "not run"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
	// Wrong: an answer that nobody may get: of other or mixed weights, of
	// another request, or cut short with a clean end.
	Wrong Outcome = "wrong"
)

// Problem says more about an outcome; empty for completed ones.
type Problem string

// The problems that make an answer wrong.
const (
	ProblemMixed      Problem = "tokens of different weights"
	ProblemTokens     Problem = "tokens do not belong to the prompt and the weights"
	ProblemForeign    Problem = "weights that no declared version has"
	ProblemShort      Problem = "clean end before the last token"
	ProblemBodyDigest Problem = "answer to another request body"
	ProblemForm       Problem = "answer cannot be read"
)

// The problems of runs, found by CheckRuns.
const (
	ProblemDoubled       Problem = "ran more than once"
	ProblemLost          Problem = "answered but never ran"
	ProblemWronglyNotRun Problem = "said not to have run but ran"
)

// Result is what became of one request.
type Result struct {
	Request trace.Request `json:"-"`
	ID      string        `json:"id"`
	Outcome Outcome       `json:"outcome"`
	Problem Problem       `json:"problem,omitempty"`
	// Detail is the error text, if any.
	Detail string `json:"detail,omitempty"`
	// Told is true when the system itself stated the outcome.
	Told bool `json:"told"`
	// Status is the HTTP status, 0 without an answer.
	Status int `json:"status"`
	// Digest of the weights that answered.
	Digest string `json:"digest,omitempty"`
	// CachedTokens of the prompt, as the engine reports it.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// FirstToken and Total are counted from the time at which the trace has
	// the request, so that a late start shows in them. FirstToken is 0 if
	// no token came.
	FirstToken time.Duration `json:"first_token_ns,omitempty"`
	Total      time.Duration `json:"total_ns"`
	// Late is true when the answer came after the request's deadline.
	Late bool `json:"late,omitempty"`

	gaps []time.Duration // between tokens
}

// asExpected reports whether the outcome is what the trace states.
func (r Result) asExpected() bool {
	switch r.Request.Expect {
	case trace.AnsweredWhole:
		return r.Outcome == Completed
	case trace.AnsweredWholeOrNotRun:
		return r.Outcome == Completed || r.Outcome == NotRun
	case trace.AnsweredWholeOrTold:
		return r.Outcome == Completed || (r.Told && r.Outcome != Wrong)
	default:
		return r.Outcome != Wrong
	}
}

// Difference is a request that ended otherwise than the trace states.
type Difference struct {
	ID       string            `json:"id"`
	Expected trace.Expectation `json:"expected"`
	Outcome  Outcome           `json:"outcome"`
	Problem  Problem           `json:"problem,omitempty"`
	Detail   string            `json:"detail,omitempty"`
}

// Counts of outcomes.
type Counts struct {
	Completed int `json:"completed"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	Wrong     int `json:"wrong"`
	// Mixed is how many of the wrong ones had tokens of different weights.
	Mixed int `json:"mixed"`
	// Late is how many were completed after their deadline.
	Late int `json:"late"`
	// Unsent requests were left when the replay was stopped.
	Unsent int `json:"unsent"`
}

// Report of a replay.
type Report struct {
	Counts      Counts       `json:"counts"`
	Differences []Difference `json:"differences"`
	// Results by order of the trace.
	Results []Result `json:"-"`
	// Histograms in microseconds, of completed requests: first token and
	// time between tokens of streams, and total time of all.
	FirstToken    *hdrhistogram.Histogram `json:"-"`
	BetweenTokens *hdrhistogram.Histogram `json:"-"`
	Total         *hdrhistogram.Histogram `json:"-"`
}

const (
	// maxRecorded is the longest time of the histograms.
	maxRecorded = time.Hour
	// recordedDigits is the precision of the histograms.
	recordedDigits = 3
)

// NewHistogram returns a histogram of times in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), recordedDigits)
}

// Record adds a time to a histogram.
func Record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d, maxRecorded).Microseconds())
}

// newReport sums up the results.
func newReport(results []Result) *Report {
	report := &Report{
		Results: results, Differences: []Difference{},
		FirstToken: NewHistogram(), BetweenTokens: NewHistogram(), Total: NewHistogram(),
	}
	for _, r := range results {
		report.add(r)
	}
	return report
}

func (report *Report) add(r Result) {
	switch r.Outcome {
	case Completed:
		report.Counts.Completed++
		report.record(r)
	case NotRun:
		report.Counts.NotRun++
	case Unknown:
		report.Counts.Unknown++
	case Wrong:
		report.Counts.Wrong++
	default:
		report.Counts.Unsent++
		return
	}
	if r.Problem == ProblemMixed {
		report.Counts.Mixed++
	}
	if !r.asExpected() {
		report.differ(r, r.Problem)
	}
}

// record adds the times of a completed request.
func (report *Report) record(r Result) {
	if r.Late {
		report.Counts.Late++
	}
	Record(report.Total, r.Total)
	if r.FirstToken > 0 {
		Record(report.FirstToken, r.FirstToken)
	}
	for _, gap := range r.gaps {
		Record(report.BetweenTokens, gap)
	}
}

func (report *Report) differ(r Result, problem Problem) {
	report.Differences = append(report.Differences, Difference{
		ID: r.ID, Expected: r.Request.Expect, Outcome: r.Outcome, Problem: problem, Detail: r.Detail,
	})
}

// RunCheck is what CheckRuns found.
type RunCheck struct {
	Doubled       int `json:"doubled"`
	Lost          int `json:"lost"`
	WronglyNotRun int `json:"wrongly_not_run"`
}

// CheckRuns compares the outcomes of at-most-once requests with how often each
// idempotency key ran on the plain services (the sum over all of them, from
// GET /_runs). What does not fit becomes a difference. Requests for models
// are not looked at.
func (report *Report) CheckRuns(runs map[string]int) RunCheck {
	byKey := make(map[string][]Result)
	for _, r := range report.Results {
		if key := r.Request.IdempotencyKey; key != "" && r.Outcome != "" {
			byKey[key] = append(byKey[key], r)
		}
	}
	keys := make([]string, 0, len(byKey))
	for key := range byKey {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var check RunCheck
	for _, key := range keys {
		report.checkKey(&check, byKey[key], runs[key])
	}
	return check
}

// checkKey looks at all requests with one key.
func (report *Report) checkKey(check *RunCheck, sent []Result, runs int) {
	completed, notRun := 0, 0
	for _, r := range sent {
		switch r.Outcome {
		case Completed:
			completed++
		case NotRun:
			notRun++
		}
	}
	switch {
	case runs > 1:
		check.Doubled++
		report.differ(sent[0], ProblemDoubled)
	case runs == 0 && completed > 0:
		check.Lost++
		report.differ(sent[0], ProblemLost)
	case runs > 0 && notRun == len(sent):
		check.WronglyNotRun++
		report.differ(sent[0], ProblemWronglyNotRun)
	}
}

// Summary returns the report as a short text.
func (report *Report) Summary() string {
	c := report.Counts
	return fmt.Sprintf("completed %d, not run %d, unknown %d, wrong %d (mixed %d), late %d, unsent %d; differences %d\n"+
		"first token p50 %s p95 %s, between tokens p50 %s p95 %s, total p50 %s p95 %s\n",
		c.Completed, c.NotRun, c.Unknown, c.Wrong, c.Mixed, c.Late, c.Unsent, len(report.Differences),
		quantile(report.FirstToken, 50), quantile(report.FirstToken, 95),
		quantile(report.BetweenTokens, 50), quantile(report.BetweenTokens, 95),
		quantile(report.Total, 50), quantile(report.Total, 95))
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
