package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
	"lynxgate.dev/lynxgate/internal/weights/transfer"
)

// agent is one bench process: a transfer.Manager behind a listener, and a
// stand-in for live traffic on the same link.
type agent struct {
	cfg      agentConfig
	manager  *transfer.Manager
	registry *prometheus.Registry
	probes   *prober
	faults   *faultyServer

	mu       sync.Mutex // guards out
	out      *json.Encoder
	burstCPU float64
	held     []int // guarded by mu
}

// runAgent serves until it is told to stop or standard input ends.
func runAgent() error {
	in := json.NewDecoder(bufio.NewReader(os.Stdin))
	a := &agent{out: json.NewEncoder(os.Stdout), registry: prometheus.NewRegistry()}
	if err := in.Decode(&a.cfg); err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := a.start(); err != nil {
		return err
	}
	for {
		var c command
		if err := in.Decode(&c); err != nil {
			return nil // the bench has gone
		}
		switch {
		case c.Probe != nil:
			a.probes.start(c.Probe)
		case c.Start != nil:
			a.burst(*c.Start)
		case c.Stop:
			a.say(event{Final: a.report()})
			return nil
		}
	}
}

func (a *agent) start() error {
	cfg := transfer.Config{
		VM: a.cfg.VM, Zone: a.cfg.Zone, Dir: a.cfg.Dir, Strategy: a.cfg.Strategy,
		UpBytesPerSecond: a.cfg.Rate, DownBytesPerSecond: a.cfg.Rate,
		Registerer: a.registry, Logger: zerolog.New(os.Stderr).Level(zerolog.ErrorLevel),
	}
	if a.cfg.Strategy == swarm.StrategyOrigin {
		// A share of the origin's link is so small that its fetches are
		// slow, not stalled.
		cfg.Swarm = swarm.Config{OriginStreams: 2, ProgressTimeout: time.Minute}
	}
	var err error
	if a.manager, err = transfer.New(cfg); err != nil {
		return err
	}
	a.faults = newFaultyServer(a.manager, a.cfg)
	mux := drpcmux.New()
	if err := rpc.DRPCRegisterWeights(mux, a.faults); err != nil {
		return err
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = drpcserver.New(mux).Serve(context.Background(), lis) }()
	if a.probes, err = newProber(a.manager, a.cfg.Seed); err != nil {
		return err
	}
	return a.out.Encode(hello{Addr: lis.Addr().String(), ProbeAddr: a.probes.addr()})
}

func (a *agent) say(e event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.out.Encode(e)
}

func (a *agent) burst(s startBurst) {
	a.profile()
	a.burstCPU = cpuSeconds()
	a.probes.setBurst(true)
	a.faults.begin()
	a.manager.SetWanted([]transfer.Wanted{{Ref: s.Ref, Prefer: s.Prefer, Peers: s.Peers}})
	go a.sample()
	go func() {
		for range a.manager.Changed() {
			if p := a.manager.Status(); len(p) == 1 && p[0].Staged {
				a.say(event{Staged: true})
				return
			}
		}
	}()
}

// sampleEvery is the time between two samples of the chunks held.
const sampleEvery = 100 * time.Millisecond

func (a *agent) sample() {
	for range time.Tick(sampleEvery) {
		a.mu.Lock()
		for _, p := range a.manager.Status() {
			a.held = append(a.held, p.Held)
		}
		a.mu.Unlock()
	}
}

// profile records the CPU use of the burst if a file has been asked for.
func (a *agent) profile() {
	if a.cfg.Profile == "" {
		return
	}
	if f, err := os.Create(a.cfg.Profile); err == nil {
		_ = pprof.StartCPUProfile(f)
	}
}

func (a *agent) report() *finalReport {
	pprof.StopCPUProfile()
	r := &finalReport{CPUSeconds: cpuSeconds() - a.burstCPU, Metrics: map[string]float64{}}
	a.mu.Lock()
	r.HeldOverTime = a.held
	a.mu.Unlock()
	for _, p := range a.manager.Status() {
		r.OriginBytes, r.PeerBytes, r.Held, r.Staged, r.Err = p.OriginBytes, p.PeerBytes, p.Held, p.Staged, p.Err
	}
	families, _ := a.registry.Gather()
	for _, f := range families {
		for _, m := range f.GetMetric() {
			value := m.GetCounter().GetValue() + m.GetGauge().GetValue()
			r.Metrics[f.GetName()] += value
		}
	}
	r.ControlBytes = r.Metrics["lynxgate_weights_control_bytes_total"]
	r.QuietMS, r.BurstMS = a.probes.results()
	r.MaxRSSBytes = peakMemory()
	return r
}

// peakMemory returns the most resident memory that this program has had. The
// kernel's rusage would count the bench that started it.
func peakMemory() int64 {
	status, _ := os.ReadFile("/proc/self/status")
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes * 1024
}

func cpuSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	seconds := func(t syscall.Timeval) float64 {
		return (time.Duration(t.Sec)*time.Second + time.Duration(t.Usec)*time.Microsecond).Seconds()
	}
	return seconds(usage.Utime) + seconds(usage.Stime)
}
