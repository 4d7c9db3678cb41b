package consensus

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules in every run
)

// action is one step of a generated schedule; x and y choose servers, messages or clients.
type action struct {
	name string
	x, y int
}

// weights are the relative frequencies of the actions.
var weights = []struct {
	name   string
	weight int
}{
	{"round", 40}, {"rounds", 20}, {"write", 24}, {"read", 24}, {"deliver", 12}, {"tick", 5}, {"elect", 4},
	{"drop", 3}, {"duplicate", 3}, {"delay", 4}, {"lossy", 1}, {"cut", 3}, {"isolate", 3}, {"heal", 4},
	{"freeze", 2}, {"thaw", 2}, {"crash", 4}, {"restart", 6}, {"recover", 4}, {"wipe", 2}, {"damage", 2}, {"wipeAny", 1},
	{"compact", 3}, {"transfer", 2}, {"giveUp", 6}, {"add", 1}, {"promote", 2}, {"remove", 1},
}

func actionNames() []string {
	var names []string
	for _, w := range weights {
		for range w.weight {
			names = append(names, w.name)
		}
	}
	return names
}

func drawActions(t *rapid.T) []action {
	name := rapid.SampledFrom(actionNames())
	number := rapid.IntRange(0, 1<<16)
	one := rapid.Custom(func(t *rapid.T) action {
		return action{name: name.Draw(t, "name"), x: number.Draw(t, "x"), y: number.Draw(t, "y")}
	})
	return rapid.SliceOfN(one, 150, 500).Draw(t, "actions")
}

// do executes one action. It reports whether the cluster may be unavailable for
// good afterwards.
func (s *sim) do(a action) (stuck bool) {
	v := s.servers[s.names[a.x%len(s.names)]]
	w := s.servers[s.names[a.y%len(s.names)]]
	key := fmt.Sprint("k", a.y%2)
	switch a.name {
	case "round":
		s.runRound()
	case "rounds":
		for range simElectionTicks {
			s.runRound()
		}
	case "write":
		if leader := s.leader(); leader != nil && a.y%4 != 0 {
			v = leader
		}
		s.clients.write(a.x%simClients, v, key)
	case "read":
		s.clients.read(a.y%simClients, v, key)
	case "tick":
		s.tick(v)
	case "elect":
		for range 2 * simElectionTicks {
			s.tick(v)
		}
	case "deliver", "drop", "duplicate", "delay":
		s.disturb(a)
	case "lossy":
		s.lossy = !s.lossy
	case "cut":
		s.cut[[2]string{v.id.Name, w.id.Name}] = true
	case "isolate":
		for _, name := range s.names {
			s.cut[[2]string{v.id.Name, name}] = true
			s.cut[[2]string{name, v.id.Name}] = true
		}
	case "heal":
		clear(s.cut)
	case "recover":
		s.heal()
	case "freeze":
		v.frozen = true
	case "thaw":
		v.frozen = false
	case "crash":
		v.crashAt = crashPoint(a.y % int(crashPointsEnd))
		if v.crashAt == crashNow {
			s.crash(v)
		}
	case "restart":
		if v.core == nil {
			s.start(v)
		}
	case "wipe":
		if s.mayWipe(v) {
			s.wipe(v)
		}
	case "damage":
		if s.mayWipe(v) {
			s.damage(v, 1+a.y%3)
		}
	case "wipeAny":
		if !s.reckless || v.disk.Snapshot.Index == 0 || s.onlyVoterWithState(v) {
			return false
		}
		s.wipe(v)
		return true
	case "compact":
		s.compact(v)
	case "transfer":
		if leader := s.leader(); leader != nil {
			leader.core.TransferLeadership(ServerID{})
			s.process(leader)
		}
	case "giveUp":
		s.clients.giveUp(a.x % simClients)
	default:
		s.reconfigure(a.name)
	}
	return false
}

// disturb delivers, drops, duplicates or delays one message in flight.
func (s *sim) disturb(a action) {
	if len(s.pool) == 0 {
		return
	}
	i := a.x % len(s.pool)
	switch a.name {
	case "deliver":
		s.deliver(i)
	case "drop":
		s.pool = append(s.pool[:i], s.pool[i+1:]...)
	case "duplicate":
		s.pool = append(s.pool, s.pool[i])
	case "delay":
		s.pool[i].notBefore = s.round + a.y%40
	}
}

// reconfigure adds, promotes or removes an extra server as an operator would.
func (s *sim) reconfigure(name string) {
	const extra = "s9"
	if s.servers[extra] == nil && name == "add" {
		s.addServer(extra)
	}
	leader := s.leader()
	if leader == nil {
		return
	}
	switch name {
	case "add":
		_, _, _ = leader.core.ProposeLearner(extra)
	case "promote":
		_, _, _ = leader.core.ProposePromote(extra)
	case "remove":
		if s.autoJoin {
			return // there only the leader itself removes servers
		}
		_, _, _ = leader.core.ProposeRemove(extra)
	}
	s.process(leader)
}

// defaultChecks is the number of generated schedules unless -rapid.checks says otherwise.
const defaultChecks = "600"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", defaultChecks); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestGeneratedSchedules injects generated faults, checks the invariants of the
// protocol after every step, and then that the cluster recovers.
func TestGeneratedSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 3, 5, 1, 2}).Draw(t, "size")
		s := newSim(t, size, rapid.Uint64().Draw(t, "seed"))
		s.autoJoin = rapid.IntRange(0, 2).Draw(t, "open") == 0
		for _, name := range s.names { // restarted with the option
			s.start(s.servers[name])
		}
		if rapid.IntRange(0, 3).Draw(t, "warm") > 0 {
			for range 6 * simElectionTicks {
				s.runRound()
			}
		}
		s.reckless = rapid.IntRange(0, 5).Draw(t, "reckless") == 0
		stuck := false
		for _, a := range drawActions(t) {
			if s.do(a) {
				stuck = true
			}
		}
		s.heal()
		if !stuck && (s.bootstrapped() || !s.lostDisk) {
			s.requireProgress(t)
		}
		if result := s.clients.linearizable(); result != porcupine.Ok {
			t.Fatalf("history is not linearizable: %v", result)
		}
	})
}

// bootstrapped reports whether the bootstrap is complete; a disk lost before that may
// block it.
func (s *sim) bootstrapped() bool {
	for _, name := range s.names {
		if s.servers[name].core.bootstrapComplete() {
			return true
		}
	}
	return false
}

// requireProgress checks that a healed cluster elects a leader, commits an entry,
// replicates it to all members and promotes the learners that are to become
// voters.
func (s *sim) requireProgress(t *rapid.T) {
	for range 200 * simElectionTicks {
		s.runRound()
		if leader := s.leader(); leader != nil && s.settled(leader) {
			return
		}
	}
	t.Fatalf("no progress after the end of the faults: %v", s.describe())
}

func (s *sim) settled(leader *simServer) bool {
	members, index := leader.core.log.membership()
	if !leader.core.committedInTerm() || index > leader.core.log.commit {
		return false
	}
	for _, member := range members {
		v := s.servers[member.ID.Name]
		voter := !member.Learner || !member.PromoteWhenReady
		if v.id != member.ID || !voter || v.applied != leader.core.log.lastIndex() {
			return false
		}
	}
	return true
}

func (s *sim) describe() string {
	text := ""
	for _, name := range s.names {
		v := s.servers[name]
		members, _ := v.core.log.membership()
		text += fmt.Sprintf("\n%v leader=%v members=%v", v.core, v.core.leader, members)
	}
	return text
}
