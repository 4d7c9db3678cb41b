package consensus

import (
	"errors"
	"fmt"
)

// ServerID identifies a server together with its disk. A server whose disk was
// wiped or replaced has another incarnation, and so another identity: it is not
// bound by votes and acknowledgements of the old one, and its own never count
// as those of the old one.
type ServerID struct {
	Name        string
	Incarnation uint64
}

// String returns name/incarnation, the incarnation in hexadecimal.
func (id ServerID) String() string {
	return fmt.Sprintf("%s/%016x", id.Name, id.Incarnation)
}

// IsZero reports whether id is the zero value, which stands for no server.
func (id ServerID) IsZero() bool { return id == ServerID{} }

// EntryKind is the type of data in a log entry.
type EntryKind uint32

// The kinds of log entries.
const (
	EntryCommand    EntryKind = 0
	EntryMembership EntryKind = 1
	EntryNoOp       EntryKind = 2
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// BootstrapIndex and BootstrapTerm are the index and term of the bootstrap
// snapshot, which has the initial membership and no data.
const (
	BootstrapIndex = 1
	BootstrapTerm  = 1
)

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	CurrentTerm uint64
	VotedFor    ServerID
}

// Kind is the kind of a Message.
type Kind uint32

// The kinds of messages, with the fields each one uses besides From, To, Term.
const (
	// KindJoinRequest: a server that is not a member asks to join. Addr; Context is
	// the nonce of the last KindJoinNonce, zero at first; Index is 1 if forwarded;
	// Commit is the last index of the sender's log, zero on a blank disk.
	// To.Incarnation is zero: the sender knows names only.
	KindJoinRequest Kind = iota + 1
	// KindJoinNonce answers a join request with a nonce (Context) that the next join request
	// must repeat, so that a join request delayed in the network is recognised. Addr.
	KindJoinNonce
	// KindBootstrap sends the bootstrap snapshot to an initial voter. Snapshot.
	KindBootstrap
	// KindBootstrapReply: the bootstrap snapshot is durable on the sender.
	KindBootstrapReply
	// KindPreVote and KindRequestVote: Index and LogTerm of the last entry.
	// Term is the term of the election. Context is TransferContext in a
	// leadership transfer.
	KindPreVote
	KindPreVoteReply // Reject
	KindRequestVote
	KindRequestVoteReply // Reject
	// KindAppendEntries: Index and LogTerm of the entry before Entries, Commit.
	KindAppendEntries
	// KindAppendEntriesReply: Index is the last entry that matches; with
	// Reject, Index is the rejected one and RejectHint the highest that may
	// match.
	KindAppendEntriesReply
	// KindHeartbeat: Commit; Context is the latest read round.
	KindHeartbeat
	KindHeartbeatReply // Context
	// KindInstallSnapshot: Snapshot; answered by an AppendEntriesReply.
	KindInstallSnapshot
	// KindReadIndex: Context is the sender's ID of the read.
	KindReadIndex
	// KindReadIndexReply: Context, Index, Reject.
	KindReadIndexReply
	// KindTimeoutNow makes the receiver start an election at once.
	KindTimeoutNow
)

// TransferContext marks vote requests of a leadership transfer: they are
// handled even by servers that are in contact with a leader.
const TransferContext = 1

// Message is one message between two servers.
type Message struct {
	Kind       Kind
	From       ServerID
	To         ServerID
	Term       uint64
	LogTerm    uint64
	Index      uint64
	Commit     uint64
	Reject     bool
	RejectHint uint64
	Context    uint64
	Entries    []Entry
	Snapshot   *Snapshot
	Addr       string
}

// Role is the Raft role of a server.
type Role uint8

// The roles of a server.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ReadState means that the read with this Context may be served once Index is
// applied. With Reject the read was not confirmed and must be retried.
type ReadState struct {
	Context uint64
	Index   uint64
	Reject  bool
}

// Ready is the work the caller must do before it calls Advance.
type Ready struct {
	// HardState, Snapshot and Entries must be made durable, in this order.
	// Entries replace all stored ones from their first index on.
	HardState *HardState
	Snapshot  *Snapshot
	Entries   []Entry
	// Early messages depend on nothing above and may be sent at once.
	Early []Message
	// Messages may be sent only when all of the above is durable.
	Messages []Message
	// Committed entries must be applied in order, after Snapshot.
	Committed []Entry
	// ReadStates answer calls of ReadIndex on this server.
	ReadStates []ReadState
}

// Errors of the Propose functions. In all cases nothing was appended.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrTransferring  = errors.New("leadership transfer in progress")
	ErrChangePending = errors.New("another membership change is in progress")
	ErrNotReady      = errors.New("the leader has not committed an entry of its term yet")
	ErrNotCaughtUp   = errors.New("the learner has not caught up")
	ErrInvalidChange = errors.New("membership change must change at most one voter and keep at least one")
	ErrUnknownServer = errors.New("unknown server")
	ErrNoChange      = errors.New("membership change has no effect")
)
