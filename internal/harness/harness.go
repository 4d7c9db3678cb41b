// Package harness starts a fleet of lynxgate daemons and stand-ins as
// separate processes on loopback, for the demo, the process-level tests and
// the benches. It is a tool of the developers; no daemon uses it.
//
// State: the processes started and the addresses given out. Each process
// gets an IP number of its own below 127.0.0.0/8, so that fleets that run at
// the same time do not meet.
package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Ports of every process; the IP number tells processes apart.
const (
	rpcPort     = 7100
	httpPort    = 7200
	callersPort = 8080
	backendPort = 9000
)

// Key returns the API key or operator key used for name in fleets.
func Key(name string) string { return "key-of-" + name }

// KeyHash returns the hex SHA-256 digest of Key(name).
func KeyHash(name string) string {
	sum := sha256.Sum256([]byte(Key(name)))
	return hex.EncodeToString(sum[:])
}

// Fleet is a set of processes below one folder.
type Fleet struct {
	// Dir holds settings, logs, data and scratch folders.
	Dir string
	// Bin is the folder with the lynxgated and lynxstandin programs.
	Bin string
	// PipeLogs leads output to log files through a pipe: a process then logs on while
	// limits of its own keep it from writing files.
	PipeLogs bool

	subnet string
	// claim keeps other fleets from the subnet for as long as this one is in use.
	claim net.Listener

	mu     sync.Mutex
	nextIP int
	procs  map[string]*Process
}

// NewFleet returns an empty fleet below dir that runs the programs in bin.
func NewFleet(dir, bin string) (*Fleet, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, fmt.Errorf("folder of the fleet: %w", err)
	}
	bin, err = filepath.Abs(bin)
	if err != nil {
		return nil, fmt.Errorf("folder of the programs: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("folder of the fleet: %w", err)
	}
	subnet, claim, err := claimSubnet()
	if err != nil {
		return nil, err
	}
	return &Fleet{Dir: dir, Bin: bin, subnet: subnet, claim: claim, procs: map[string]*Process{}}, nil
}

// claimSubnet draws the subnet of a fleet and claims it against the fleets of all test processes: by a listener on its last address, which
// no process of a fleet gets.
func claimSubnet() (subnet string, claim net.Listener, err error) {
	const maxDraws, claimPort = 100, 7000
	for range maxDraws {
		subnet = fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		if claim, err = net.Listen("tcp", fmt.Sprintf("%s.255:%d", subnet, claimPort)); err == nil {
			return subnet, claim, nil
		}
	}
	return "", nil, fmt.Errorf("subnet of the fleet: %w", err)
}

// IP gives out an IP number on loopback that no other process of the fleet has.
func (f *Fleet) IP() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextIP++
	if f.nextIP > 254 {
		panic("harness: more than 254 addresses in one fleet")
	}
	return fmt.Sprintf("%s.%d", f.subnet, f.nextIP)
}

// Start runs a program of the fleet's Bin folder, or restarts the one that
// ran under that name before.
func (f *Fleet) Start(name, program string, args ...string) (*Process, error) {
	p, err := startProcess(f.Dir, name, filepath.Join(f.Bin, program), f.PipeLogs, args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.procs[name] = p
	f.mu.Unlock()
	return p, nil
}

// Process returns the process last started under name, or nil.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[name]
}

// Write puts a file into the fleet's folder and returns its path.
func (f *Fleet) Write(name, text string) (string, error) {
	path := filepath.Join(f.Dir, name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return "", fmt.Errorf("write %s: %w", name, err)
	}
	return path, nil
}

// Stop ends all named processes gracefully at the same time and returns what
// went wrong.
func (f *Fleet) Stop(timeout time.Duration, names ...string) error {
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		p := f.Process(name)
		if p == nil || !p.Running() {
			continue
		}
		wg.Go(func() { errs[i] = p.Stop(timeout) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// KillAll ends every process that still runs, at once.
func (f *Fleet) KillAll() {
	f.mu.Lock()
	procs := make([]*Process, 0, len(f.procs))
	for _, p := range f.procs {
		procs = append(procs, p)
	}
	f.mu.Unlock()
	for _, p := range procs {
		_ = p.Thaw()
		_ = p.Kill()
	}
}
