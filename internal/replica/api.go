package replica

import (
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// FSM is the state machine that the replicated log drives. The node never calls
// its methods concurrently.
type FSM interface {
	// Apply executes one committed command. It must be deterministic. The node
	// returns its result to the proposer.
	Apply(index uint64, data []byte) any
	// Snapshot returns the whole state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by one taken with Snapshot.
	Restore(snapshot []byte) error
}

// DatedFSM is an FSM that is told when each command was committed. The node calls ApplyCommitted in place of Apply.
type DatedFSM interface {
	FSM
	ApplyCommitted(index uint64, data []byte, c Commit) any
}

// Commit is what a server knows about the time at which a command was committed.
type Commit struct {
	// At is when this server committed the command or learned that it is committed. No other server has learned it from this one before.
	At time.Time
	// Deciders are the addresses of the other servers that may have committed it before At: its leader, or all that have led since it was
	// proposed. It is empty if only this server can have committed it.
	Deciders []string
}

// Member is one server of the cluster. Incarnation is the random number stored in
// its data folder; it is zero in settings, where only names are known.
type Member struct {
	Name        string
	Addr        string
	Incarnation uint64
	Learner     bool
}

// Config holds the settings of one node. Zero values mean the defaults below.
type Config struct {
	// Name and Addr (IP:port) of this server.
	Name string
	Addr string
	// Dir is the data folder of this server.
	Dir string
	// Peers are the names and addresses of the initial voters, the same list on
	// all of them. A server that joins later lists the servers it joins through.
	Peers []Member
	// TickInterval is the length of one tick of the consensus core.
	TickInterval time.Duration
	// ElectionTicks is the shortest election timeout; the longest is twice as long.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats of a leader.
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries int
	// JoinOnly prevents a server with an empty data folder from bootstrapping a cluster.
	JoinOnly bool
	// AutoAddServers lets the leader add servers that ask to join.
	AutoAddServers bool
	// RemoveLearnerAfter is the time after which the leader removes a learner that it receives
	// no messages from; 0 disables all automatic removals.
	RemoveLearnerAfter time.Duration
	// RemoveVoterAfter is the same time for a voter whose removal lowers the quorum, which
	// requires an even number of voters; 0 means RemoveLearnerAfter.
	RemoveVoterAfter time.Duration
	// LostDisks is the number of members that may lose their disks at once. The leader
	// keeps at least 2*LostDisks+1 voters, even if some of them are unreachable.
	LostDisks int
	// RetryWrites makes the node retry failed writes instead of stopping. It answers no
	// messages until a retry succeeds, and the other members elect a leader.
	RetryWrites bool
	Logger      zerolog.Logger
	// wrapStorage, if set, wraps the storage of the node; for tests.
	wrapStorage func(storage) storage
}

// Defaults of Config.
const (
	DefaultTickInterval    = 50 * time.Millisecond
	DefaultElectionTicks   = 20
	DefaultHeartbeatTicks  = 4
	DefaultSnapshotEntries = 10000
)

// Role is the role of a node in its cluster.
type Role string

// The roles of a node. A joining node has no state of the cluster yet.
const (
	RoleLeader    Role = "leader"
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLearner   Role = "learner"
	RoleJoining   Role = "joining"
)

// Status is a snapshot of a node.
type Status struct {
	Name        string
	Incarnation uint64
	Role        Role
	Term        uint64
	// LeaderName and LeaderAddr are empty while no leader is known.
	LeaderName string
	LeaderAddr string
	Commit     uint64
	Applied    uint64
	Members    []Member
	// LastQuorumContact is the last time at which a majority of the voters was
	// known to be reachable; zero if never since the node started. It is only a
	// hint, since messages may be delayed; ReadIndex confirms a quorum.
	LastQuorumContact time.Time
}

// NotLeaderError rejects a call that only the leader can serve. Nothing was
// accepted. Leader is the address of the leader, empty if not known.
type NotLeaderError struct {
	Leader string
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; the leader is not known"
	}
	return "not the leader; the leader is at " + e.Leader
}

// Errors of a node, matched with errors.Is.
var (
	// ErrNoQuorum rejects a call because no majority is reachable. Nothing was accepted.
	ErrNoQuorum = errors.New("no quorum in reach")
	// ErrResultUnknown means that a proposal may or may not be committed.
	ErrResultUnknown = errors.New("result of the proposal is unknown")
	// ErrStopped rejects a call on a stopped node.
	ErrStopped = errors.New("node is stopped")
	// ErrUnknownServer rejects a membership change for a server that is not a
	// member and has not asked to join.
	ErrUnknownServer = errors.New("server is no member and has not asked to join")
	// ErrChangePending rejects a membership change while another is in progress.
	ErrChangePending = errors.New("another membership change is in progress")
)
