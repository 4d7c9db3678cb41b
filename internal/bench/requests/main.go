// Command bench-requests measures the request path on real processes: an
// engine asked directly against one behind entry and agent, goodput under
// overload, fairness, routing policies, a slow backend server, and kills under
// load. It prints one "name=value" line per figure and exits non-zero when a
// request was lost, doubled, mixed or wrongly said not to have run. A tool of
// the developers.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"

	"lynxgate.dev/lynxgate/internal/harness"
)

// scenario is one part of the bench.
type scenario struct {
	name string
	run  func(*system) error
}

var scenarios = []scenario{
	{"overhead", measureOverhead},
	{"goodput", measureGoodput},
	{"fairness", measureFairness},
	{"routing", measureRouting},
	{"gray", measureGray},
	{"kill", measureKills},
}

func main() {
	dir := flag.String("dir", "out/bench-requests", "folder for settings, logs and data; emptied first")
	bin := flag.String("bin", "bin", "folder with the programs")
	only := flag.String("only", "", "parts to run, comma-separated; empty: all")
	flag.Parse()
	if err := run(*dir, *bin, *only); err != nil {
		fmt.Fprintln(os.Stderr, "bench-requests:", err)
		os.Exit(1)
	}
}

func run(dir, bin, only string) error {
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	fleet, err := harness.NewFleet(dir, bin)
	if err != nil {
		return err
	}
	defer fleet.KillAll()
	note("machine: %d cores, load average %s", runtime.NumCPU(), loadAverage())
	s, err := start(fleet)
	if err != nil {
		return err
	}
	for _, part := range scenarios {
		if only != "" && !strings.Contains(","+only+",", ","+part.name+",") {
			continue
		}
		if err := part.run(s); err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
	}
	note("machine at the end: load average %s", loadAverage())
	return nil
}

// loadAverage returns the machine's load averages as the kernel states them.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

// figure prints one measured value.
func figure(name string, value float64) { fmt.Printf("requests.%s=%.3f\n", name, value) }

// note prints what the figures rest on.
func note(format string, args ...any) { fmt.Printf("# "+format+"\n", args...) }
