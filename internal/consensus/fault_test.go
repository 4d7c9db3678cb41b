package consensus

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The worst tolerated fault: right after an acknowledgement the tolerated number of servers
// lose their disks while all others lose power. A majority had the acknowledged entry, so at
// least one copy is left, and the servers that lost their disks must not form a majority
// without it.

// faultCluster returns a settled cluster that tolerates the loss of this many disks. It was
// bootstrapped by all of its servers, or by three and the others were added.
func faultCluster(t *rapid.T, tolerated int) *sim {
	size := 2*tolerated + 1
	founders := rapid.SampledFrom([]int{3, size}).Draw(t, "founders")
	s := newSim(t, founders, rapid.Uint64().Draw(t, "seed"))
	s.autoJoin, s.minVoters = true, size
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

// settle runs until all entries are replicated and there are this many voters.
func (s *sim) settle(t *rapid.T, voters int) {
	for range 400 * simElectionTicks {
		s.runRound()
		if leader := s.leader(); leader != nil && s.settled(leader) && len(s.voters()) == voters {
			return
		}
	}
	t.Fatalf("not settled: %v", s.describe())
}

// drawServers draws n different servers.
func drawServers(t *rapid.T, from []*simServer, n int, label string) []*simServer {
	return rapid.Permutation(from).Draw(t, label)[:n]
}

// all returns all servers in order.
func (s *sim) all() []*simServer { return s.others(nil) }

// writeUntilAcknowledged starts a write and delivers single messages until the write is
// acknowledged. It returns the value, or "" if the write failed.
func (s *sim) writeUntilAcknowledged(t *rapid.T) string {
	leader := s.leader()
	s.clients.write(0, leader, "k0")
	op := s.clients.busy[0]
	if op == nil {
		t.Fatalf("the leader accepts no write: %v", s.describe())
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
		return "" // the leader changed during the write
	}
	return op.input.value
}

func TestAcknowledgedWritesSurviveDiskAndPowerLoss(t *testing.T) {
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

		// As few servers as possible get the write: some are partitioned, or crash while they sync it.
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

// loseMessages drops some of the messages in flight.
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
// have the acknowledged write.
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

// A server is partitioned for long while another one loses its disk and is added again.
// Then as many disks are lost as tolerated: the vote of the partitioned server is needed.
func TestUnreachableVoterIsKeptAtMinVoters(t *testing.T) {
	s := newSim(t, 5, 7)
	s.autoJoin, s.minVoters = true, 5
	for _, v := range s.all() {
		s.start(v)
	}
	s.requireSettled(t)
	leader := s.leader()
	unreachable, wiped := s.others(leader)[0], s.others(leader)[1]
	s.isolate(unreachable.id.Name)
	s.rounds(2 * simRemoveTicks)
	s.wipe(wiped)
	s.rounds(4 * simRemoveTicks)
	require.Contains(t, s.voters(), wiped.id.Name, "the wiped server is a voter again")
	s.write(t, "accepted")

	lost := []*simServer{s.leader()}
	for _, v := range s.others(s.leader()) {
		if v != unreachable && v != wiped && len(lost) < 2 {
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
