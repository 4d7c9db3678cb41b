package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Config holds the settings of a Core. All fields are required except Peers,
// which only a server that may bootstrap or join a cluster needs.
type Config struct {
	ID   ServerID
	Addr string
	// Peers are the names of the initial voters, the same list on all of
	// them, or the servers to contact on a server that joins later.
	Peers []string
	// ElectionTicks is the minimum election timeout; the maximum is twice it.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats.
	HeartbeatTicks int
	// KeepEntries is the number of entries before a snapshot that are kept, so
	// that a follower slightly behind needs no snapshot.
	KeepEntries uint64
	// JoinOnly lets a blank server only join a cluster, not bootstrap one.
	JoinOnly bool
	// AutoAddServers makes a leader add any server that asks to join; without
	// it only operators add servers.
	AutoAddServers bool
	// RemoveLearnerTicks is the time without contact after which a leader removes a
	// learner; 0 disables the removal of members.
	RemoveLearnerTicks int
	// RemoveVoterTicks is the time without contact after which a leader removes a voter if the
	// number of voters is even and above MinVoters; 0 means RemoveLearnerTicks.
	RemoveVoterTicks int
	// MinVoters is the number of voters up to which none is removed for lack of contact:
	// twice the number of tolerated disk losses plus one.
	MinVoters int
	// Rand draws election timeouts and nonces.
	Rand *rand.Rand
}

// Core is the state of one server. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	id   ServerID
	rand *rand.Rand
	log  *raftLog

	hard      HardState
	savedHard HardState

	role   Role
	leader ServerID
	// now counts ticks since the start.
	now             uint64
	electionElapsed int
	electionTimeout int
	heartbeatTick   uint64
	// leaderContactTick is the tick of the last message from a leader, for QuorumAge.
	leaderContactTick uint64
	leaderContacted   bool

	votes      map[ServerID]bool
	transferee ServerID // target of a leadership transfer in progress
	peers      map[ServerID]*progress
	reads      readQueue
	join       joinState

	early      []Message
	messages   []Message
	readStates []ReadState
	// newSnapshot was received and is not yet persisted.
	newSnapshot    *Snapshot
	readyLastIndex uint64 // last log index when the Ready in progress was returned
	inReady        bool
}

// Restored is the durable state a server starts with, zero on a blank disk.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// New returns a follower that starts from the durable state.
func New(cfg Config, restored Restored) *Core {
	c := &Core{
		cfg:       cfg,
		id:        cfg.ID,
		rand:      cfg.Rand,
		log:       newRaftLog(restored.Snapshot, restored.Entries),
		hard:      restored.HardState,
		savedHard: restored.HardState,
	}
	c.join.init(c)
	c.becomeFollower(c.hard.CurrentTerm, ServerID{})
	if !c.blank() {
		c.shortenFirstElectionTimeout()
	}
	return c
}

// shortenFirstElectionTimeout shortens the first election timeout of a server that starts
// with state: after a power loss of all servers there is no leader to wait for.
// If there is a leader, the pre-vote is not granted.
func (c *Core) shortenFirstElectionTimeout() {
	c.electionTimeout = 1 + c.cfg.ElectionTicks/4 + c.rand.IntN(c.cfg.ElectionTicks)/2
}

// Tick advances logical time by one step.
func (c *Core) Tick() {
	c.now++
	c.electionElapsed++
	c.tickJoin()
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout {
		c.electionElapsed = 0
		c.resetElectionTimeout()
		if c.mayCampaign() {
			c.campaignPreVote()
		}
	}
}

// Step handles one message from another server.
func (c *Core) Step(m Message) {
	if m.Kind == KindJoinRequest {
		c.handleJoinRequest(m)
		return
	}
	if m.To != c.id {
		return // addressed to another incarnation of this server
	}
	switch m.Kind {
	case KindJoinNonce:
		c.handleJoinNonce(m)
		return
	case KindBootstrap:
		c.handleFound(m)
		return
	case KindBootstrapReply:
		c.handleFoundReply(m)
		return
	case KindReadIndex:
		c.handleReadIndex(m)
		return
	case KindReadIndexReply:
		c.readStates = append(c.readStates, ReadState{Context: m.Context, Index: m.Index, Reject: m.Reject})
		return
	}
	if !c.checkTerm(m) {
		return
	}
	c.stepCurrentTerm(m)
}

// checkTerm compares the term of the message with the current one, adopts a
// newer term and reports whether the message is to be handled further.
func (c *Core) checkTerm(m Message) bool {
	isVote := m.Kind == KindPreVote || m.Kind == KindRequestVote
	if isVote && m.Context != TransferContext && c.leaderInContact() {
		return false // do not disrupt a working leader
	}
	switch {
	case m.Term > c.hard.CurrentTerm:
		if m.Kind == KindPreVote || (m.Kind == KindPreVoteReply && !m.Reject) {
			return true // a pre-vote's term is that of an election that has not begun
		}
		leader := ServerID{}
		if m.Kind == KindAppendEntries || m.Kind == KindHeartbeat || m.Kind == KindInstallSnapshot {
			leader = m.From
		}
		c.becomeFollower(m.Term, leader)
	case m.Term < c.hard.CurrentTerm:
		c.rejectOldTerm(m)
		return false
	}
	return true
}

// rejectOldTerm rejects a stale request; the reply carries the current term.
func (c *Core) rejectOldTerm(m Message) {
	switch m.Kind {
	case KindAppendEntries, KindHeartbeat, KindInstallSnapshot:
		c.send(Message{Kind: KindAppendEntriesReply, To: m.From, Reject: true, Index: m.Index})
	case KindPreVote:
		c.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
	}
}

// leaderInContact reports whether this server is the leader or was in contact
// with one within the minimum election timeout.
func (c *Core) leaderInContact() bool {
	return !c.leader.IsZero() && c.electionElapsed < c.cfg.ElectionTicks
}

func (c *Core) stepCurrentTerm(m Message) {
	switch m.Kind {
	case KindPreVote:
		c.handlePreVote(m)
	case KindRequestVote:
		c.handleRequestVote(m)
	case KindPreVoteReply, KindRequestVoteReply:
		c.handleVoteReply(m)
	case KindAppendEntries:
		c.recordLeaderContact(m)
		c.handleAppendEntries(m)
	case KindHeartbeat:
		c.recordLeaderContact(m)
		c.handleHeartbeat(m)
	case KindInstallSnapshot:
		c.recordLeaderContact(m)
		c.handleInstallSnapshot(m)
	case KindAppendEntriesReply:
		c.handleAppendEntriesReply(m)
	case KindHeartbeatReply:
		c.handleHeartbeatReply(m)
	case KindTimeoutNow:
		c.handleTimeoutNow()
	}
}

// send queues a message to be sent once all state before it is durable.
func (c *Core) send(m Message) {
	c.messages = append(c.messages, c.stamp(m))
}

// sendEarly queues a leader's message, which depends on nothing but its term.
func (c *Core) sendEarly(m Message) {
	c.early = append(c.early, c.stamp(m))
}

func (c *Core) stamp(m Message) Message {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hard.CurrentTerm
	}
	return m
}

// HasReady reports whether Ready has work for the caller.
func (c *Core) HasReady() bool {
	return c.hard != c.savedHard || c.newSnapshot != nil || c.log.stable < c.log.lastIndex() ||
		len(c.early) > 0 || len(c.messages) > 0 || len(c.readStates) > 0 ||
		c.log.applied < min(c.log.commit, c.log.lastIndex())
}

// Ready returns the pending work. Advance must be called before the next
// Ready; Step, Tick and the Propose functions must not be called in between.
func (c *Core) Ready() Ready {
	if c.inReady {
		panic("consensus: Ready called twice without Advance")
	}
	c.inReady = true
	rd := Ready{Early: c.early, Messages: c.messages, ReadStates: c.readStates}
	c.early, c.messages, c.readStates = nil, nil, nil
	if c.hard != c.savedHard {
		hard := c.hard
		rd.HardState = &hard
		rd.Messages = append(rd.Early, rd.Messages...)
		rd.Early = nil
	}
	rd.Snapshot = c.newSnapshot
	rd.Entries = slices.Clone(c.log.slice(c.log.stable+1, c.log.lastIndex()))
	c.readyLastIndex = c.log.lastIndex()
	rd.Committed = slices.Clone(c.log.slice(c.log.applied+1, c.log.commit))
	c.log.applied = max(c.log.applied, c.log.commit)
	return rd
}

// Advance confirms that the work of the last Ready is done.
func (c *Core) Advance() {
	if !c.inReady {
		panic("consensus: Advance without Ready")
	}
	c.inReady = false
	c.savedHard = c.hard
	c.newSnapshot = nil
	c.log.stable = c.readyLastIndex
	if c.role == Leader {
		c.leaderStable()
	}
	c.campaignIfBootstrapped()
}

// SnapshotAt returns a snapshot with data as the state after the applied entry
// at index; false if that entry is not applied or the current snapshot covers it.
func (c *Core) SnapshotAt(index uint64, data []byte) (Snapshot, bool) {
	term, ok := c.log.term(index)
	if !ok || index <= c.log.snapshot.Index || index > c.log.applied {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Membership: c.log.membershipAt(index), Data: data}, true
}

// Compact adopts a durable snapshot and drops entries that it covers.
func (c *Core) Compact(snapshot Snapshot) {
	c.log.compact(snapshot, c.cfg.KeepEntries)
}

// State is a read-only view of a Core.
type State struct {
	ID       ServerID
	Role     Role
	Term     uint64
	VotedFor ServerID
	Leader   ServerID
	Commit   uint64
	Applied  uint64
	Last     uint64
	First    uint64
	Members  Membership
	// Blank means that this server has no state of a cluster yet.
	Blank bool
}

// State returns the current state.
func (c *Core) State() State {
	members, _ := c.log.membership()
	return State{
		ID: c.id, Role: c.role, Term: c.hard.CurrentTerm, VotedFor: c.hard.VotedFor, Leader: c.leader,
		Commit: c.log.commit, Applied: c.log.applied, Last: c.log.lastIndex(), First: c.log.baseIndex + 1,
		Members: members, Blank: c.blank(),
	}
}

// QuorumAge returns the number of ticks since the last known contact with a
// majority of the voters; false if there was none since the start.
func (c *Core) QuorumAge() (uint64, bool) {
	if c.role != Leader {
		return c.now - c.leaderContactTick, c.leaderContacted
	}
	members, _ := c.log.membership()
	var contacts []uint64
	for _, id := range members.Voters() {
		switch p := c.peers[id]; {
		case id == c.id:
			contacts = append(contacts, c.now)
		case p.contacted:
			contacts = append(contacts, p.contactTick)
		}
	}
	if len(contacts) < members.Quorum() {
		return 0, false
	}
	slices.Sort(contacts)
	return c.now - contacts[len(contacts)-members.Quorum()], true
}

func (c *Core) String() string {
	return fmt.Sprintf("%v %v term=%d last=%d commit=%d", c.id, c.role, c.hard.CurrentTerm, c.log.lastIndex(), c.log.commit)
}
