package consensus

import (
	"errors"
	"fmt"
)

// ServerID names a server together with the disk it runs on. A server whose
// disk was wiped or swapped comes back with another incarnation, and so with
// another identity: what the old one promised does not bind it, and what it
// says never counts for the old one.
type ServerID struct {
	Name        string
	Incarnation uint64
}

// String returns name/incarnation, the incarnation in hexadecimal.
func (id ServerID) String() string {
	return fmt.Sprintf("%s/%016x", id.Name, id.Incarnation)
}

// IsZero tells whether id names no server.
func (id ServerID) IsZero() bool { return id == ServerID{} }

// EntryKind tells what a log entry carries.
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

// Snapshot stands for all entries up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// FoundingIndex and FoundingTerm are those of the first snapshot of a
// cluster: it holds the initial membership and no data.
const (
	FoundingIndex = 1
	FoundingTerm  = 1
)

// HardState must be durable before a message that depends on it is sent.
type HardState struct {
	CurrentTerm uint64
	VotedFor    ServerID
}

// Kind is the kind of a Message.
type Kind uint32

// The kinds of messages, with the fields each one uses besides From, To, Term.
const (
	// KindHello: a server that is no member asks to join. Addr; Context
	// repeats the nonce of the last welcome, zero at first; Index is 1 when
	// forwarded; Commit is the last index held, zero on a blank disk.
	// To.Incarnation is zero: the sender knows names only.
	KindHello Kind = iota + 1
	// KindWelcome answers a hello with a nonce (Context) to be repeated, so
	// that a hello delayed in the network is told from a fresh one. Addr.
	KindWelcome
	// KindFound hands the founding snapshot to an initial voter. Snapshot.
	KindFound
	// KindFoundReply: the founding snapshot is durable here.
	KindFoundReply
	// KindPreVote and KindRequestVote: Index and LogTerm of the last entry.
	// Term is the term of the election. Context is TransferContext when a
	// leader has handed over.
	KindPreVote
	KindPreVoteReply // Reject
	KindRequestVote
	KindRequestVoteReply // Reject
	// KindAppendEntries: Index and LogTerm of the entry before Entries, Commit.
	KindAppendEntries
	// KindAppendEntriesReply: Index is the last entry that matches; with
	// Reject, Index is the refused one and RejectHint a guess to go on from.
	KindAppendEntriesReply
	// KindHeartbeat: Commit; Context is the newest read round.
	KindHeartbeat
	KindHeartbeatReply // Context
	// KindInstallSnapshot: Snapshot; answered by an AppendEntriesReply.
	KindInstallSnapshot
	// KindReadIndex: Context is the asker's own number for the read.
	KindReadIndex
	// KindReadIndexReply: Context, Index, Reject.
	KindReadIndexReply
	// KindTimeoutNow tells the receiver to start an election at once.
	KindTimeoutNow
)

// TransferContext marks the votes of an election that the leader asked for:
// they are granted although the leader is still heard.
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

// Role is the part a server plays.
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

// ReadState says that the read with this Context may be served once Index is
// applied. With Reject the read was not confirmed and must be asked again.
type ReadState struct {
	Context uint64
	Index   uint64
	Reject  bool
}

// Ready is what the caller has to carry out before it calls Advance.
type Ready struct {
	// HardState, Snapshot and Entries are to be made durable, in this order.
	// Entries replace all earlier ones from their first index on.
	HardState *HardState
	Snapshot  *Snapshot
	Entries   []Entry
	// Early messages depend on nothing above and may be sent at once.
	Early []Message
	// Messages may be sent only when all of the above is durable.
	Messages []Message
	// Committed entries are to be applied in order, after Snapshot.
	Committed []Entry
	// ReadStates answer reads asked here.
	ReadStates []ReadState
}

// Errors of the propose functions. Nothing was accepted.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrTransferring  = errors.New("leadership is being handed over")
	ErrChangePending = errors.New("another membership change is in progress")
	ErrNotReady      = errors.New("the leader has not committed in its term yet")
	ErrNotCaughtUp   = errors.New("the learner is not caught up")
	ErrBadChange     = errors.New("membership change moves more than one voter")
	ErrUnknownServer = errors.New("server is not known")
	ErrNoChange      = errors.New("membership is so already")
)
