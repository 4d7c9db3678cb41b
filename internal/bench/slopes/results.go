package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"time"
)

// runInfo says where and when figures were measured.
type runInfo struct {
	Commit   string    `json:"commit"`
	Modified bool      `json:"modified"`
	Began    time.Time `json:"began"`
	Took     string    `json:"took"`
	Cores    int       `json:"cores"`
	Go       string    `json:"go"`
	// LoadBefore and LoadAfter are the machine's load averages over a minute,
	// this tool's own work included in the latter.
	LoadBefore string `json:"load_before"`
	LoadAfter  string `json:"load_after"`
	Window     string `json:"window"`
	Sizes      []int  `json:"sizes"`
	Wide       []int  `json:"wide"`
	Changes    int    `json:"changes"`
}

func describeRun(cfg config) runInfo {
	return runInfo{
		Commit:     output("git", "rev-parse", "--short", "HEAD"),
		Modified:   output("git", "status", "--porcelain", "--untracked-files=no") != "",
		Began:      time.Now().Truncate(time.Second),
		Cores:      runtime.NumCPU(),
		Go:         runtime.Version(),
		LoadBefore: loadAverage(),
		Window:     cfg.window.String(),
		Sizes:      cfg.sizes,
		Wide:       cfg.wide,
		Changes:    cfg.changes,
	}
}

func (r *runInfo) finish() {
	r.LoadAfter = loadAverage()
	r.Took = time.Since(r.Began).Truncate(time.Second).String()
}

// String describes the run in one line.
func (r runInfo) String() string {
	commit := r.Commit
	if r.Modified {
		commit += " with uncommitted changes"
	}
	return fmt.Sprintf("commit %s, %s, %d cores, %s, load average %s before",
		commit, r.Began.Format("2006-01-02 15:04"), r.Cores, r.Go, r.LoadBefore)
}

func output(name string, args ...string) string {
	text, err := exec.Command(name, args...).Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(text))
}

// loadAverage is that of the last minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

// sizeResult is a fleet at one size: what a daemon of each role used idle,
// and what one change cost it.
type sizeResult struct {
	Servers int  `json:"control_servers"`
	Entries int  `json:"entries"`
	Agents  int  `json:"agents"`
	Idle    bill `json:"idle"`
	Change  bill `json:"per_change"`
}

func (s sizeResult) daemons() float64 { return float64(s.Servers + s.Entries + s.Agents) }

// restartResult is what one restart of an agent cost it and the others.
type restartResult struct {
	Servers int   `json:"control_servers"`
	Entries int   `json:"entries"`
	Agents  int   `json:"agents"`
	Agent   usage `json:"agent"`
	Others  bill  `json:"others"`
}

// keyResult is what the roles used while changes were applied to a key space
// with so many added keys.
type keyResult struct {
	Keys     int  `json:"added_keys"`
	Changes  int  `json:"changes"`
	Changing bill `json:"changing"`
}

// pathResult is what the path of requests used at a rate of tokens or requests.
type pathResult struct {
	Streams   float64 `json:"streams"`
	PerSecond float64 `json:"per_second"`
	Use       bill    `json:"use"`
}

// results are all figures of a run.
type results struct {
	Run      runInfo        `json:"run"`
	Sizes    []sizeResult   `json:"sizes"`
	Restart  *restartResult `json:"restart"`
	Keys     []keyResult    `json:"keys"`
	Streams  []pathResult   `json:"streams"`
	Requests []pathResult   `json:"requests"`
	// Slopes are fitted from the others.
	Slopes []slope `json:"slopes"`
}

func (r *results) write(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// readResults reads what write wrote and fits the slopes again.
func readResults(path string) (*results, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &results{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	r.fit()
	return r, nil
}
