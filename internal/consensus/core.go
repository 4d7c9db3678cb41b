package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Config holds the settings of a Core. All of them are required but Peers,
// which only a server that may found or join a cluster needs.
type Config struct {
	ID   ServerID
	Addr string
	// Peers are the names of the initial voters, the same list on all of
	// them, or the names to ask on a server that joins later.
	Peers []string
	// ElectionTicks is the shortest election timeout, the longest is twice it.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats.
	HeartbeatTicks int
	// KeepEntries is the number of entries kept before a snapshot, so that a
	// follower slightly behind needs no snapshot.
	KeepEntries uint64
	// JoinOnly keeps a blank server from founding a cluster: it only joins one.
	JoinOnly bool
	// AdmitNewcomers lets a leader add servers of any name that ask to join;
	// without it operators add them.
	AdmitNewcomers bool
	// RetireTicks is after how long without a word a leader removes a learner;
	// 0 is that nobody is ever removed.
	RetireTicks int
	// SpareTicks is after how long without a word a leader removes a voter that an even
	// number of voters can spare; 0 is RetireTicks.
	SpareTicks int
	// MinVoters is how many voters are kept though some are not heard: twice the
	// number of disks whose loss is to be borne, and one.
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
	// leaderHeardTick is when the leader was last heard, for QuorumAge.
	leaderHeardTick uint64
	leaderHeard     bool

	votes      map[ServerID]bool
	transferee ServerID // leadership is being handed over to it
	peers      map[ServerID]*progress
	reads      readQueue
	join       joinState

	early      []Message
	messages   []Message
	readStates []ReadState
	// newSnapshot was received and is not yet handed out to be persisted.
	newSnapshot *Snapshot
	handedOut   uint64 // last entry index in the Ready in progress
	inReady     bool
}

// Restored is the durable state a server starts with; zero on a blank disk.
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
		c.hurryFirstElection()
	}
	return c
}

// hurryFirstElection shortens the first election timeout of a server that starts
// with state: after a loss of power of all servers, none of them waits for a
// leader that can't be there. Where there is one, the pre-vote is not granted.
func (c *Core) hurryFirstElection() {
	c.electionTimeout = 1 + c.cfg.ElectionTicks/4 + c.rand.IntN(c.cfg.ElectionTicks)/2
}

// Tick moves logical time by one step.
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
	if m.Kind == KindHello {
		c.handleHello(m)
		return
	}
	if m.To != c.id {
		return // meant for another incarnation of this server
	}
	switch m.Kind {
	case KindWelcome:
		c.handleWelcome(m)
		return
	case KindFound:
		c.handleFound(m)
		return
	case KindFoundReply:
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

// checkTerm compares the message's term with ours, takes over a newer one and
// tells whether the message is to be handled further.
func (c *Core) checkTerm(m Message) bool {
	isVote := m.Kind == KindPreVote || m.Kind == KindRequestVote
	if isVote && m.Context != TransferContext && c.leaderInContact() {
		return false // a leader is alive: do not disturb it
	}
	switch {
	case m.Term > c.hard.CurrentTerm:
		if m.Kind == KindPreVote || (m.Kind == KindPreVoteReply && !m.Reject) {
			return true // the term of an election that has not begun
		}
		leader := ServerID{}
		if m.Kind == KindAppendEntries || m.Kind == KindHeartbeat || m.Kind == KindInstallSnapshot {
			leader = m.From
		}
		c.becomeFollower(m.Term, leader)
	case m.Term < c.hard.CurrentTerm:
		c.refuseOldTerm(m)
		return false
	}
	return true
}

// refuseOldTerm tells the sender of a stale request the current term.
func (c *Core) refuseOldTerm(m Message) {
	switch m.Kind {
	case KindAppendEntries, KindHeartbeat, KindInstallSnapshot:
		c.send(Message{Kind: KindAppendEntriesReply, To: m.From, Reject: true, Index: m.Index})
	case KindPreVote:
		c.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
	}
}

// leaderInContact tells whether a leader was heard within the shortest
// election timeout, or we are one.
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
		c.heardLeader(m)
		c.handleAppendEntries(m)
	case KindHeartbeat:
		c.heardLeader(m)
		c.handleHeartbeat(m)
	case KindInstallSnapshot:
		c.heardLeader(m)
		c.handleInstallSnapshot(m)
	case KindAppendEntriesReply:
		c.handleAppendEntriesReply(m)
	case KindHeartbeatReply:
		c.handleHeartbeatReply(m)
	case KindTimeoutNow:
		c.handleTimeoutNow()
	}
}

// send queues a message that may leave once everything before it is durable.
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

// HasReady tells whether Ready would hold anything.
func (c *Core) HasReady() bool {
	return c.hard != c.savedHard || c.newSnapshot != nil || c.log.stable < c.log.lastIndex() ||
		len(c.early) > 0 || len(c.messages) > 0 || len(c.readStates) > 0 ||
		c.log.applied < min(c.log.commit, c.log.lastIndex())
}

// Ready returns what is to be carried out. Advance must follow before the
// next Ready; Step, Tick and the Propose functions must not come between.
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
	c.handedOut = c.log.lastIndex()
	rd.Committed = slices.Clone(c.log.slice(c.log.applied+1, c.log.commit))
	c.log.applied = max(c.log.applied, c.log.commit)
	return rd
}

// Advance says that the last Ready was carried out.
func (c *Core) Advance() {
	if !c.inReady {
		panic("consensus: Advance without Ready")
	}
	c.inReady = false
	c.savedHard = c.hard
	c.newSnapshot = nil
	c.log.stable = c.handedOut
	if c.role == Leader {
		c.leaderStable()
	}
	c.foundingStable()
}

// SnapshotAt completes a snapshot of the state after the applied entry at
// index; false if a newer snapshot is held already.
func (c *Core) SnapshotAt(index uint64, data []byte) (Snapshot, bool) {
	term, ok := c.log.term(index)
	if !ok || index <= c.log.snapshot.Index || index > c.log.applied {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Membership: c.log.membershipAt(index), Data: data}, true
}

// Compact takes over a snapshot that is durable, and drops entries it covers.
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
	// Blank: this server holds no state of a cluster yet.
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

// QuorumAge returns for how many ticks no majority of the voters is known to
// have been in reach; false if never since the start.
func (c *Core) QuorumAge() (uint64, bool) {
	if c.role != Leader {
		return c.now - c.leaderHeardTick, c.leaderHeard
	}
	members, _ := c.log.membership()
	var heard []uint64
	for _, id := range members.Voters() {
		switch p := c.peers[id]; {
		case id == c.id:
			heard = append(heard, c.now)
		case p.heard:
			heard = append(heard, p.heardTick)
		}
	}
	if len(heard) < members.Quorum() {
		return 0, false
	}
	slices.Sort(heard)
	return c.now - heard[len(heard)-members.Quorum()], true
}

func (c *Core) String() string {
	return fmt.Sprintf("%v %v term=%d last=%d commit=%d", c.id, c.role, c.hard.CurrentTerm, c.log.lastIndex(), c.log.commit)
}
