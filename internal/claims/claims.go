// Package claims keeps the at-most-once claims of must-not-repeat requests.
//
// A claim reserves (organisation, idempotency key) before a request is
// dispatched. The table is embedded in the replicated state machine of the
// control servers: every method is deterministic, and time arrives in the
// events. The table has no settings of its own either; the limits travel in
// the events, so that servers with different settings files cannot diverge.
//
// A key moves through these states:
//
//	free      -> granted     Claim
//	granted   -> completed   Settle(Completed): the stored answer is replayed
//	granted   -> unknown     Settle(Unknown), or no Settle before the timeout
//	granted   -> released    Settle(NotRun): the key may be claimed again
//	unknown   -> completed   a late Settle(Completed) of the same grant
//	completed, unknown -> free   after the window
//
// Nothing leads from unknown to a new grant within the window. Now is a count
// of milliseconds by the leader's clock. Only the differences between events
// count, and a difference counts as a minute at most: if the clocks of leaders
// disagree, claims last longer, or up to a minute less for each change of leader.
package claims

import "time"

// Millis is a point in time in milliseconds on the clock of the replicated log.
type Millis int64

// Add returns the time d later, rounded down to a millisecond.
func (m Millis) Add(d time.Duration) Millis { return m + Millis(d.Milliseconds()) }

// Sub returns the time between an earlier o and m.
func (m Millis) Sub(o Millis) time.Duration { return time.Duration(m-o) * time.Millisecond }

// Limits bound the table. The proposer chooses them and writes them to the log
// with the event.
type Limits struct {
	// Window is how long a completed or unknown claim is remembered.
	Window time.Duration `json:"window"`
	// MaxTimeout caps the time a grant may stay unsettled.
	MaxTimeout time.Duration `json:"max_timeout"`
	// MaxClaims bounds all remembered claims; when it is reached new keys are
	// refused, since forgetting a claim early could let a request run twice.
	MaxClaims int `json:"max_claims"`
	// MaxPerOrganisation bounds the claims of one organisation.
	MaxPerOrganisation int `json:"max_per_organisation"`
	// MaxAnswerBytes bounds one stored answer (body and content type).
	MaxAnswerBytes int `json:"max_answer_bytes"`
	// MaxAnswerTotal bounds all stored answers together, in bytes.
	MaxAnswerTotal int `json:"max_answer_total"`
}

// DefaultLimits fit a control server with a memory budget of 32 MB;
// docs/design/requests.md has the bytes per claim that they are derived from.
var DefaultLimits = Limits{
	Window:             15 * time.Minute,
	MaxTimeout:         5 * time.Minute,
	MaxClaims:          60_000,
	MaxPerOrganisation: 20_000,
	MaxAnswerBytes:     4 << 10,
	MaxAnswerTotal:     8 << 20,
}

// Verdict is the answer to a claim. The values up to BodyMismatch are those of
// rpc.ClaimVerdict.
type Verdict uint8

// The verdicts on a claim.
const (
	// Granted allows exactly this attempt to dispatch.
	Granted Verdict = iota
	// InProgress means another attempt holds an unsettled grant of the key.
	InProgress
	// Completed means the request ran; its answer is attached if it was kept.
	Completed
	// Unknown means the request may have run; it is never dispatched again.
	Unknown
	// BodyMismatch means the key was used before with another body.
	BodyMismatch
	// Full means the table has no capacity for a new key; nothing was recorded.
	Full
)

// String returns the verdict's name, as in logs and metric labels.
func (v Verdict) String() string {
	names := [...]string{"granted", "in_progress", "completed", "unknown", "body_mismatch", "full"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Claim is the event that requests a grant of a key.
type Claim struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	// BodyDigest identifies the request's content: method, path and body.
	BodyDigest []byte `json:"body_digest"`
	// Attempt is unique to one arrival of the request at one entry. A claim
	// that is resent with the same attempt, because its answer was lost, gets
	// the same grant again. An empty attempt is never granted again.
	Attempt string `json:"attempt"`
	// Timeout is the time after which an unsettled grant becomes unknown. The
	// entry must not dispatch once it has passed since the claim was sent.
	Timeout time.Duration `json:"timeout"`
	Now     Millis        `json:"now"`
	Limits  Limits        `json:"limits"`
}

// Answer is a stored answer.
type Answer struct {
	Status      uint32 `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

func (a *Answer) size() int { return len(a.Body) + len(a.ContentType) }

// ClaimResult answers a Claim.
type ClaimResult struct {
	Verdict Verdict
	// Token identifies the grant when it is settled; only set with Granted.
	Token uint64
	// Answer is nil with Completed when it was too large to be kept.
	Answer *Answer
	// RetryAfter is when a client retry makes sense; 0 means never.
	RetryAfter time.Duration
}

// Outcome is the outcome of a granted claim, with the values of
// rpc.SettleOutcome.
type Outcome uint8

// The outcomes of a granted claim.
const (
	SettleCompleted Outcome = iota
	SettleNotRun
	SettleUnknown
)

// Settle is the event that records the outcome of a grant.
type Settle struct {
	Organisation string  `json:"organisation"`
	Key          string  `json:"key"`
	Token        uint64  `json:"token"`
	Outcome      Outcome `json:"outcome"`
	// Answer is set with SettleCompleted.
	Answer *Answer `json:"answer,omitempty"`
	Now    Millis  `json:"now"`
	Limits Limits  `json:"limits"`
}

// SettleResult is the result of a Settle.
type SettleResult uint8

// The results of a Settle.
const (
	// Recorded means the outcome was recorded.
	Recorded SettleResult = iota
	// Repeated means this grant was settled before with the same outcome.
	Repeated
	// Ignored means the token is not that of the key's grant, or the grant
	// already has an outcome that this one must not change.
	Ignored
)

// Stats describes the table's size.
type Stats struct {
	Claims, Granted, Completed, Unknown, Released int
	// AnswerBytes is the size of all stored answers.
	AnswerBytes int
}
