package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"lynxgate.dev/lynxgate/internal/adminclient"
	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/inventory"
)

const (
	// service is the plain service that the agents stand for.
	service = "backoffice"
	// organisation is changed again and again to see what a change costs.
	organisation = "bench"

	settleTimeout = 90 * time.Second
	// quiet is waited after everything is in force, so that announcements of
	// it are over.
	quiet = 3 * time.Second
	// watchAll makes entries watch all agents, so that the cost of a watch
	// shows; the target's number of watches is put in when the page is made.
	watchAll = "watch_subset = 1000\n"
)

// places are the 12 zones in 3 regions of the target.
func places() []harness.Place {
	var out []harness.Place
	for zone := range targetZones {
		region := fmt.Sprintf("region-%d", zone%targetRegions+1)
		out = append(out, harness.Place{Zone: fmt.Sprintf("zone-%d", zone+1), Region: region})
	}
	return out
}

// fleet is a set of daemons that grows.
type fleet struct {
	*harness.Fleet
	control []*harness.Daemon
	entries []*harness.Daemon
	agents  []*harness.Agent
	// kinds tells the roles of daemons that are no control servers.
	kinds   map[*harness.Daemon]role
	backend string
	client  *adminclient.Client
	// revision is that of the last change.
	revision uint64
	// weight is the last one given to the organisation.
	weight int
}

// startFleet starts control servers and the backend server that all agents
// stand before, and declares zones, the service and an organisation.
func startFleet(cfg config, name string, servers int) (*fleet, error) {
	h, err := harness.NewFleet(filepath.Join(cfg.dir, name), cfg.bin)
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: h, kinds: map[*harness.Daemon]role{}}
	return f, f.startControl(servers)
}

func (f *fleet) startControl(servers int) error {
	f.backend = f.IP() + ":9000"
	if _, err := f.Start("backend", "lynxstandin", "service", "-listen", f.backend); err != nil {
		return err
	}
	var err error
	if f.control, err = f.StartControl("", places()[:servers]...); err != nil {
		return err
	}
	addrs := make([]string, servers)
	for i, d := range f.control {
		addrs[i] = d.HTTPAddr
	}
	f.client, err = adminclient.New(adminclient.Config{Addrs: addrs, Key: harness.Key("ops")})
	if err != nil {
		return err
	}
	if err := f.settle(); err != nil {
		return err
	}
	return f.apply(f.declarations())
}

func (f *fleet) declarations() inventory.Inventory {
	inv := inventory.Inventory{
		Services:      []inventory.Service{{Name: service, Kind: inventory.KindPlain}},
		Organisations: []inventory.Organisation{f.organisation()},
	}
	for _, p := range places() {
		inv.Zones = append(inv.Zones, inventory.Zone{Name: p.Zone, Region: p.Region})
	}
	return inv
}

func (f *fleet) organisation() inventory.Organisation {
	f.weight++
	return inventory.Organisation{Name: organisation, KeyHashes: []string{harness.KeyHash(organisation)}, Weight: f.weight}
}

// apply makes the records of inv those in force.
func (f *fleet) apply(inv inventory.Inventory) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	var changes []inventory.Change
	for key, value := range inv.Records() {
		changes = append(changes, inventory.Change{Key: key, Value: value})
	}
	reply, err := f.client.Apply(ctx, adminclient.NewOperationID(), f.revision, changes)
	if err != nil {
		return err
	}
	if reply.Verdict != inventory.VerdictAccepted {
		return fmt.Errorf("change not accepted: %+v", reply)
	}
	f.revision = reply.Revision
	return nil
}

// grow starts daemons until there are size of them, entries and agents in the
// proportion of the target, and waits until the fleet is settled.
func (f *fleet) grow(size int) error {
	entries := max(1, size*targetEntries/(targetEntries+targetVMs))
	all := places()
	for i := len(f.entries); i < entries; i++ {
		d, err := f.StartEntry(fmt.Sprintf("entry-%d", i+1), all[i%len(all)], f.control, watchAll)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, d)
		f.kinds[d] = entry
	}
	var declared inventory.Inventory
	for i := len(f.agents); i < size-entries; i++ {
		vm := inventory.VM{Name: fmt.Sprintf("vm-%d", i+1), Zone: all[i%len(all)].Zone}
		declared.VMs = append(declared.VMs, vm)
		if err := f.startAgent(vm.Name, all[i%len(all)]); err != nil {
			return err
		}
	}
	if err := f.apply(declared); err != nil {
		return err
	}
	return f.settleQuietly()
}

func (f *fleet) startAgent(name string, place harness.Place) error {
	a, err := f.StartAgent(harness.AgentSpec{
		Name: name, Place: place, Service: service, Kind: "plain",
		Control: f.control, Feeds: f.entries, BackendAddr: f.backend,
	})
	if err != nil {
		return err
	}
	f.agents = append(f.agents, a)
	f.kinds[a.Daemon] = agent
	return nil
}

// daemons returns all of them, control servers first.
func (f *fleet) daemons() []*harness.Daemon {
	out := append([]*harness.Daemon{}, f.control...)
	out = append(out, f.entries...)
	for _, a := range f.agents {
		out = append(out, a.Daemon)
	}
	return out
}

// settle waits until every daemon is announced with the revision in force.
func (f *fleet) settle() error {
	want := len(f.control) + len(f.entries) + len(f.agents)
	var seen string
	err := harness.Wait(settleTimeout, "the fleet to settle", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		status, err := f.client.Status(ctx)
		seen = fmt.Sprintf("%d of %d daemons, %d behind, %v", len(status.Daemons), want, len(status.Laggards), err)
		settled := err == nil && status.Quorum && len(status.Daemons) == want && len(status.Laggards) == 0
		if !settled {
			time.Sleep(300 * time.Millisecond)
		}
		return settled
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, seen)
	}
	return nil
}

// settleQuietly waits until what follows from settling is over as well.
func (f *fleet) settleQuietly() error {
	if err := f.settle(); err != nil {
		return err
	}
	time.Sleep(quiet)
	return nil
}
