package harness

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/admin"
)

// Operator runs lynxctl as an operator would.
type Operator struct {
	fleet   *Fleet
	control string
}

// Operator returns an operator of the control servers.
func (f *Fleet) Operator(control []*Daemon) *Operator {
	addrs := make([]string, len(control))
	for i, d := range control {
		addrs[i] = d.HTTPAddr
	}
	return &Operator{fleet: f, control: strings.Join(addrs, ",")}
}

// Run runs one lynxctl command and returns what it printed.
func (o *Operator) Run(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(o.fleet.Bin, "lynxctl"), args...)
	cmd.Dir = o.fleet.Dir
	cmd.Env = append(os.Environ(), "LYNXGATE_CONTROL="+o.control, "LYNXGATE_OPERATOR_KEY="+Key("ops"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("lynxctl %s: %w: %s", args[0], err, out)
	}
	return string(out), nil
}

// Apply writes the TOML text to a file and applies it.
func (o *Operator) Apply(name, text string) error {
	path, err := o.fleet.Write(name, text)
	if err != nil {
		return err
	}
	_, err = o.Run("apply", path)
	return err
}

// Status asks for the system's status.
func (o *Operator) Status() (admin.Status, error) {
	var status admin.Status
	out, err := o.Run("status", "-o", "json")
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal([]byte(out), &status); err != nil {
		return status, fmt.Errorf("decode status: %w", err)
	}
	return status, nil
}

// AwaitLeader waits until a control leader has a quorum.
func (o *Operator) AwaitLeader(timeout time.Duration) error {
	return Wait(timeout, "a control leader", func() bool {
		status, err := o.Status()
		return err == nil && status.Quorum
	})
}

// Live returns how many replicas of a model version are live; 0 when the
// status can't be had now.
func (o *Operator) Live(model, version string) int {
	status, err := o.Status()
	if err != nil {
		return 0
	}
	for _, r := range status.Replicas {
		if r.Model == model && r.Version == version {
			return r.Live
		}
	}
	return 0
}
