package systest

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/adminclient"
	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/inventory"
)

const (
	model        = "copywriter-7b"
	modelService = "copywriter"
	plainService = "backoffice"
	organisation = "studio"
	stranger     = "stranger"

	// patience is the generous limit of every wait on a condition.
	patience = 60 * time.Second
	// stopLimit bounds a graceful stop.
	stopLimit = 60 * time.Second

	weightsBytes = 1 << 20
	chunkBytes   = 32 << 10
	// logTail is how much of each log a failed test prints, in bytes.
	logTail = 3000
)

var places = []harness.Place{
	{Zone: "stgo-a", Region: "santiago"},
	{Zone: "anf-a", Region: "antofagasta"},
	{Zone: "pmo-a", Region: "puerto-montt"},
}

// slots bound the fleets that run at the same time.
var slots = make(chan struct{}, 3)

// size says which processes a system has.
type size struct {
	controls, entries, engines, plains int
	// control, entry and agent are further settings of the tables.
	control, entry, agent string
	// engine and source are further flags of the fakes.
	engine, source []string
	// ignoresFencing makes engines that take orders with an old number.
	ignoresFencing bool
}

// system is a running fleet.
type system struct {
	t        *testing.T
	size     size
	fleet    *harness.Fleet
	operator *harness.Operator
	client   *adminclient.Client
	control  []*harness.Daemon
	entries  []*harness.Daemon
	engines  []*harness.Agent
	plains   []*harness.Agent
	origin   *harness.Source
}

// start starts a system with its inventory applied and waits until every
// plain service and the configuration are in force.
func start(t *testing.T, s size) *system {
	t.Helper()
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	fleet, err := harness.NewFleet(t.TempDir(), binDir)
	require.NoError(t, err)
	sys := &system{t: t, size: s, fleet: fleet}
	t.Cleanup(sys.end)
	sys.startControl()
	sys.startOrigin()
	for i := range s.entries {
		d, err := fleet.StartEntry(entryName(i), places[i%len(places)], sys.control, s.entry+feeds(sys.entries))
		require.NoError(t, err)
		sys.entries = append(sys.entries, d)
	}
	for i := range s.engines {
		sys.engines = append(sys.engines, sys.startAgent(engineName(i), "model", i))
	}
	for i := range s.plains {
		sys.plains = append(sys.plains, sys.startAgent(plainName(i), "plain", i))
	}
	require.NoError(t, sys.operator.Apply("inventory-in.toml", sys.inventory()))
	sys.waitInForce()
	return sys
}

// feeds is the setting that makes an entry ask the entries before it for
// configuration when no control server answers.
func feeds(entries []*harness.Daemon) string {
	addrs := make([]string, len(entries))
	for i, e := range entries {
		addrs[i] = fmt.Sprintf("%q", e.RPCAddr)
	}
	return "feeds = [" + strings.Join(addrs, ", ") + "]\n"
}

func entryName(i int) string  { return fmt.Sprintf("entry-%d", i+1) }
func engineName(i int) string { return fmt.Sprintf("worker-%d", i+1) }
func plainName(i int) string  { return fmt.Sprintf("office-%d", i+1) }

func (s *system) startControl() {
	var err error
	settings := "lease = \"8s\"\n" + s.size.control
	s.control, err = s.fleet.StartControl(settings, places[:s.size.controls]...)
	require.NoError(s.t, err)
	s.operator = s.fleet.Operator(s.control)
	s.client = s.clientOf(s.control...)
	s.waitQuorum()
}

// clientOf returns an operators' client of some control servers.
func (s *system) clientOf(control ...*harness.Daemon) *adminclient.Client {
	var addrs []string
	for _, d := range control {
		addrs = append(addrs, d.HTTPAddr)
	}
	c, err := adminclient.New(adminclient.Config{Addrs: addrs, Key: harness.Key("ops"), Patience: patience})
	require.NoError(s.t, err)
	return c
}

func (s *system) startOrigin() {
	if s.size.engines == 0 {
		return
	}
	args := append([]string{
		"-model", model, "-versions", "v1,v2",
		"-size", fmt.Sprint(weightsBytes), "-chunk-size", fmt.Sprint(chunkBytes),
	}, s.size.source...)
	var err error
	s.origin, err = s.fleet.StartSource("origin", "origin", args...)
	require.NoError(s.t, err)
}

func (s *system) startAgent(name, kind string, i int) *harness.Agent {
	spec := harness.AgentSpec{
		Name: name, Place: places[i%len(places)], Kind: kind,
		Control: s.control, Feeds: s.entries, Extra: s.size.agent,
	}
	if kind == "plain" {
		spec.Service = plainService
		spec.Extra = ""
	} else {
		spec.Service = modelService
		spec.Backend = append([]string{"-token-time", "20ms", "-load-time", "200ms", "-concurrency", "32"}, s.size.engine...)
		if !s.size.ignoresFencing {
			spec.Extra += "checks_fencing = true\n"
			spec.Backend = append(spec.Backend, "-check-fencing")
		}
	}
	a, err := s.fleet.StartAgent(spec)
	require.NoError(s.t, err)
	return a
}

// inventory declares everything that was started, without rules.
func (s *system) inventory() string {
	var b strings.Builder
	for _, p := range places {
		fmt.Fprintf(&b, "[[zone]]\nname = %q\nregion = %q\n", p.Zone, p.Region)
	}
	for i := range s.engines {
		fmt.Fprintf(&b, "[[vm]]\nname = %q\nzone = %q\n", engineName(i), places[i%len(places)].Zone)
	}
	for i := range s.plains {
		fmt.Fprintf(&b, "[[vm]]\nname = %q\nzone = %q\n", plainName(i), places[i%len(places)].Zone)
	}
	fmt.Fprintf(&b, "[[service]]\nname = %q\nkind = \"model\"\nmodel = %q\npriority = 2\n", modelService, model)
	fmt.Fprintf(&b, "[[service]]\nname = %q\nkind = \"plain\"\n", plainService)
	fmt.Fprintf(&b, "[[service.path]]\nprefix = \"/jobs\"\nat_most_once = true\n")
	fmt.Fprintf(&b, "[[service.path]]\nprefix = \"/read\"\nidempotent = true\n")
	for _, name := range []string{organisation, stranger} {
		fmt.Fprintf(&b, "[[organisation]]\nname = %q\nkey_hashes = [%q]\n", name, harness.KeyHash(name))
	}
	if s.origin != nil {
		for _, v := range s.origin.Versions {
			fmt.Fprintf(&b, "[[model]]\nmodel = %q\nversion = %q\nmanifest = %q\norigin = %q\n",
				v.Model, v.Version, v.Manifest, s.origin.URL)
		}
	}
	return b.String()
}

// want makes the rule ask for a version on copies VMs.
func (s *system) want(version string, copies, minLive int) {
	s.t.Helper()
	rule := fmt.Sprintf("[[rule]]\nname = \"drafts\"\nservice = %q\nversion = %q\ncopies = %d\nmin_live = %d\n",
		modelService, version, copies, minLive)
	require.NoError(s.t, s.operator.Apply("rule-in.toml", rule))
}

// bringLive brings a version live on every engine, as status and the engines
// themselves report it, and waits until the entries answer from it.
func (s *system) bringLive(version string) {
	s.t.Helper()
	s.want(version, len(s.engines), 0)
	s.waitLive(version, len(s.engines))
}

func (s *system) waitLive(version string, copies int) {
	s.t.Helper()
	s.wait(fmt.Sprintf("%s live on %d engines", version, copies), func() bool {
		return s.operator.Live(model, version) == copies
	})
	for _, e := range s.entries {
		if e.Running() {
			s.wait("an answer through "+e.Name, func() bool {
				return s.complete(e, "warm up").status == 200
			})
		}
	}
}

// waitInForce waits until every running daemon has the newest revision.
func (s *system) waitInForce() {
	s.t.Helper()
	running := 0
	for _, d := range s.daemons() {
		if d.Running() {
			running++
		}
	}
	s.wait("the configuration in force everywhere", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		status, err := s.client.Status(ctx)
		if err != nil || !status.Quorum {
			return false
		}
		up := 0
		for _, d := range status.Daemons {
			if d.State == string(inventory.MemberUp) && d.Revision >= status.Revision && !d.Unconfirmed {
				up++
			}
		}
		return up == running
	})
}

func (s *system) waitQuorum() {
	s.t.Helper()
	s.wait("a control leader with a quorum", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := s.client.Config(ctx, "zone/")
		return err == nil
	})
}

// leader returns the control leader and its index.
func (s *system) leader() (*harness.Daemon, int) {
	s.t.Helper()
	found := -1
	s.wait("a known leader", func() bool {
		status, err := s.client.Status(context.Background())
		if err != nil || !status.Quorum {
			return false
		}
		for i, d := range s.control {
			if d.Name == status.Leader && d.Running() {
				found = i
			}
		}
		return found >= 0
	})
	return s.control[found], found
}

// others returns the control servers but the one with the index.
func (s *system) others(index int) []*harness.Daemon {
	var out []*harness.Daemon
	for i, d := range s.control {
		if i != index {
			out = append(out, d)
		}
	}
	return out
}

// daemons returns all daemons.
func (s *system) daemons() []*harness.Daemon {
	all := append([]*harness.Daemon{}, s.control...)
	all = append(all, s.entries...)
	for _, a := range append(append([]*harness.Agent{}, s.engines...), s.plains...) {
		all = append(all, a.Daemon)
	}
	return all
}

// restart runs a daemon again that was killed.
func (s *system) restart(d *harness.Daemon) {
	s.t.Helper()
	require.NoError(s.t, s.fleet.StartDaemon(d, d.Name))
}

func (s *system) wait(what string, done func() bool) {
	s.t.Helper()
	require.NoError(s.t, harness.Wait(patience, what, done))
}

// logCounters shows how the requests of a daemon ended.
func (s *system) logCounters(d *harness.Daemon) {
	text, ok := metricsText(d)
	if !ok {
		return
	}
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "lynxgate_") && strings.Contains(line, "requests_total{") {
			s.t.Logf("%s: %s", d.Name, line)
		}
	}
}

// end kills what still runs and shows the logs of a failed test.
func (s *system) end() {
	defer s.fleet.KillAll()
	if !s.t.Failed() {
		return
	}
	for _, d := range s.daemons() {
		if d == nil || d.Process == nil {
			continue
		}
		s.logCounters(d)
		data, err := os.ReadFile(d.LogPath)
		if err == nil {
			s.t.Logf("log of %s:\n%s", d.Name, data[max(0, len(data)-logTail):])
		}
	}
}
