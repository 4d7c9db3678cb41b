package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
	"lynxgate.dev/lynxgate/internal/weights/transfer"
)

const (
	zones = 3
	// Faults: shares of the agents, and when, in parts of the bound.
	// Agents are counted in the order in which the swarm has them fetch from
	// the origin, so that a killed one and a stalled one are always feeders.
	faultEvery   = 20
	killedRank   = 2
	stalledRank  = 5
	killAt       = 0.4
	stallAt      = 0.3
	corruptShare = 0.01
	// An agent stands beside an engine on a small VM and gets no more than
	// two of its cores.
	agentProcs = "GOMAXPROCS=2"
	// quietTime is how long live probes run before the burst.
	quietTime = 500 * time.Millisecond
)

// run is one case of the bench.
type run struct {
	strategy swarm.Strategy
	prefer   inventory.Preference
	faults   bool
	n        int
	size     int64
	chunk    int64
	rate     float64 // of a VM's link, bytes per second
	limit    time.Duration
	scratch  string
	profile  string // folder for the agents' CPU profiles
}

// name is the case in the bench's lines.
func (r run) name() string {
	name := "quiet"
	if r.faults {
		name = "faults"
	}
	if r.strategy == swarm.StrategySwarm {
		name += "-" + string(r.prefer)
	}
	return name
}

// bound is the least possible time to n replicas: the origin's link is twice
// a VM's.
func (r run) bound() time.Duration {
	f, n := float64(r.size), float64(r.n)
	return time.Duration(max(f/r.rate, n*f/(2*r.rate+n*r.rate)) * float64(time.Second))
}

// result is what a run measured.
type result struct {
	run
	staged       []time.Duration // since the start, in order
	expected     int             // replicas that could be reached
	originCopies float64
	finals       []*finalReport
	// machineCores is how many processors the whole machine kept busy.
	machineCores float64
	// originOverTime is copies drawn from the origin, every sampleEvery.
	originOverTime []float64
}

// process is one agent of a run.
type process struct {
	cmd    *exec.Cmd
	in     *json.Encoder
	stdin  io.Closer
	out    *json.Decoder
	hello  hello
	peer   swarm.Peer
	doomed bool
	events chan event
}

func (r run) execute() (*result, error) {
	dir, err := os.MkdirTemp(r.scratch, "bench-weights-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	origin, err := newPacedOrigin(r.size, r.chunk, 2*r.rate, 1)
	if err != nil {
		return nil, err
	}
	defer origin.close()
	agents, err := r.spawn(dir, r.ranks(origin.ref.Manifest))
	defer stopAll(agents)
	if err != nil {
		return nil, err
	}
	var peers []swarm.Peer
	var probes []string
	for _, a := range agents {
		peers = append(peers, a.peer)
		probes = append(probes, a.hello.ProbeAddr)
	}
	for _, a := range agents {
		if err := a.in.Encode(command{Probe: probes}); err != nil {
			return nil, err
		}
	}
	time.Sleep(quietTime)
	return r.burst(agents, origin, startBurst{Ref: origin.ref, Prefer: r.prefer, Peers: peers})
}

// member returns the i-th agent as its peers know it, but for its address.
func member(i int) swarm.Peer {
	return swarm.Peer{VM: fmt.Sprintf("vm-%03d", i), Zone: fmt.Sprintf("zone-%d", i%zones)}
}

// ranks returns each agent's place among those that fetch from the origin.
func (r run) ranks(manifestDigest string) []int {
	id, err := manifest.ParseDigest(manifestDigest)
	if err != nil {
		panic(fmt.Sprintf("bench's own manifest digest %q: %v", manifestDigest, err))
	}
	var members []swarm.Peer
	for i := range r.n {
		members = append(members, member(i))
	}
	ranks := make([]int, r.n)
	for i, m := range members {
		ranks[i] = swarm.OriginRank(swarm.StrategySwarm, m, members, transfer.VersionSeed(id))
	}
	return ranks
}

func (r run) spawn(dir string, ranks []int) ([]*process, error) {
	agents := make([]*process, r.n)
	errs := make([]error, r.n)
	var group sync.WaitGroup
	for i := range agents {
		group.Go(func() { agents[i], errs[i] = r.spawnOne(dir, i, ranks[i]) })
	}
	group.Wait()
	var started []*process
	var failed error
	for i, a := range agents {
		if errs[i] != nil {
			failed = errs[i]
			continue
		}
		started = append(started, a)
	}
	return started, failed
}

func (r run) spawnOne(dir string, i, rank int) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cfg := agentConfig{
		VM:   member(i).VM,
		Zone: member(i).Zone,
		Dir:  filepath.Join(dir, member(i).VM), Strategy: r.strategy, Rate: r.rate, Seed: uint64(i + 1),
	}
	if r.profile != "" {
		cfg.Profile = filepath.Join(r.profile, cfg.VM+".pprof")
	}
	p := &process{events: make(chan event, 4)}
	if r.faults {
		cfg.CorruptShare = corruptShare
		p.doomed = rank%faultEvery == killedRank
		if rank%faultEvery == stalledRank {
			cfg.StallAfterMS = int(stallAt * float64(r.bound().Milliseconds()))
		}
	}
	p.cmd = exec.Command(self, "-agent")
	p.cmd.Env = append(os.Environ(), agentProcs)
	p.cmd.Stderr = os.Stderr
	stdin, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.stdin = stdin
	p.in = json.NewEncoder(stdin)
	p.out = json.NewDecoder(bufio.NewReader(stdout))
	if err := p.in.Encode(cfg); err != nil {
		return nil, err
	}
	if err := p.out.Decode(&p.hello); err != nil {
		return nil, fmt.Errorf("agent %s: %w", cfg.VM, err)
	}
	p.peer = swarm.Peer{VM: cfg.VM, Zone: cfg.Zone, Addr: p.hello.Addr}
	return p, nil
}

func stopAll(agents []*process) {
	for _, a := range agents {
		a.stdin.Close()
		_ = a.cmd.Process.Kill()
		_ = a.cmd.Wait()
	}
}

// burst starts the transfer everywhere and waits until it is done.
func (r run) burst(agents []*process, origin *pacedOrigin, start startBurst) (*result, error) {
	res := &result{run: r}
	staged := make(chan int, len(agents))
	began, busy := time.Now(), busySeconds()
	for i, a := range agents {
		if err := a.in.Encode(command{Start: &start}); err != nil {
			return nil, err
		}
		go a.read(i, staged)
	}
	for _, a := range agents {
		if a.doomed {
			time.AfterFunc(time.Duration(killAt*float64(r.bound())), func() { _ = a.cmd.Process.Kill() })
			continue
		}
		res.expected++
	}
	timeout := time.After(r.limit)
	sample := time.NewTicker(sampleEvery)
	defer sample.Stop()
	for waiting := res.expected; waiting > 0; {
		select {
		case <-sample.C:
			res.originOverTime = append(res.originOverTime, float64(origin.sent.Load())/float64(r.size))
		case i := <-staged:
			if !agents[i].doomed {
				res.staged = append(res.staged, time.Since(began))
				waiting--
			}
		case <-timeout:
			waiting = 0
		}
	}
	res.machineCores = (busySeconds() - busy) / time.Since(began).Seconds()
	res.originCopies = float64(origin.sent.Load()) / float64(r.size)
	for _, a := range agents {
		if a.doomed {
			continue
		}
		if err := a.in.Encode(command{Stop: true}); err != nil {
			continue
		}
		if e, ok := <-a.events; ok && e.Final != nil {
			res.finals = append(res.finals, e.Final)
		}
	}
	return res, nil
}

// read passes on what an agent says until it ends.
func (a *process) read(i int, staged chan<- int) {
	defer close(a.events)
	for {
		var e event
		if a.out.Decode(&e) != nil {
			return
		}
		if e.Staged {
			staged <- i
			continue
		}
		a.events <- e
	}
}
