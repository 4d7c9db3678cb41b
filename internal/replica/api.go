package replica

import (
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// FSM is the state machine that the replicated log drives. All three methods
// run on one goroutine of the node, never at the same time.
type FSM interface {
	// Apply executes one committed command. It must be deterministic; its
	// result is handed to the proposer.
	Apply(index uint64, data []byte) any
	// Snapshot returns the whole state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by one taken with Snapshot.
	Restore(snapshot []byte) error
}

// Member is one server of the cluster. The incarnation is the random number
// kept on its disk; it is zero in settings, where only names are known.
type Member struct {
	Name        string
	Addr        string
	Incarnation uint64
	Learner     bool
}

// Config holds the settings of one node. Zero values take the defaults below.
type Config struct {
	// Name and Addr (IP:port) of this server.
	Name string
	Addr string
	// Dir is the data folder of this server.
	Dir string
	// Peers are the initial voters by name and address, the same list on
	// all of them. A server that joins later lists the servers to ask.
	Peers []Member
	// TickInterval is the length of one tick of the consensus core.
	TickInterval time.Duration
	// ElectionTicks is the shortest election timeout; the longest is twice it.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats of a leader.
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries int
	// JoinOnly keeps a server with an empty data folder from founding a cluster.
	JoinOnly bool
	// AdmitNewcomers lets the leader add servers that ask to join.
	AdmitNewcomers bool
	// RetireAfter is after how long without a word the leader removes a learner; 0 is
	// that nobody is ever removed.
	RetireAfter time.Duration
	// SpareAfter is the same of a voter that an even number of voters can spare; 0 is
	// RetireAfter.
	SpareAfter time.Duration
	// LostDisks is how many members may lose their disks at once. The leader keeps
	// more than twice as many voters, though some are not heard.
	LostDisks int
	// RetryDisk keeps the node waiting for a disk that refuses writes, where it
	// else stops: it answers nobody meanwhile, and the others elect a leader.
	RetryDisk bool
	Logger    zerolog.Logger
	// wrapStorage, if set, returns what the node uses in place of its storage.
	wrapStorage func(storage) storage
}

// Defaults of Config.
const (
	DefaultTickInterval    = 50 * time.Millisecond
	DefaultElectionTicks   = 20
	DefaultHeartbeatTicks  = 4
	DefaultSnapshotEntries = 10000
)

// Role is the part a node plays in its cluster.
type Role string

// The roles of a node. A joining node holds no state of the cluster yet.
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
	// LastQuorumContact is when a majority of the voters was last known to
	// be in reach; zero if never since the start. It is a hint: a message
	// may have waited on its way. ReadIndex confirms.
	LastQuorumContact time.Time
}

// NotLeaderError refuses a call that only the leader can serve. Nothing was
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
	// ErrNoQuorum refuses a call since no majority is in reach. Nothing was accepted.
	ErrNoQuorum = errors.New("no quorum in reach")
	// ErrResultUnknown says that a proposal may or may not be accepted.
	ErrResultUnknown = errors.New("result of the proposal is unknown")
	// ErrStopped refuses a call on a stopped node.
	ErrStopped = errors.New("node is stopped")
	// ErrUnknownServer refuses a membership change that names a server
	// which is no member and has not asked to join.
	ErrUnknownServer = errors.New("server is no member and has not asked to join")
	// ErrChangePending refuses a membership change while another is in progress.
	ErrChangePending = errors.New("another membership change is in progress")
)
