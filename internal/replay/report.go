package replay

import (
	"fmt"
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
	// RetryAfter is the header of a refusal, 0 without one.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
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
	// Times are quantiles of the histograms.
	Times Times `json:"times"`
}

// Times of completed requests.
type Times struct {
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	Total         Quantiles `json:"total"`
}

// Quantiles in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P95:   h.ValueAtQuantile(95),
		P99:   h.ValueAtQuantile(99),
	}
}

// String returns the quantiles as times.
func (q Quantiles) String() string {
	const unit = time.Microsecond
	return fmt.Sprintf("p50 %s p95 %s p99 %s",
		time.Duration(q.P50)*unit, time.Duration(q.P95)*unit, time.Duration(q.P99)*unit)
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
	report.Times = Times{
		FirstToken:    quantiles(report.FirstToken),
		BetweenTokens: quantiles(report.BetweenTokens),
		Total:         quantiles(report.Total),
	}
	return report
}

// By splits the report by a key of the results, such as the organisation.
func (report *Report) By(key func(Result) string) map[string]*Report {
	parts := make(map[string][]Result)
	for _, r := range report.Results {
		parts[key(r)] = append(parts[key(r)], r)
	}
	reports := make(map[string]*Report, len(parts))
	for name, results := range parts {
		reports[name] = newReport(results)
	}
	return reports
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

// Summary returns the report as a short text.
func (report *Report) Summary() string {
	c := report.Counts
	return fmt.Sprintf("completed %d, not run %d, unknown %d, wrong %d (mixed %d), late %d, unsent %d; differences %d\n"+
		"first token %s, between tokens %s, total %s\n",
		c.Completed, c.NotRun, c.Unknown, c.Wrong, c.Mixed, c.Late, c.Unsent, len(report.Differences),
		report.Times.FirstToken, report.Times.BetweenTokens, report.Times.Total)
}
