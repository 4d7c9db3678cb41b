package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/replay"
)

const (
	overheadCalls = 3000
	loopWorkers   = 4
	loopDuration  = 4 * time.Second
	streamTokens  = 100
)

// measureOverhead compares one call at a time to the engine itself with one
// through entry and agent, taken in turns, and measures the processor time
// that entry and agent need.
func measureOverhead(s *system) error {
	client := replay.NewClient()
	direct := newCaller(client, "http://"+s.fast.BackendAddr, fastService, 1, false)
	through := newCaller(client, "http://"+s.entries[0].CallersAddr, fastService, 1, false)
	took := map[*caller]interface {
		ValueAtQuantile(float64) int64
		RecordValue(int64) error
	}{direct: replay.NewHistogram(), through: replay.NewHistogram()}
	for range overheadCalls {
		for _, c := range []*caller{direct, through} {
			begun := time.Now()
			if err := c.call(context.Background()); err != nil {
				return err
			}
			_ = took[c].RecordValue(time.Since(begun).Microseconds())
		}
	}
	for _, p := range []float64{50, 99} {
		d, t := took[direct].ValueAtQuantile(p), took[through].ValueAtQuantile(p)
		note("p%.0f direct %d us, through entry and agent %d us", p, d, t)
		figure(fmt.Sprintf("overhead_p%.0f_us", p), float64(t-d))
	}
	return s.measurePerCore()
}

// measurePerCore measures requests and tokens per second of processor time.
func (s *system) measurePerCore() error {
	client := replay.NewClient()
	whole := newCaller(client, "http://"+s.entries[0].CallersAddr, fastService, 1, false)
	used, calls, err := s.usedBy(whole, loopWorkers, []*harness.Agent{s.fast})
	if err != nil {
		return err
	}
	note("entry %.0f us, agent %.0f us of processor time per request", perUnit(used.entry, calls), perUnit(used.agents, calls))
	figure("rps_per_core", calls/(used.entry+used.agents).Seconds())

	stream := newCaller(client, "http://"+s.entries[0].CallersAddr, pacedService, streamTokens, true)
	used, _, err = s.usedBy(stream, engines*concurrency, s.paced)
	if err != nil {
		return err
	}
	tokens := float64(stream.tokens.Load())
	note("entry %.1f us, agents %.1f us of processor time per token", perUnit(used.entry, tokens), perUnit(used.agents, tokens))
	figure("tokens_per_second_per_core", tokens/(used.entry+used.agents).Seconds())
	return nil
}

func perUnit(d time.Duration, n float64) float64 { return float64(d.Microseconds()) / n }

// processorTime used during a load.
type processorTime struct{ entry, agents time.Duration }

// usedBy runs a closed loop and returns what the first entry and the agents
// used meanwhile, and how many calls succeeded.
func (s *system) usedBy(c *caller, workers int, agents []*harness.Agent) (processorTime, float64, error) {
	before, err := s.readProcessorTime(agents)
	if err != nil {
		return before, 0, err
	}
	took, _ := c.closedLoop(workers, loopDuration)
	after, err := s.readProcessorTime(agents)
	return processorTime{after.entry - before.entry, after.agents - before.agents}, float64(took.TotalCount()), err
}

func (s *system) readProcessorTime(agents []*harness.Agent) (t processorTime, err error) {
	if t.entry, err = cpuOf(s.entries[0].Pid()); err != nil {
		return t, err
	}
	for _, a := range agents {
		used, err := cpuOf(a.Pid())
		if err != nil {
			return t, err
		}
		t.agents += used
	}
	return t, nil
}

// cpuOf reads the processor time of all threads of a process, in nanoseconds.
func cpuOf(pid int) (time.Duration, error) {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return 0, err
	}
	var sum time.Duration
	for _, task := range tasks {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, task.Name()))
		if err != nil {
			continue // the thread has ended
		}
		first, _, _ := strings.Cut(string(data), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("schedstat of %d: %w", pid, err)
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}
