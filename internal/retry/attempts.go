package retry

import (
	"time"

	"lynxgate.dev/lynxgate/internal/outcome"
)

// Policy bounds the retries of one request.
type Policy struct {
	// MaxAttempts includes the first one.
	MaxAttempts int
	// BaseBackoff is the longest wait before the second attempt; it doubles
	// with every further one up to MaxBackoff.
	BaseBackoff, MaxBackoff time.Duration
	// MinAttempt is the least time an attempt needs to be worth starting.
	MinAttempt time.Duration
}

// DefaultPolicy suits requests that take from milliseconds to minutes.
var DefaultPolicy = Policy{
	MaxAttempts: 3,
	BaseBackoff: 50 * time.Millisecond,
	MaxBackoff:  time.Second,
	MinAttempt:  20 * time.Millisecond,
}

// Request is what the policy must know of a request.
type Request struct {
	// Seed of the jitter, for example a hash of the request's id.
	Seed uint64
	// Idempotent requests may be repeated although they may have run.
	Idempotent bool
	// AtMostOnce requests are never repeated once they may have run, even if
	// they are declared idempotent as well.
	AtMostOnce bool
	// Deadline of the caller; zero means none.
	Deadline time.Time
}

// Why names the reason of a decision, for metric labels.
type Why string

// The reasons of a decision.
const (
	WhyRetry       Why = "retry"
	WhyCompleted   Why = "completed"
	WhyFinal       Why = "final_reason"
	WhyMayHaveRun  Why = "may_have_run"
	WhyAnswerBegun Why = "answer_begun"
	WhyAttempts    Why = "attempts"
	WhyDeadline    Why = "deadline"
	WhyBudget      Why = "budget"
)

// Decision says what to do after an attempt.
type Decision struct {
	Retry bool
	// After is how long to wait before the next attempt.
	After time.Duration
	// Final is the outcome for the caller when no further attempt is made,
	// either because Retry is false or because the caller left meanwhile. It
	// is unknown if any attempt may have run, and it is due at once.
	Final outcome.Outcome
	Why   Why
}

// Attempts follows the attempts at one request. It is not safe for concurrent
// use.
type Attempts struct {
	policy Policy
	req    Request
	made   int
	sofar  outcome.Outcome
}

// NewAttempts returns the state of a request that has not been tried.
func NewAttempts(policy Policy, req Request) *Attempts {
	return &Attempts{policy: policy, req: req}
}

// Made returns the number of attempts that have ended.
func (a *Attempts) Made() int { return a.made }

// Ended tells the outcome of an attempt and decides on the next step. begun
// says that the caller has been sent part of the answer already and that the
// answer cannot be resumed. A retry has been taken from the budget when
// Retry is true.
func (a *Attempts) Ended(o outcome.Outcome, begun bool, now time.Time, budget *Budget) Decision {
	a.made++
	if a.made == 1 {
		a.sofar = o
	} else {
		a.sofar = outcome.Worse(a.sofar, o)
	}
	if why := a.forbidden(o, begun); why != "" {
		return a.final(why)
	}
	after := a.backoff(o)
	if !a.inTime(now.Add(after)) {
		return a.final(WhyDeadline)
	}
	if !freeOfCharge[o.Reason] && !budget.TryRetry(now) {
		return a.final(WhyBudget)
	}
	return Decision{Retry: true, After: after, Final: a.sofar, Why: WhyRetry}
}

// forbidden returns why this request must not be tried again, or "".
func (a *Attempts) forbidden(o outcome.Outcome, begun bool) Why {
	switch {
	case o.Kind == outcome.Completed:
		return WhyCompleted
	case o.Kind == outcome.Unknown && (!a.req.Idempotent || a.req.AtMostOnce):
		return WhyMayHaveRun
	case begun:
		return WhyAnswerBegun
	case final[o.Reason]:
		return WhyFinal
	case a.made >= a.policy.MaxAttempts:
		return WhyAttempts
	default:
		return ""
	}
}

func (a *Attempts) final(why Why) Decision { return Decision{Final: a.sofar, Why: why} }

func (a *Attempts) inTime(start time.Time) bool {
	if a.req.Deadline.IsZero() {
		return true
	}
	return !start.Add(a.policy.MinAttempt).After(a.req.Deadline)
}

// backoff returns between half and all of the exponential wait. A server that
// refused for reasons of its own says nothing about the others, so the next
// one is asked at once.
func (a *Attempts) backoff(o outcome.Outcome) time.Duration {
	if freeOfCharge[o.Reason] {
		return 0
	}
	wait := a.policy.MaxBackoff
	if shift := a.made - 1; shift < 30 {
		wait = min(a.policy.BaseBackoff<<shift, a.policy.MaxBackoff)
	}
	return wait/2 + time.Duration(jitter(a.req.Seed, a.made)*float64(wait/2))
}

// freeOfCharge holds the reasons of refusals that cost the backend server
// nothing and are no sign of overload: the entry's view was a little old.
// They are bounded by MaxAttempts alone, so that a roll or a drain under full
// load does not use up the budget.
var freeOfCharge = map[outcome.Reason]bool{
	outcome.Leaving:        true,
	outcome.VersionNotLive: true,
}

// final holds the reasons that another attempt cannot mend.
var final = map[outcome.Reason]bool{
	outcome.InvalidRequest:   true,
	outcome.Unauthorized:     true,
	outcome.NotFound:         true,
	outcome.BodyTooLarge:     true,
	outcome.MissingKey:       true,
	outcome.KeyReused:        true,
	outcome.KeyInProgress:    true,
	outcome.ClaimUnknown:     true,
	outcome.ClaimsFull:       true,
	outcome.RateLimited:      true,
	outcome.TokensLimited:    true,
	outcome.Cancelled:        true,
	outcome.DeadlineExceeded: true,
	outcome.NoBackend:        true,
	outcome.NoQuorum:         true,
}

// jitter returns a number in [0, 1) that depends on the seed and the attempt
// only (SplitMix64).
func jitter(seed uint64, attempt int) float64 {
	z := seed + uint64(attempt)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return float64(z>>11) / (1 << 53)
}
