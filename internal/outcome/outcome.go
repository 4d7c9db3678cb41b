// Package outcome defines how a request ended: completed, not run, or
// unknown. Outcomes are values, not errors; the package also maps them to the
// HTTP answer that a caller receives. It keeps no state.
package outcome

import (
	"fmt"
	"time"
)

// Kind is how a request ended.
type Kind uint8

// The kinds of outcome. The zero value is Unknown, so that an unset outcome is
// not mistaken for a certain one.
const (
	// Unknown means the request may have run.
	Unknown Kind = iota
	// NotRun means it is certain that the request did not run.
	NotRun
	// Completed means the whole answer was received.
	Completed
)

// String returns the kind as used in error bodies and metric labels.
func (k Kind) String() string {
	switch k {
	case NotRun:
		return "not_run"
	case Completed:
		return "completed"
	default:
		return "unknown"
	}
}

// Reason says why a request did not complete.
type Reason string

// The reasons; they appear as "type" in error bodies and as metric labels.
const (
	// Refused before dispatch because of the request or the caller's limits.
	InvalidRequest           Reason = "invalid_request"
	Unauthorized             Reason = "unauthorized"
	NotFound                 Reason = "not_found"
	BodyTooLarge             Reason = "body_too_large"
	HeaderTooLarge           Reason = "header_too_large"
	MissingIdempotencyKey    Reason = "missing_idempotency_key"
	IdempotencyKeyReused     Reason = "idempotency_key_reused"
	IdempotencyKeyInProgress Reason = "idempotency_key_in_progress"
	RateLimited              Reason = "rate_limited"
	ConcurrencyLimited       Reason = "concurrency_limited"
	TokensLimited            Reason = "token_budget_exhausted"
	// Refused or given up by the system.
	Overloaded       Reason = "overloaded"
	NoBackend        Reason = "no_backend_server"
	NoConfiguration  Reason = "no_configuration"
	Leaving          Reason = "leaving"
	VersionNotLive   Reason = "version_not_live"
	NoQuorum         Reason = "no_quorum"
	ClaimsFull       Reason = "claims_full"
	DeadlineExceeded Reason = "deadline_exceeded"
	Cancelled        Reason = "cancelled"
	BackendFailed    Reason = "backend_failed"
	BackendRefused   Reason = "backend_refused"
	// Failed although the request may have run.
	AnswerCut       Reason = "answer_cut"
	AnswerCorrupt   Reason = "answer_corrupt"
	ConnectionLost  Reason = "connection_lost"
	ClaimUnknown    Reason = "idempotency_key_outcome_unknown"
	AnswerNotStored Reason = "answer_not_stored"
)

// Outcome is the result of one request or of one attempt at it.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// Detail is the human-readable message of the error body. It must not
	// contain data of another organisation.
	Detail string
	// RetryAfter is the suggested delay before a client retry; 0 suggests none.
	RetryAfter time.Duration
}

// NewCompleted returns the outcome of a request whose whole answer was received.
func NewCompleted() Outcome { return Outcome{Kind: Completed} }

// NewNotRun returns the outcome of a request that certainly did not run.
func NewNotRun(reason Reason, detail string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// NewUnknown returns the outcome of a request that may have run.
func NewUnknown(reason Reason, detail string) Outcome {
	return Outcome{Kind: Unknown, Reason: reason, Detail: detail}
}

// Combine returns the outcome of two attempts at one request: completed if
// either is, otherwise unknown if either may have run.
func Combine(a, b Outcome) Outcome {
	if a.Kind == Completed || b.Kind == Completed {
		return NewCompleted()
	}
	if a.Kind == Unknown {
		return a
	}
	return b
}

// String formats the outcome for logs.
func (o Outcome) String() string {
	if o.Kind == Completed {
		return o.Kind.String()
	}
	return fmt.Sprintf("%s: %s: %s", o.Kind, o.Reason, o.Detail)
}
