// Package state is the replicated state machine of the control servers: the
// key space, the results of operations, the audit trail and the claims.
//
// State: one Machine per control server, owned by the goroutine that applies
// the log. Every decision depends only on the command and the state, so that all
// servers reach the same result; the time is the one that the leader wrote into
// the command.
//
// Messages: the commands of this file, each one entry of the log.
package state

import (
	"encoding/json"
	"fmt"
	"time"

	"lynxgate.dev/lynxgate/internal/claims"
	"lynxgate.dev/lynxgate/internal/inventory"
)

// formatVersion is the first byte of every encoded command.
const formatVersion = 1

// kind is the second byte of an encoded command.
type kind uint8

const (
	kindChange kind = iota + 1
	kindAnnounce
	kindDown
	kindAssign
	kindClaim
	kindSettle
	kindExpire
)

// Command is one entry of the log, as the leader proposes it.
type Command interface{ kind() kind }

// Change carries an operator's request. Result: inventory.ChangeResult.
type Change struct {
	Time    time.Time               `json:"time"`
	Limits  Limits                  `json:"limits"`
	Request inventory.ChangeRequest `json:"request"`
}

// Announce stores the records of members that announced themselves. Result:
// AnnounceResult.
type Announce struct {
	Time    time.Time          `json:"time"`
	Members []inventory.Member `json:"members"`
}

// AnnounceResult has one item per announced member, in the same order.
type AnnounceResult struct {
	Members []MemberResult
}

// MemberResult is the result of one announcement.
type MemberResult struct {
	// Superseded is true if a newer incarnation of the VM's agent is known; the
	// announcement was ignored.
	Superseded bool
	// Incarnation is the incarnation in force for the VM.
	Incarnation uint64
}

// Down marks members whose lease expired. Result: nil.
type Down struct {
	Time    time.Time `json:"time"`
	Members []Expired `json:"members"`
}

// Expired is a member and the incarnation whose lease expired. A member that has
// announced a newer incarnation in the meantime is left unchanged.
type Expired struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Forget removes the member's records instead of marking it down.
	Forget bool `json:"forget,omitempty"`
}

// Assign carries a plan. It is dropped if the key space is no longer at Base, the
// revision that the plan was computed from. Result: AssignResult.
type Assign struct {
	Time  time.Time                   `json:"time"`
	Base  uint64                      `json:"base"`
	Wants map[string][]inventory.Want `json:"wants"`
}

// AssignResult is the result of an Assign command.
type AssignResult struct {
	// Stale is true if the plan was dropped.
	Stale bool
	// Revision is the one in force after the command.
	Revision uint64
}

// Claim asks for an idempotency key. Result: claims.ClaimResult.
type Claim struct{ claims.Claim }

// Settle records the outcome of a claim. Result: claims.SettleResult.
type Settle struct{ claims.Settle }

// Expire marks claims past their deadline as unknown and drops claims past their
// window. Result: nil.
type Expire struct {
	Now claims.Millis `json:"now"`
}

func (Change) kind() kind   { return kindChange }
func (Announce) kind() kind { return kindAnnounce }
func (Down) kind() kind     { return kindDown }
func (Assign) kind() kind   { return kindAssign }
func (Claim) kind() kind    { return kindClaim }
func (Settle) kind() kind   { return kindSettle }
func (Expire) kind() kind   { return kindExpire }

// Encode encodes a command as a log entry.
func Encode(c Command) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command of kind %d: %w", c.kind(), err)
	}
	return append([]byte{formatVersion, byte(c.kind())}, body...), nil
}

// Decode decodes a log entry.
func Decode(data []byte) (Command, error) {
	if len(data) < 2 {
		return nil, fmt.Errorf("decode command: %d bytes, want at least 2", len(data))
	}
	if data[0] != formatVersion {
		return nil, fmt.Errorf("decode command: unknown format version %d", data[0])
	}
	switch k := kind(data[1]); k {
	case kindChange:
		return decodeAs[Change](data)
	case kindAnnounce:
		return decodeAs[Announce](data)
	case kindDown:
		return decodeAs[Down](data)
	case kindAssign:
		return decodeAs[Assign](data)
	case kindClaim:
		return decodeAs[Claim](data)
	case kindSettle:
		return decodeAs[Settle](data)
	case kindExpire:
		return decodeAs[Expire](data)
	default:
		return nil, fmt.Errorf("decode command: unknown kind %d", k)
	}
}

func decodeAs[C Command](data []byte) (Command, error) {
	var c C
	if err := json.Unmarshal(data[2:], &c); err != nil {
		return nil, fmt.Errorf("decode command of kind %d: %w", data[1], err)
	}
	return c, nil
}
