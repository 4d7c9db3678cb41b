package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Place is where a daemon stands.
type Place struct {
	Zone, Region string
}

// Daemon is a started lynxgated with its addresses.
type Daemon struct {
	*Process
	// RPCAddr, HTTPAddr and CallersAddr are IP:port; the last is empty unless
	// the daemon is an entry.
	RPCAddr, HTTPAddr, CallersAddr string

	settings string
}

// StartDaemon runs lynxgated with settings, or runs it again.
func (f *Fleet) StartDaemon(d *Daemon, name string) error {
	p, err := f.Start(name, "lynxgated", "-settings", d.settings)
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

// common are the settings of every role.
func common(name string, place Place, role, ip string) string {
	return fmt.Sprintf(`name = %q
zone = %q
region = %q
roles = [%q]
rpc_addr = "%s:%d"
http_addr = "%s:%d"
drain_timeout = "30s"
`, name, place.Zone, place.Region, role, ip, rpcPort, ip, httpPort)
}

func (f *Fleet) newDaemon(name, ip, text string) (*Daemon, error) {
	path, err := f.Write(name+".toml", text)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		RPCAddr:  fmt.Sprintf("%s:%d", ip, rpcPort),
		HTTPAddr: fmt.Sprintf("%s:%d", ip, httpPort),
		settings: path,
	}
	return d, f.StartDaemon(d, name)
}

// StartControl starts control servers, one in each place.
func (f *Fleet) StartControl(extra string, places ...Place) ([]*Daemon, error) {
	ips := make([]string, len(places))
	var peers strings.Builder
	for i := range places {
		ips[i] = f.IP()
		fmt.Fprintf(&peers, "[[control.peer]]\nname = %q\naddr = \"%s:%d\"\nadmin_addr = \"%s:%d\"\n",
			controlName(i), ips[i], rpcPort, ips[i], httpPort)
	}
	var out []*Daemon
	for i, place := range places {
		text := common(controlName(i), place, "control", ips[i]) +
			fmt.Sprintf("[control]\ndata_dir = %q\n%s", f.path("data-"+controlName(i)), extra) +
			peers.String() +
			fmt.Sprintf("[[control.operator]]\nname = \"ops\"\nkey_hash = %q\n", KeyHash("ops"))
		d, err := f.newDaemon(controlName(i), ips[i], text)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i+1) }

// StartEntry starts an entry.
func (f *Fleet) StartEntry(name string, place Place, control []*Daemon, extra string) (*Daemon, error) {
	ip := f.IP()
	callers := fmt.Sprintf("%s:%d", ip, callersPort)
	text := common(name, place, "entry", ip) +
		fmt.Sprintf("[entry]\ncallers_addr = %q\ncontrol = %s\n%s", callers, addrList(control), extra)
	d, err := f.newDaemon(name, ip, text)
	if err != nil {
		return nil, err
	}
	d.CallersAddr = callers
	return d, nil
}

// AgentSpec describes an agent to start.
type AgentSpec struct {
	Name    string
	Place   Place
	Service string
	// Kind is "model" or "plain".
	Kind    string
	Control []*Daemon
	Feeds   []*Daemon
	// Extra are further settings of the [agent] table.
	Extra string
	// Backend are further flags of the stand-in beside the agent.
	Backend []string
	// BackendAddr is the IP:port of a stand-in that runs already and that
	// several agents stand beside; empty starts one for this agent.
	BackendAddr string
}

// Agent is a started agent with the stand-in beside it.
type Agent struct {
	*Daemon
	Name string
	// Backend is the stand-in's process and BackendAddr its address.
	Backend     *Process
	BackendAddr string
	// Scratch is the agent's scratch folder.
	Scratch string

	backendArgs []string
}

// StartAgent starts an agent and, unless the spec names one that runs, the
// stand-in backend server beside it.
func (f *Fleet) StartAgent(spec AgentSpec) (*Agent, error) {
	ip := f.IP()
	a := &Agent{
		Name:        spec.Name,
		BackendAddr: fmt.Sprintf("%s:%d", ip, backendPort),
		Scratch:     f.path("scratch-" + spec.Name),
	}
	program := "engine"
	scratch := fmt.Sprintf("scratch_dir = %q\n", a.Scratch)
	if spec.Kind == "plain" {
		program, scratch = "service", ""
	}
	if spec.BackendAddr != "" {
		a.BackendAddr = spec.BackendAddr
	} else {
		a.backendArgs = append([]string{program, "-listen", a.BackendAddr}, spec.Backend...)
		if err := f.StartBackend(a); err != nil {
			return nil, err
		}
	}
	text := common(spec.Name, spec.Place, "agent", ip) +
		fmt.Sprintf("[agent]\nservice = %q\nkind = %q\nbackend_addr = %q\ncontrol = %s\n%s%s",
			spec.Service, spec.Kind, a.BackendAddr, addrList(spec.Control), scratch, spec.Extra)
	if len(spec.Feeds) > 0 {
		text += "feeds = " + addrList(spec.Feeds) + "\n"
	}
	d, err := f.newDaemon(spec.Name, ip, text)
	a.Daemon = d
	return a, err
}

// StartBackend runs the stand-in beside an agent, or runs it again.
func (f *Fleet) StartBackend(a *Agent) error {
	p, err := f.Start(a.Name+"-backend", "lynxstandin", a.backendArgs...)
	a.Backend = p
	return err
}

// Version is a model version that a stand-in origin serves.
type Version struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Size     int64  `json:"size"`
	Manifest string `json:"manifest"`
	Digest   string `json:"digest"`
}

// Source is a started origin or weight store.
type Source struct {
	*Process
	URL      string
	Versions []Version
}

// StartSource starts an origin ("origin") or weight store ("store") and waits
// until it has told its versions.
func (f *Fleet) StartSource(name, kind string, args ...string) (*Source, error) {
	addr := fmt.Sprintf("%s:%d", f.IP(), backendPort)
	args = append([]string{kind, "-listen", addr}, args...)
	p, err := f.Start(name, "lynxstandin", args...)
	if err != nil {
		return nil, err
	}
	s := &Source{Process: p, URL: "http://" + addr}
	err = Wait(30*time.Second, name+" to listen", func() bool {
		versions, listening := readVersions(p.LogPath)
		s.Versions = versions
		return listening
	})
	return s, err
}

// readVersions reads the lines that a source prints when it starts.
func readVersions(path string) (versions []Version, listening bool) {
	file, err := os.Open(path)
	if err != nil {
		return nil, false
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Version
			Listening string `json:"listening"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		if line.Manifest != "" {
			versions = append(versions, line.Version)
		}
		listening = listening || line.Listening != ""
	}
	return versions, listening
}

// Wait polls until done reports true; what says what is waited for.
func Wait(timeout time.Duration, what string, done func() bool) error {
	const poll = 20 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(poll) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("waited %v in vain for %s", timeout, what)
}

func addrList(daemons []*Daemon) string {
	addrs := make([]string, len(daemons))
	for i, d := range daemons {
		addrs[i] = fmt.Sprintf("%q", d.RPCAddr)
	}
	return "[" + strings.Join(addrs, ", ") + "]"
}

func (f *Fleet) path(name string) string { return filepath.Join(f.Dir, name) }
