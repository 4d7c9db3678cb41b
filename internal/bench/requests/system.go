package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/replay"
	"lynxgate.dev/lynxgate/internal/standin/engine"
)

const (
	model = "copywriter-7b"
	// pacedService stands on engines that take a fixed time per token, and
	// fastService on one that takes none.
	pacedService = "copywriter"
	fastService  = "sprinter"
	plainService = "backoffice"

	engines      = 4
	concurrency  = 4
	tokenTime    = 10 * time.Millisecond
	startTimeout = 60 * time.Second
)

// organisations: one large and nine small ones.
const (
	largeOrganisation  = "large"
	smallOrganisations = 9
)

var place = harness.Place{Zone: "stgo-a", Region: "santiago"}

// policies that an entry is started with each; the first is the default.
var policies = []string{"balanced", "random", "round-robin"}

// system is the fleet under load.
type system struct {
	fleet    *harness.Fleet
	operator *harness.Operator
	control  []*harness.Daemon
	// entries[0] and [1] stand for the product, byPolicy for comparisons.
	entries  []*harness.Daemon
	byPolicy map[string]*harness.Daemon
	paced    []*harness.Agent
	fast     *harness.Agent
	plain    *harness.Agent
	origin   *harness.Source
	// capacity is the measured capacity of the paced engines for short
	// requests, per second; 0 before it was measured.
	capacity float64
}

// start brings the fleet up and waits until every service answers.
func start(fleet *harness.Fleet) (*system, error) {
	s := &system{fleet: fleet, byPolicy: map[string]*harness.Daemon{}}
	steps := []func() error{s.startControl, s.startEntries, s.startAgents, s.declare, s.awaitAnswers}
	for _, step := range steps {
		if err := step(); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *system) startControl() (err error) {
	s.origin, err = s.fleet.StartSource("origin", "origin",
		"-model", model, "-versions", "v1", "-size", "1048576", "-chunk-size", "65536")
	if err != nil {
		return err
	}
	s.control, err = s.fleet.StartControl("lease = \"6s\"\n", place)
	if err != nil {
		return err
	}
	s.operator = s.fleet.Operator(s.control)
	return s.operator.AwaitLeader(startTimeout)
}

func (s *system) startEntries() error {
	for i := range 2 {
		d, err := s.fleet.StartEntry(fmt.Sprintf("entry-%d", i+1), place, s.control, "")
		if err != nil {
			return err
		}
		s.entries = append(s.entries, d)
	}
	s.byPolicy[policies[0]] = s.entries[0]
	for _, policy := range policies[1:] {
		d, err := s.fleet.StartEntry("entry-"+policy, place, s.control, fmt.Sprintf("policy = %q\n", policy))
		if err != nil {
			return err
		}
		s.byPolicy[policy] = d
	}
	return nil
}

func (s *system) startAgents() (err error) {
	paced := []string{
		"-check-fencing", "-concurrency", fmt.Sprint(concurrency), "-token-time", tokenTime.String(),
		"-prefill-words", "32", "-cache-blocks", "56", "-load-lag", "500ms", "-event-delay", "500ms", "-event-lose-every", "7",
	}
	for i := range engines {
		a, err := s.startAgent(fmt.Sprintf("worker-%d", i+1), pacedService, "model", paced)
		if err != nil {
			return err
		}
		s.paced = append(s.paced, a)
	}
	fast := []string{"-check-fencing", "-concurrency", "64", "-token-time", "0"}
	if s.fast, err = s.startAgent("runner-1", fastService, "model", fast); err != nil {
		return err
	}
	s.plain, err = s.startAgent("office-1", plainService, "plain", nil)
	return err
}

func (s *system) startAgent(name, service, kind string, backend []string) (*harness.Agent, error) {
	extra := ""
	if kind == "model" {
		extra = "checks_fencing = true\n"
	}
	return s.fleet.StartAgent(harness.AgentSpec{
		Name: name, Place: place, Service: service, Kind: kind,
		Control: s.control, Feeds: s.entries, Extra: extra, Backend: backend,
	})
}

func (s *system) agents() []*harness.Agent {
	return append(s.paced[:len(s.paced):len(s.paced)], s.fast, s.plain)
}

// declare applies the inventory and the rules.
func (s *system) declare() error {
	var b strings.Builder
	fmt.Fprintf(&b, "[[zone]]\nname = %q\nregion = %q\n", place.Zone, place.Region)
	for _, a := range s.agents() {
		fmt.Fprintf(&b, "[[vm]]\nname = %q\nzone = %q\n", a.Name, place.Zone)
	}
	for _, name := range []string{pacedService, fastService} {
		fmt.Fprintf(&b, "[[service]]\nname = %q\nkind = \"model\"\nmodel = %q\npriority = 2\n", name, model)
	}
	fmt.Fprintf(&b, "[[service]]\nname = %q\nkind = \"plain\"\n[[service.path]]\nprefix = \"/jobs\"\nat_most_once = true\n", plainService)
	for _, name := range append(smallNames(), largeOrganisation) {
		fmt.Fprintf(&b, "[[organisation]]\nname = %q\nkey_hashes = [%q]\n", name, harness.KeyHash(name))
	}
	for _, v := range s.origin.Versions {
		fmt.Fprintf(&b, "[[model]]\nmodel = %q\nversion = %q\nmanifest = %q\norigin = %q\n", v.Model, v.Version, v.Manifest, s.origin.URL)
	}
	if err := s.operator.Apply("inventory-in.toml", b.String()); err != nil {
		return err
	}
	return s.operator.Apply("rules-in.toml", rule(pacedService, engines)+rule(fastService, 1))
}

func rule(service string, copies int) string {
	return fmt.Sprintf("[[rule]]\nname = %q\nservice = %q\nversion = \"v1\"\ncopies = %d\n", service, service, copies)
}

func smallNames() []string {
	var names []string
	for i := range smallOrganisations {
		names = append(names, fmt.Sprintf("small-%d", i+1))
	}
	return names
}

// warmUp is how long a new replica gets less than its share of requests.
const warmUp = 10 * time.Second

// awaitAnswers waits until all replicas are live and warm.
func (s *system) awaitAnswers() error {
	err := harness.Wait(startTimeout, "all replicas live", func() bool {
		return s.operator.Live(model, "v1") == engines+1
	})
	if err != nil {
		return err
	}
	time.Sleep(warmUp)
	for _, d := range append(s.entries[1:2:2], s.byPolicy["balanced"], s.byPolicy["random"], s.byPolicy["round-robin"]) {
		err := harness.Wait(startTimeout, "an answer through "+d.Name, func() bool {
			return s.answers("http://"+d.CallersAddr, fastService) && s.answers("http://"+d.CallersAddr, pacedService)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *system) answers(target, service string) bool {
	c := newCaller(replay.NewClient(), target, service, 1, false)
	return c.call(context.Background()) == nil
}

// setFaults replaces the fault settings of an engine.
func setFaults(a *harness.Agent, f engine.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+a.BackendAddr+"/_faults", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("faults of %s: status %d", a.Name, resp.StatusCode)
	}
	return nil
}
