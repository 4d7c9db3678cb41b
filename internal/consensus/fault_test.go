package consensus

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The worst that a fleet has to bear: right after an acknowledgement as many servers as
// tolerated lose their disks, and all others lose power at the same moment. What was
// acknowledged is held by a majority, so one copy is left at least; and the servers
// that lost their disks must not come to a majority without it.

// faultCluster is a settled open cluster that bears the loss of so many disks. It was
// founded by all of its servers, or by three, and the others were admitted.
func faultCluster(t *rapid.T, tolerated int) *sim {
	size := 2*tolerated + 1
	founders := rapid.SampledFrom([]int{3, size}).Draw(t, "founders")
	s := newSim(t, founders, rapid.Uint64().Draw(t, "seed"))
	s.open, s.minVoters = true, size
	for _, name := range s.names {
		s.start(s.servers[name])
	}
	s.settle(t, founders)
	for i := founders; i < size; i++ {
		s.addServer([]string{"s7", "s8"}[i-founders])
		s.settle(t, i+1)
	}
	return s
}

// settle runs until everything is replicated and so many servers are voters.
func (s *sim) settle(t *rapid.T, voters int) {
	for range 400 * simElectionTicks {
		s.runRound()
		if leader := s.leader(); leader != nil && s.settled(leader) && len(s.voters()) == voters {
			return
		}
	}
	t.Fatalf("not settled: %v", s.describe())
}

// drawServers draws n different servers out of some.
func drawServers(t *rapid.T, from []*simServer, n int, label string) []*simServer {
	return rapid.Permutation(from).Draw(t, label)[:n]
}

// all returns all servers in order.
func (s *sim) all() []*simServer { return s.others(nil) }

// writeUntilAcknowledged writes, and delivers one message after the other until the
// moment in which the writer hears that it is accepted.
func (s *sim) writeUntilAcknowledged(t *rapid.T) string {
	leader := s.leader()
	s.clients.write(0, leader, "k0")
	op := s.clients.busy[0]
	if op == nil {
		t.Fatalf("the leader takes no write: %v", s.describe())
	}
	for step := 0; !op.done && step < 4000; step++ {
		if len(s.pool) == 0 || s.rand.IntN(20) == 0 {
			s.round++
			for _, v := range s.all() {
				s.tick(v)
			}
			continue
		}
		s.deliver(s.rand.IntN(len(s.pool)))
	}
	if !op.done || len(s.clients.history) == 0 || s.clients.history[len(s.clients.history)-1].Input != op.input {
		return "" // the leader was lost meanwhile
	}
	return op.input.value
}

func TestAcknowledgedWritesOutliveTheFinalFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerated := rapid.SampledFrom([]int{1, 2}).Draw(t, "tolerated")
		s := faultCluster(t, tolerated)
		for range rapid.IntRange(0, 6).Draw(t, "writes before") {
			s.clients.write(1, s.leader(), "k0")
			s.runRound()
			s.runRound()
			if rapid.Bool().Draw(t, "compact") {
				s.compact(s.leader())
			}
		}
		s.settle(t, 2*tolerated+1)

		// As few as possible hold the write: some are cut off, or die while they sync it.
		leader := s.leader()
		for _, v := range drawServers(t, s.others(leader), tolerated, "lagging") {
			if rapid.Bool().Draw(t, "cut off") {
				s.isolate(v.id.Name)
				continue
			}
			v.crashAt = crashPoint(rapid.IntRange(int(crashUnsynced), int(crashPointsEnd)-1).Draw(t, "dies"))
		}
		acknowledged := s.writeUntilAcknowledged(t)
		if acknowledged == "" {
			t.Skip("no write was acknowledged")
		}

		for _, v := range s.all() {
			s.crash(v)
		}
		s.loseMessages(t)
		clear(s.cut)
		wiped := s.drawWiped(t, tolerated)
		for _, v := range wiped {
			s.wipe(v)
		}
		var intact []*simServer
		for _, v := range s.all() {
			if v.core == nil {
				intact = append(intact, v)
			}
		}
		intact = rapid.Permutation(intact).Draw(t, "start order")
		for _, v := range intact[:len(intact)-1] {
			s.start(v)
			s.rounds(rapid.IntRange(0, 4*simElectionTicks).Draw(t, "pause"))
		}
		s.rounds(20 * simElectionTicks)
		if leader := s.leader(); leader != nil {
			t.Fatalf("%v was elected with the votes of servers that lost their disks: %v", leader.id, acknowledged)
		}
		s.start(intact[len(intact)-1])
		s.settle(t, 2*tolerated+1)
		for _, v := range s.all() {
			if v.state["k0"] != acknowledged {
				t.Fatalf("%v has %q in place of the acknowledged %q", v.id, v.state["k0"], acknowledged)
			}
		}
		s.clients.read(2, s.leader(), "k0")
		s.rounds(simElectionTicks)
		if result := s.clients.linearizable(); result != porcupine.Ok {
			t.Fatalf("history is not linearizable: %v", result)
		}
	})
}

// loseMessages loses some of what was under way.
func (s *sim) loseMessages(t *rapid.T) {
	share := rapid.IntRange(0, 3).Draw(t, "quarters lost")
	kept := s.pool[:0]
	for _, m := range s.pool {
		if s.rand.IntN(4) >= share {
			kept = append(kept, m)
		}
	}
	s.pool = kept
}

// drawWiped draws the servers that lose their disks, often all but one of those that
// hold what was acknowledged.
func (s *sim) drawWiped(t *rapid.T, n int) []*simServer {
	if rapid.Bool().Draw(t, "any") {
		return drawServers(t, s.all(), n, "wiped")
	}
	var holders []*simServer
	newest := uint64(0)
	for _, v := range s.all() {
		newest = max(newest, v.disk.lastIndex())
	}
	for _, v := range s.all() {
		if v.disk.lastIndex() == newest {
			holders = append(holders, v)
		}
	}
	if len(holders) < n {
		holders = s.all()
	}
	return drawServers(t, holders, n, "wiped holders")
}

func (d *Restored) lastIndex() uint64 { return d.Snapshot.Index + uint64(len(d.Entries)) }

// A server that is away for long, another one that loses its disk meanwhile and is put
// in its place again, and then as many lost disks as tolerated: the one that was away
// is needed, and must still count.
func TestVoterThatIsAwayIsKeptWhileDisksMayBeLost(t *testing.T) {
	s := newSim(t, 5, 7)
	s.open, s.minVoters = true, 5
	for _, v := range s.all() {
		s.start(v)
	}
	s.requireSettled(t)
	leader := s.leader()
	away, wiped := s.others(leader)[0], s.others(leader)[1]
	s.isolate(away.id.Name)
	s.rounds(2 * simRetireTicks)
	s.wipe(wiped)
	s.rounds(4 * simRetireTicks)
	require.Contains(t, s.voters(), wiped.id.Name, "it is a voter again")
	s.write(t, "accepted")

	lost := []*simServer{s.leader()}
	for _, v := range s.others(s.leader()) {
		if v != away && v != wiped && len(lost) < 2 {
			lost = append(lost, v)
		}
	}
	for _, v := range s.all() {
		s.crash(v)
	}
	s.pool = nil
	clear(s.cut)
	for _, v := range lost {
		s.wipe(v)
	}
	for _, v := range s.all() {
		if v.core == nil {
			s.start(v)
		}
	}
	s.requireSettled(t)
	for _, v := range s.all() {
		require.Equal(t, "accepted", v.state["k"])
	}
}
