// Package reservation decides which requests may use the slots of one engine. The agent beside the
// engine keeps the Ledger, since it knows the engine's state without delay: entries that
// choose by reports some hundred ms old don't see what others have sent meanwhile, and under
// overload fill an engine's queue beyond what can still be in time.
//
// The load that it answers: a sustained demand of 1.0 to 2.0 times the capacity from many entries,
// engines of different speed, and engines that come and go while they load new weights.
//
// State: the reservations of one engine, soft. Messages: none; time is an argument, and a Ledger
// is not safe for concurrent use.
package reservation

import (
	"time"
)

// Request is a request for which an entry asks for a slot. Durations count from the moment at which it
// is asked.
type Request struct {
	// ID identifies the attempt; asking again with the same id replaces the reservation.
	ID string
	// Entry is the name of the entry, for logs.
	Entry string
	// Rank and Weight are those of package urgency; a Weight of 0 counts as 1.
	Rank   int
	Weight float64
	// Retry: the caller was refused before, so that the request is late already. Resumed: it is the rest of a stream
	// that has begun.
	Retry, Resumed bool
	// Prompt and Answer are sizes in tokens. Answer is the length that the answer will hardly exceed; 0 is
	// not known.
	Prompt, Answer int
	// Due is the time until the first event is due; 0 if it is late already, or there is no objective.
	Due time.Duration
	// Budget is the longest accepted wait at an engine of pace 1. It is the same for prompts of all sizes:
	// under overload waits are as long as the longest that any request accepts, so that with a
	// budget of their own large prompts would never be admitted.
	Budget time.Duration
	// Gap is the longest pause between events that the caller tolerates; 0 if none is stated.
	Gap time.Duration
	// Left is the time until the request's deadline.
	Left time.Duration
	// Version is the required version of the weights; 0 is any.
	Version uint64
	// AcceptLate accepts a free slot even if the request will be late there.
	AcceptLate bool
}

// Reason is why a request was refused.
type Reason uint8

// The reasons.
const (
	// ReasonNone: it was granted.
	ReasonNone Reason = iota
	// ReasonFull: the wait would be too long.
	ReasonFull
	// ReasonLoading: the engine loads weights, or is about to.
	ReasonLoading
	// ReasonSlow: a slot is free, but the request would be late here, or would hold up others.
	ReasonSlow
	// ReasonRank: all slots are taken, and more urgent requests have the next ones.
	ReasonRank
	// ReasonRetry: so few slots are free that first attempts have them.
	ReasonRetry
	// ReasonVersion: the engine holds another version of the weights.
	ReasonVersion
	// ReasonUnknown: the engine's state is not known, or another engine was meant.
	ReasonUnknown
	// ReasonSilent: the engine did not answer its agent.
	ReasonSilent
)

var reasonNames = [...]string{"", "full", "loading", "slow", "rank", "retry", "version", "unknown", "silent"}

// String returns the reason's name on the wire and in logs.
func (r Reason) String() string { return reasonNames[r] }

// ParseReason returns the reason with this name; ReasonUnknown if there is none.
func ParseReason(name string) Reason {
	for i, n := range reasonNames {
		if n == name {
			return Reason(i)
		}
	}
	return ReasonUnknown
}

// Dropped is a reservation that ended without its release.
type Dropped struct {
	Entry string
	// Age is the time since it was granted.
	Age time.Duration
	// Cause is why it ended.
	Cause DropCause
}

// DropCause is why a reservation ended without its release.
type DropCause string

// The causes.
const (
	// DropNotCounted: the engine's reports did not count its request any more.
	DropNotCounted DropCause = "not-counted"
	// DropDeadline: it was open until after its deadline.
	DropDeadline DropCause = "deadline"
	// DropEngineRestarted: the engine was started again.
	DropEngineRestarted DropCause = "engine-restarted"
)

// Decision is the answer to a Request.
type Decision struct {
	Granted bool
	Reason  Reason
	// Wait is the predicted wait for a slot and for the prompts before this one; FirstEvent and End are
	// predicted from now on. All are 0 if nothing could be predicted.
	Wait, FirstEvent, End time.Duration
	// Again is, for a refusal, when a request like this is predicted to be granted; 0 if that is not known.
	Again time.Duration
	Load  Load
}

// Result returns the name of a decision in metrics and logs: granted, or the reason of the refusal.
func (d Decision) Result() string {
	if d.Granted {
		return "granted"
	}
	return d.Reason.String()
}

// Load is the state of an engine at the time of a decision.
type Load struct {
	Running, Waiting int
	// Reserved requests have not arrived yet, including the one that was just granted.
	Reserved int
	// Open counts the reservations that were not released, PastLease those of them past their lease. They are not sent to entries.
	Open, PastLease int
	// Pace is how many times as long as usual work takes, 1 if the engine does not report it.
	Pace float64
	// Age is that of the engine's report.
	Age time.Duration
	// Version is that of the weights; Loading: the engine accepts no requests.
	Version uint64
	Loading bool
	// StartUnixMs is the engine's start, 0 if not known.
	StartUnixMs int64
}

// Report is an engine's own report of its state.
type Report struct {
	// StartUnixMs identifies the incarnation of the engine, 0 if not known.
	StartUnixMs int64
	// Running and Waiting count its requests.
	Running, Waiting int
	// Pace is how many times as long as usual its work takes; 0 if not reported.
	Pace float64
	// Busy: it loads weights.
	Busy bool
	// Version is the version of weights that it holds completely, 0 if none.
	Version uint64
}
