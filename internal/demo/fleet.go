package main

import (
	"fmt"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
)

const (
	model        = "copywriter-7b"
	modelService = "copywriter"
	plainService = "backoffice"
	plainVM      = "backoffice-1"

	defaultCopies = 4
	entryCount    = 2

	startTimeout = 60 * time.Second
	stopTimeout  = 40 * time.Second
	// modelBytes and originRate make a burst that takes some seconds.
	modelBytes = 16 << 20
	chunkBytes = 128 << 10
	originRate = 8 << 20
	linkRate   = 4 << 20
)

var places = []harness.Place{
	{Zone: "stgo-a", Region: "santiago"},
	{Zone: "anf-a", Region: "antofagasta"},
	{Zone: "pmo-a", Region: "puerto-montt"},
}

// system is the fleet of the demo.
type system struct {
	fleet    *harness.Fleet
	operator *harness.Operator
	control  []*harness.Daemon
	entries  []*harness.Daemon
	agents   []*harness.Agent
	plain    *harness.Agent
	// copies is how many VMs hold the model.
	copies int
	origin *harness.Source
	store  *harness.Source
}

// start starts three control servers, two entries, four agents beside engines,
// one agent beside a plain service, an origin and a weight store.
func start(fleet *harness.Fleet, copies int) (*system, error) {
	s := &system{fleet: fleet, copies: copies}
	steps := []func() error{s.startSources, s.startControl, s.startEntries, s.startAgents}
	for _, step := range steps {
		if err := step(); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *system) startSources() (err error) {
	args := []string{
		"-model", model, "-versions", "v1,v2", "-shared-fraction", "0.25",
		"-size", fmt.Sprint(modelBytes), "-chunk-size", fmt.Sprint(chunkBytes),
		"-link-bytes-per-second", fmt.Sprint(originRate),
	}
	if s.origin, err = s.fleet.StartSource("origin", "origin", args...); err != nil {
		return err
	}
	s.store, err = s.fleet.StartSource("store", "store", args...)
	return err
}

func (s *system) startControl() (err error) {
	s.control, err = s.fleet.StartControl("lease = \"6s\"\n", places...)
	if err != nil {
		return err
	}
	s.operator = s.fleet.Operator(s.control)
	return s.operator.AwaitLeader(startTimeout)
}

func (s *system) startEntries() error {
	for i := range entryCount {
		d, err := s.fleet.StartEntry(fmt.Sprintf("entry-%d", i+1), places[i], s.control, "")
		if err != nil {
			return err
		}
		s.entries = append(s.entries, d)
	}
	return nil
}

func (s *system) startAgents() error {
	for i := range s.copies {
		a, err := s.fleet.StartAgent(harness.AgentSpec{
			Name: vmName(i), Place: places[i%len(places)], Service: modelService, Kind: "model",
			Control: s.control, Feeds: s.entries,
			Extra:   fmt.Sprintf("checks_fencing = true\nlink_up_bytes_per_second = %d\nlink_down_bytes_per_second = %d\n", linkRate, linkRate),
			Backend: []string{"-check-fencing", "-concurrency", "16", "-token-time", "10ms", "-load-time", "300ms"},
		})
		if err != nil {
			return err
		}
		s.agents = append(s.agents, a)
	}
	plain, err := s.fleet.StartAgent(harness.AgentSpec{
		Name: plainVM, Place: places[0], Service: plainService, Kind: "plain",
		Control: s.control, Feeds: s.entries,
	})
	s.plain = plain
	return err
}

func vmName(i int) string { return fmt.Sprintf("worker-%d", i+1) }

// inventory is what the demo's operator declares.
func (s *system) inventory() string {
	var b strings.Builder
	for _, p := range places {
		fmt.Fprintf(&b, "[[zone]]\nname = %q\nregion = %q\n", p.Zone, p.Region)
	}
	for i := range s.agents {
		fmt.Fprintf(&b, "[[vm]]\nname = %q\nzone = %q\n", vmName(i), places[i%len(places)].Zone)
	}
	fmt.Fprintf(&b, "[[vm]]\nname = %q\nzone = %q\n", plainVM, places[0].Zone)
	fmt.Fprintf(&b, "[[service]]\nname = %q\nkind = \"model\"\nmodel = %q\npriority = 2\n", modelService, model)
	fmt.Fprintf(&b, "[[service]]\nname = %q\nkind = \"plain\"\n[[service.path]]\nprefix = \"/jobs\"\nat_most_once = true\n", plainService)
	for _, o := range deployment().Organisations {
		fmt.Fprintf(&b, "[[organisation]]\nname = %q\nkey_hashes = [%q]\n", o.Name, harness.KeyHash(o.Name))
	}
	for _, v := range s.origin.Versions {
		fmt.Fprintf(&b, "[[model]]\nmodel = %q\nversion = %q\nmanifest = %q\norigin = %q\nstore = %q\n",
			v.Model, v.Version, v.Manifest, s.origin.URL, s.store.URL)
	}
	return b.String()
}

// rules wants the version on all VMs, and a quarter of them at most out of
// service while a new version is brought up.
func (s *system) rules(version string) string {
	return fmt.Sprintf("[[rule]]\nname = \"drafts\"\nservice = %q\nversion = %q\ncopies = %d\nmin_live = %d\n", modelService, version, s.copies, s.copies-max(1, s.copies/4))
}
