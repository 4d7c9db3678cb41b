package consensus

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
)

// Timeouts of the simulated servers, in ticks.
const (
	simElectionTicks  = 8
	simHeartbeatTicks = 2
	maxPool           = 300
)

// crashPoint is the point in processing a Ready at which a server crashes.
type crashPoint int

const (
	crashNow       crashPoint = iota // between two Readys
	crashUnsynced                    // early messages sent, nothing durable
	crashHalfSync                    // term and vote durable, entries not
	crashUnsent                      // all durable, messages not sent
	crashPointsEnd                   // number of crash points
)

// simServer is one server: a disk, and a core while it is running.
type simServer struct {
	id     ServerID
	disk   Restored
	core   *Core // nil while down
	frozen bool
	// wiped means that the disk is not that of the first start.
	wiped     bool
	crashAt   crashPoint
	state     simState // the state machine
	applied   uint64
	proposals map[uint64]*clientOp // proposals by index
	reads     map[uint64]*clientOp // reads by context
	waiting   []*clientOp          // reads waiting for their index to be applied
}

// simState is the replicated state: one value per key.
type simState map[string]string

// command is a write proposed by a client.
type command struct {
	Key, Value string
}

// simMessage is a message in flight.
type simMessage struct {
	Message
	notBefore int // round
}

// sim simulates a cluster and a network that loses, duplicates, reorders and
// delays messages, and records what the invariants are checked against.
type sim struct {
	t       failer
	rand    *rand.Rand
	peers   []string
	servers map[string]*simServer
	names   []string
	pool    []simMessage
	cut     map[[2]string]bool
	lossy   bool
	// dropIf, if set, selects messages to drop.
	dropIf func(Message) bool
	// reckless schedules wipe more disks than the cluster tolerates: it may
	// become unavailable for good then, but must not lose committed entries.
	reckless bool
	// autoJoin clusters add servers that ask to join and remove lost ones; servers
	// whose disk was replaced do not bootstrap.
	autoJoin bool
	// minVoters is Config.MinVoters.
	minVoters int
	round     int
	clock     int64
	nextInc   uint64
	// lostDisk means that a disk was wiped or damaged before.
	lostDisk bool
	clients  *clients

	leaders       map[uint64]ServerID        // by term
	entries       map[[2]uint64]entryContent // by index and term
	committed     map[uint64]Entry           // by index
	commitBy      map[uint64]uint64          // by index: term of the server that applied it first
	states        map[uint64]string          // state after the index
	majorityIndex uint64                     // highest index checked to be on a majority of disks
}

// entryContent is what an index and term determine by the log matching property.
type entryContent struct {
	data     string
	prevTerm uint64
}

// failer is the part of testing.T and rapid.T that the simulation uses.
type failer interface {
	Fatalf(format string, args ...any)
}

func newSim(t failer, size int, seed uint64) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*simServer{}, cut: map[[2]string]bool{},
		leaders: map[uint64]ServerID{}, entries: map[[2]uint64]entryContent{}, committed: map[uint64]Entry{},
		commitBy: map[uint64]uint64{}, states: map[uint64]string{},
	}
	s.clients = newClients(s)
	for i := range size {
		s.peers = append(s.peers, fmt.Sprintf("s%d", i))
	}
	for _, name := range s.peers {
		s.addServer(name)
	}
	return s
}

// addServer starts a server with a blank disk.
func (s *sim) addServer(name string) {
	s.nextInc++
	s.servers[name] = &simServer{id: ServerID{Name: name, Incarnation: s.nextInc}}
	s.names = slices.Sorted(maps.Keys(s.servers))
	s.start(s.servers[name])
}

func (s *sim) start(v *simServer) {
	disk := v.disk
	disk.Entries = slices.Clone(disk.Entries)
	v.core = New(Config{
		ID: v.id, Addr: v.id.Name, Peers: s.peers, ElectionTicks: simElectionTicks, HeartbeatTicks: simHeartbeatTicks,
		KeepEntries: 2, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)),
		AutoAddServers: s.autoJoin, RemoveLearnerTicks: s.removeTicks(), RemoveVoterTicks: s.removeTicks() / 3, MinVoters: s.minVoters, JoinOnly: s.autoJoin && v.wiped,
	}, disk)
	v.frozen, v.crashAt = false, crashNow
	v.proposals, v.reads, v.waiting = map[uint64]*clientOp{}, map[uint64]*clientOp{}, nil
	v.state, v.applied = simState{}, disk.Snapshot.Index
	s.restoreState(v, disk.Snapshot)
}

// simRemoveTicks is longer than an election, so that a server is not removed
// while it only waits for a leader.
const simRemoveTicks = 6 * simElectionTicks

func (s *sim) removeTicks() int {
	if s.autoJoin {
		return simRemoveTicks
	}
	return 0
}

func (s *sim) crash(v *simServer) {
	if v.core == nil {
		return
	}
	v.core = nil
	for _, op := range v.proposals {
		s.clients.unknown(op)
	}
	for _, op := range v.reads {
		s.clients.failed(op)
	}
	for _, op := range v.waiting {
		s.clients.failed(op)
	}
}

// wipe replaces the disk by a blank one and starts the server with its old settings.
func (s *sim) wipe(v *simServer) {
	s.lostDisk = true
	s.crash(v)
	s.nextInc++
	v.id.Incarnation = s.nextInc
	v.disk = Restored{}
	v.wiped = true
	s.start(v)
}

// damage truncates the log on the disk, as after a disk fault. The lost entries
// may have been acknowledged, so the server gets a new incarnation.
func (s *sim) damage(v *simServer, entries int) {
	s.lostDisk = true
	s.crash(v)
	s.nextInc++
	v.id.Incarnation = s.nextInc
	keep := max(0, len(v.disk.Entries)-entries)
	v.disk.Entries = slices.Clone(v.disk.Entries[:keep])
	s.start(v)
}

// process processes all Readys of a server and crashes it at crashAt.
func (s *sim) process(v *simServer) {
	for v.core != nil && v.core.HasReady() {
		s.checkCore(v)
		rd := v.core.Ready()
		durable := rd.HardState != nil || rd.Snapshot != nil || len(rd.Entries) > 0
		s.checkDurableBeforeSend(v, rd.Early)
		s.transmit(rd.Early)
		if v.crashAt == crashUnsynced && durable {
			s.crash(v)
			return
		}
		if rd.HardState != nil {
			v.disk.HardState = *rd.HardState
		}
		if v.crashAt == crashHalfSync && durable {
			s.crash(v)
			return
		}
		v.disk.persist(rd)
		if v.crashAt == crashUnsent && durable {
			s.crash(v)
			return
		}
		s.checkDurableBeforeSend(v, rd.Messages)
		s.transmit(rd.Messages)
		s.applyReady(v, rd)
		v.core.Advance()
		s.checkCore(v)
	}
}

func (d *Restored) persist(rd Ready) {
	if rd.Snapshot != nil {
		d.Snapshot = *rd.Snapshot
		d.Entries = nil
	}
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - d.Snapshot.Index - 1
		d.Entries = append(slices.Clone(d.Entries[:keep]), rd.Entries...)
	}
}

func (s *sim) applyReady(v *simServer, rd Ready) {
	if rd.Snapshot != nil {
		s.restoreState(v, *rd.Snapshot)
		v.applied = rd.Snapshot.Index
		for index, op := range v.proposals {
			if index <= v.applied {
				delete(v.proposals, index)
				s.clients.unknown(op)
			}
		}
	}
	for _, e := range rd.Committed {
		s.apply(v, e)
	}
	for _, state := range rd.ReadStates {
		if op, ok := v.reads[state.Context]; ok {
			delete(v.reads, state.Context)
			s.clients.readConfirmed(v, op, state)
		}
	}
	s.clients.finishReads(v)
}

func (s *sim) apply(v *simServer, e Entry) {
	if e.Index != v.applied+1 {
		s.t.Fatalf("%v applies %d after %d", v.id, e.Index, v.applied)
	}
	v.applied = e.Index
	if known, ok := s.committed[e.Index]; ok && !reflect.DeepEqual(known, e) {
		s.t.Fatalf("state machine safety: %v applies %v, another server %v", v.id, e, known)
	}
	if _, ok := s.committed[e.Index]; !ok {
		s.committed[e.Index] = e
		s.commitBy[e.Index] = v.core.hard.CurrentTerm
	}
	if e.Kind == EntryCommand {
		var cmd command
		if err := json.Unmarshal(e.Data, &cmd); err != nil {
			s.t.Fatalf("decode command: %v", err)
		}
		v.state[cmd.Key] = cmd.Value
	}
	s.checkState(v, e.Index)
	if op, ok := v.proposals[e.Index]; ok {
		delete(v.proposals, e.Index)
		s.clients.applied(op, e.Term)
	}
}

func (s *sim) restoreState(v *simServer, snapshot Snapshot) {
	v.state = simState{}
	if len(snapshot.Data) == 0 {
		return
	}
	if err := json.Unmarshal(snapshot.Data, &v.state); err != nil {
		s.t.Fatalf("decode snapshot: %v", err)
	}
	s.checkState(v, snapshot.Index)
}

func (s *sim) transmit(messages []Message) {
	for _, m := range messages {
		if s.lossy && s.rand.IntN(4) == 0 {
			continue
		}
		if s.dropIf != nil && s.dropIf(m) {
			continue
		}
		s.pool = append(s.pool, simMessage{Message: m})
	}
	if len(s.pool) > maxPool {
		s.pool = slices.Delete(s.pool, 0, len(s.pool)-maxPool)
	}
}

// deliver delivers the message at index i of the pool and removes it.
func (s *sim) deliver(i int) {
	m := s.pool[i]
	v := s.servers[m.To.Name]
	if v != nil && v.frozen {
		return // stays in the pool
	}
	s.pool = slices.Delete(s.pool, i, i+1)
	if v == nil || v.core == nil || s.cut[[2]string{m.From.Name, m.To.Name}] {
		return
	}
	v.core.Step(m.Message)
	s.process(v)
}

func (s *sim) tick(v *simServer) {
	if v.core == nil || v.frozen {
		return
	}
	v.core.Tick()
	s.process(v)
}

// runRound ticks every server and then delivers the messages in flight, in order.
func (s *sim) runRound() {
	s.round++
	for _, name := range s.names {
		s.tick(s.servers[name])
	}
	due := s.pool
	s.pool = nil
	for _, m := range due {
		v := s.servers[m.To.Name]
		if m.notBefore > s.round || (v != nil && v.frozen) {
			s.pool = append(s.pool, m)
			continue
		}
		if v == nil || v.core == nil || s.cut[[2]string{m.From.Name, m.To.Name}] {
			continue
		}
		v.core.Step(m.Message)
		s.process(v)
	}
}

// heal ends all faults.
func (s *sim) heal() {
	s.lossy = false
	clear(s.cut)
	for _, name := range s.names {
		v := s.servers[name]
		v.frozen = false
		if v.core == nil {
			s.start(v)
		}
		v.crashAt = crashNow
	}
}

// compact snapshots the applied state of a server and drops the covered entries.
func (s *sim) compact(v *simServer) {
	if v.core == nil {
		return
	}
	data, _ := json.Marshal(v.state)
	snapshot, ok := v.core.SnapshotAt(v.applied, data)
	if !ok {
		return
	}
	v.disk.Entries = slices.Clone(v.disk.Entries[snapshot.Index-v.disk.Snapshot.Index:])
	v.disk.Snapshot = snapshot
	v.core.Compact(snapshot)
}

// leader returns the leader of the highest term, nil if there is none.
func (s *sim) leader() *simServer {
	var best *simServer
	for _, name := range s.names {
		v := s.servers[name]
		if v.core == nil || v.core.role != Leader {
			continue
		}
		if best == nil || v.core.hard.CurrentTerm > best.core.hard.CurrentTerm {
			best = v
		}
	}
	return best
}
