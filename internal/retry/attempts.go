package retry

import (
	"time"

	"lynxgate.dev/lynxgate/internal/outcome"
)

// Policy bounds the retries of one request.
type Policy struct {
	// MaxAttempts includes the first attempt.
	MaxAttempts int
	// BaseBackoff is the longest wait before the second attempt; it doubles
	// with every further attempt up to MaxBackoff.
	BaseBackoff, MaxBackoff time.Duration
	// MinAttempt is the least time that must remain until the deadline for
	// another attempt to be started.
	MinAttempt time.Duration
}

// DefaultPolicy suits requests that take from milliseconds to minutes.
var DefaultPolicy = Policy{
	MaxAttempts: 3,
	BaseBackoff: 50 * time.Millisecond,
	MaxBackoff:  time.Second,
	MinAttempt:  20 * time.Millisecond,
}

// Request holds the properties of a request that decide on its retries.
type Request struct {
	// Seed of the backoff jitter, for example a hash of the request's id.
	Seed uint64
	// Idempotent requests may be retried even if an attempt may have run.
	Idempotent bool
	// AtMostOnce requests are never retried once an attempt may have run, even
	// if they are declared idempotent as well.
	AtMostOnce bool
	// Deadline of the caller; zero means none.
	Deadline time.Time
}

// Reason is the reason for a decision, in the form of a metric label.
type Reason string

// The reasons for a decision.
const (
	ReasonRetry       Reason = "retry"
	ReasonCompleted   Reason = "completed"
	ReasonFinal       Reason = "final_reason"
	ReasonMayHaveRun  Reason = "may_have_run"
	ReasonAnswerBegun Reason = "answer_begun"
	ReasonAttempts    Reason = "attempts"
	ReasonDeadline    Reason = "deadline"
	ReasonBudget      Reason = "budget"
)

// Decision is what to do after an attempt.
type Decision struct {
	Retry bool
	// After is how long to wait before the next attempt.
	After time.Duration
	// Final is the outcome of the request if no further attempt is made, either
	// because Retry is false or because the caller has left in the meantime. It
	// is unknown if any attempt may have run, and is to be returned without
	// waiting for After.
	Final  outcome.Outcome
	Reason Reason
}

// Attempts tracks the attempts of one request. It is not safe for concurrent
// use.
type Attempts struct {
	policy Policy
	req    Request
	made   int
	worst  outcome.Outcome
}

// NewAttempts returns the state of a request before its first attempt.
func NewAttempts(policy Policy, req Request) *Attempts {
	return &Attempts{policy: policy, req: req}
}

// Count returns the number of attempts that have ended.
func (a *Attempts) Count() int { return a.made }

// Record adds the outcome of an attempt and decides whether to retry. begun
// means that the caller has already been sent part of the answer and that the
// answer cannot be resumed. If Retry is true, the retry has already been
// charged to the budget, unless its reason is exempt.
func (a *Attempts) Record(o outcome.Outcome, begun bool, now time.Time, budget *Budget) Decision {
	a.made++
	if a.made == 1 {
		a.worst = o
	} else {
		a.worst = outcome.Combine(a.worst, o)
	}
	if reason := a.refuseRetry(o, begun); reason != "" {
		return a.final(reason)
	}
	after := a.backoff(o)
	if !a.fitsDeadline(now.Add(after)) {
		return a.final(ReasonDeadline)
	}
	if !budgetExempt[o.Reason] && !budget.TryRetry(now) {
		return a.final(ReasonBudget)
	}
	return Decision{Retry: true, After: after, Final: a.worst, Reason: ReasonRetry}
}

// refuseRetry returns why the request must not be retried, or "" if it may be.
func (a *Attempts) refuseRetry(o outcome.Outcome, begun bool) Reason {
	switch {
	case o.Kind == outcome.Completed:
		return ReasonCompleted
	case o.Kind == outcome.Unknown && (!a.req.Idempotent || a.req.AtMostOnce):
		return ReasonMayHaveRun
	case begun:
		return ReasonAnswerBegun
	case finalReasons[o.Reason]:
		return ReasonFinal
	case a.made >= a.policy.MaxAttempts:
		return ReasonAttempts
	default:
		return ""
	}
}

func (a *Attempts) final(reason Reason) Decision { return Decision{Final: a.worst, Reason: reason} }

func (a *Attempts) fitsDeadline(start time.Time) bool {
	if a.req.Deadline.IsZero() {
		return true
	}
	return !start.Add(a.policy.MinAttempt).After(a.req.Deadline)
}

// backoff returns a wait between half and all of the exponential backoff. It
// is zero for the reasons in budgetExempt: they apply to one backend server
// only, so the next one can be asked at once.
func (a *Attempts) backoff(o outcome.Outcome) time.Duration {
	if budgetExempt[o.Reason] {
		return 0
	}
	wait := a.policy.MaxBackoff
	if shift := a.made - 1; shift < 30 {
		wait = min(a.policy.BaseBackoff<<shift, a.policy.MaxBackoff)
	}
	return wait/2 + time.Duration(jitter(a.req.Seed, a.made)*float64(wait/2))
}

// budgetExempt holds the reasons whose retries are not charged to the budget:
// refusals that cost the backend server nothing and do not indicate overload,
// only that the entry's view was slightly out of date. MaxAttempts alone
// bounds them, so that a rolling update or a drain under full load does not
// use up the budget.
var budgetExempt = map[outcome.Reason]bool{
	outcome.Leaving:        true,
	outcome.VersionNotLive: true,
}

// finalReasons holds the reasons for which another attempt would not help.
var finalReasons = map[outcome.Reason]bool{
	outcome.InvalidRequest:           true,
	outcome.Unauthorized:             true,
	outcome.NotFound:                 true,
	outcome.BodyTooLarge:             true,
	outcome.MissingIdempotencyKey:    true,
	outcome.IdempotencyKeyReused:     true,
	outcome.IdempotencyKeyInProgress: true,
	outcome.ClaimUnknown:             true,
	outcome.ClaimsFull:               true,
	outcome.RateLimited:              true,
	outcome.TokensLimited:            true,
	outcome.Cancelled:                true,
	outcome.DeadlineExceeded:         true,
	outcome.NoBackend:                true,
	outcome.NoQuorum:                 true,
}

// jitter returns a number in [0, 1) that depends only on the seed and the
// attempt (SplitMix64).
func jitter(seed uint64, attempt int) float64 {
	z := seed + uint64(attempt)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return float64(z>>11) / (1 << 53)
}
