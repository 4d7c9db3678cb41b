package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"lynxgate.dev/lynxgate/internal/harness"
)

// reading is what one daemon has used since it started, by its own counters
// and by the operating system's accounting.
type reading struct {
	at time.Time
	// Own counters. CPU is in seconds, the rest in bytes and messages.
	ownCPU, ownRSS          float64
	bytesIn, bytesOut       float64
	messagesIn, messagesOut float64
	// The operating system's. Read and written bytes are those of all
	// read and write calls: sockets, files and pipes.
	osCPU, osRSS, osAnon  float64
	osRead, osWritten     float64
	leader                bool
	watchers, subscribers float64
	heap                  float64
}

// read takes a reading of a daemon. The operating system is asked last at the
// start of a window and first at its end, so that reading /metrics is outside
// the window for its figures.
func read(d *harness.Daemon, end bool) (reading, error) {
	r := reading{at: time.Now()}
	steps := []func(*harness.Daemon) error{r.readMetrics, r.readOS}
	if end {
		steps = []func(*harness.Daemon) error{r.readOS, r.readMetrics}
	}
	for _, step := range steps {
		if err := step(d); err != nil {
			return r, fmt.Errorf("%s: %w", d.Name, err)
		}
	}
	return r, nil
}

func (r *reading) readMetrics(d *harness.Daemon) error {
	resp, err := http.Get("http://" + d.HTTPAddr + "/metrics")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	r.ownCPU = sum(families, "process_cpu_seconds_total", "")
	r.ownRSS = sum(families, "process_resident_memory_bytes", "")
	r.heap = sum(families, "go_memstats_heap_inuse_bytes", "")
	r.bytesIn = sum(families, "lynxgate_rpc_bytes_total", "in")
	r.bytesOut = sum(families, "lynxgate_rpc_bytes_total", "out")
	r.messagesIn = sum(families, "lynxgate_rpc_messages_total", "in")
	r.messagesOut = sum(families, "lynxgate_rpc_messages_total", "out")
	r.leader = sum(families, "lynxgate_control_leader", "") == 1
	r.watchers = sum(families, "lynxgate_agent_watchers", "")
	r.subscribers = sum(families, "lynxgate_feed_subscribers", "")
	return nil
}

// sum adds the values of a family, of those with the direction if one is given.
func sum(families map[string]*dto.MetricFamily, name, direction string) float64 {
	var total float64
	for _, m := range families[name].GetMetric() {
		if direction != "" && !hasDirection(m, direction) {
			continue
		}
		total += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return total
}

func hasDirection(m *dto.Metric, direction string) bool {
	for _, pair := range m.Label {
		if pair.GetName() == "direction" {
			return pair.GetValue() == direction
		}
	}
	return false
}

func (r *reading) readOS(d *harness.Daemon) error {
	dir := filepath.Join("/proc", strconv.Itoa(d.Pid()))
	var err error
	if r.osCPU, err = threadSeconds(dir); err != nil {
		return err
	}
	status, err := keyedNumbers(filepath.Join(dir, "status"))
	if err != nil {
		return err
	}
	r.osRSS = status["VmRSS"] * 1024
	r.osAnon = status["RssAnon"] * 1024
	io, err := keyedNumbers(filepath.Join(dir, "io"))
	if err != nil {
		return err
	}
	r.osRead, r.osWritten = io["rchar"], io["wchar"]
	return nil
}

// threadSeconds adds the time on a processor of all threads of a process, in
// seconds. Unlike /proc/PID/stat, schedstat counts nanoseconds.
func threadSeconds(dir string) (float64, error) {
	files, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil {
		return 0, err
	}
	var total float64
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		fields := strings.Fields(string(text))
		ns, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", file, err)
		}
		total += ns / 1e9
	}
	return total, nil
}

// keyedNumbers reads lines such as "VmRSS:	 123 kB".
func keyedNumbers(path string) (map[string]float64, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	numbers := map[string]float64{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, rest, _ := strings.Cut(lines.Text(), ":")
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		if n, err := strconv.ParseFloat(fields[0], 64); err == nil {
			numbers[name] = n
		}
	}
	return numbers, lines.Err()
}

// readAll takes readings of daemons, a few at a time.
func readAll(daemons []*harness.Daemon, end bool) ([]reading, error) {
	const atOnce = 8
	out := make([]reading, len(daemons))
	errs := make([]error, len(daemons))
	slots := make(chan struct{}, atOnce)
	var wg sync.WaitGroup
	for i, d := range daemons {
		slots <- struct{}{}
		wg.Go(func() {
			out[i], errs[i] = read(d, end)
			<-slots
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}
