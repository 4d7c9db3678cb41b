package standstill

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// processSampleInterval is how often the threads of watched processes are read.
	processSampleInterval = 50 * time.Millisecond
	// processStallThreshold is the wait of one thread for a processor that counts as a stall of its process. It is shorter
	// than stallThreshold, since a request passes through several threads one after the other.
	processStallThreshold = 50 * time.Millisecond
)

// Watch has a scenario that Run runs repeated also if it failed while a thread of another process waited for a processor,
// for scenarios that judge by the clock of that process. A process that is stopped or blocked does not wait for a processor.
// It has an effect only on systems that account for these waits in /proc, and on t of a scenario.
func Watch(t testing.TB, pid int) {
	r, ok := t.(*scenarioRun)
	if !ok {
		return
	}
	r.processes.add(pid)
}

// Waited returns for how long the threads of the processes that a scenario watches have waited for a processor, as counted by Watch.
func Waited(t testing.TB) time.Duration {
	r, ok := t.(*scenarioRun)
	if !ok {
		return 0
	}
	r.processes.sampleAll()
	r.processes.mu.Lock()
	defer r.processes.mu.Unlock()
	return r.processes.stalled
}

// processMonitor is a stallMeter that samples for how long the threads of processes have waited for a processor.
type processMonitor struct {
	quit, done chan struct{}

	mu   sync.Mutex
	pids []int
	// waited is the total wait of each thread, by the path of its account.
	waited  map[string]time.Duration
	stalled time.Duration
}

func startProcessMonitor() *processMonitor {
	m := &processMonitor{quit: make(chan struct{}), done: make(chan struct{}), waited: map[string]time.Duration{}}
	go func() {
		defer close(m.done)
		ticker := time.NewTicker(processSampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				m.sampleAll()
			case <-m.quit:
				m.sampleAll()
				return
			}
		}
	}()
	return m
}

func (m *processMonitor) add(pid int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pids = append(m.pids, pid)
}

func (m *processMonitor) sampleAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, pid := range m.pids {
		paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
		if err != nil {
			panic(err) // the pattern is malformed
		}
		for _, path := range paths {
			if data, err := os.ReadFile(path); err == nil { // the thread may have ended
				if waited, err := waitOf(string(data)); err == nil {
					m.sample(path, waited)
				}
			}
		}
	}
}

// sample records the total wait of a thread.
func (m *processMonitor) sample(thread string, waited time.Duration) {
	before, known := m.waited[thread]
	m.waited[thread] = waited
	if wait := waited - before; known && wait > processStallThreshold {
		m.stalled += wait
	}
}

// stop ends the sampling and returns the total of the stalls.
func (m *processMonitor) stop() time.Duration {
	close(m.quit)
	<-m.done
	return m.stalled
}

// errNoAccount means that a file is not an account of a thread.
var errNoAccount = errors.New("not an account of a thread")

// waitOf reads the total time that a thread has waited for a processor: the second field of its account, in nanoseconds.
func waitOf(schedstat string) (time.Duration, error) {
	fields := strings.Fields(schedstat)
	if len(fields) < 2 {
		return 0, errNoAccount
	}
	ns, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errNoAccount, err)
	}
	return time.Duration(ns), nil
}
