package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"path/filepath"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/adminclient"
	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/inventory"
)

const (
	serviceName = "writer"
	modelName   = "writer-model"
	// zones and regions are those of the target size.
	zones   = 12
	regions = 3
	// subscribersPerRelay is higher than at the target size, where an entry
	// feeds two or three agents.
	subscribersPerRelay = 10
	// settleTimeout bounds waits for the fleet.
	settleTimeout = 90 * time.Second
	relayPort     = 7300
	// restarted is the subscriber that is restarted. It alone keeps a revision
	// floor: the disk of one machine can't stand for those of all VMs.
	restarted = 0
)

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i%zones) }

// zoneOf spreads processes over zones by their names.
func zoneOf(name string) string {
	h := fnv.New32a()
	h.Write([]byte(name))
	return zoneName(int(h.Sum32() % zones))
}

// fleet is the processes of one size.
type fleet struct {
	*harness.Fleet
	control     []*harness.Daemon
	relays      []*child
	subscribers []*child
	operator    *adminclient.Client
	// base is the revision of the last accepted change.
	base uint64
	// declared counts the bench versions accepted so far.
	declared int
}

// child is a started relay or subscriber.
type child struct {
	*harness.Process
	args []string
}

func startFleet(o options, servers, subscribers int) (*fleet, error) {
	dir := filepath.Join(o.dir, fmt.Sprintf("%dx%d-%d", servers, subscribers, time.Now().UnixNano()))
	f := &fleet{}
	var err error
	if f.Fleet, err = harness.NewFleet(dir, o.bin); err != nil {
		return nil, err
	}
	places := make([]harness.Place, servers)
	for i := range places {
		places[i] = harness.Place{Zone: zoneName(i), Region: fmt.Sprintf("region-%d", i%regions)}
	}
	if f.control, err = f.StartControl("", places...); err != nil {
		return f, err
	}
	if err := f.connectOperator(); err != nil {
		return f, err
	}
	if err := f.declareBase(subscribers); err != nil {
		return f, err
	}
	if err := f.startChildren(subscribers); err != nil {
		return f, err
	}
	return f, f.settle()
}

func (f *fleet) connectOperator() error {
	var addrs []string
	for _, d := range f.control {
		addrs = append(addrs, d.HTTPAddr)
	}
	client, err := adminclient.New(adminclient.Config{
		Addrs:    addrs,
		Key:      harness.Key("ops"),
		Patience: settleTimeout,
		Pause:    func(context.Context, time.Duration) { time.Sleep(20 * time.Millisecond) },
	})
	f.operator = client
	return err
}

func (f *fleet) rpcAddrs() string {
	var addrs []string
	for _, d := range f.control {
		addrs = append(addrs, d.RPCAddr)
	}
	return strings.Join(addrs, ",")
}

func (f *fleet) startChildren(subscribers int) error {
	var relayAddrs []string
	for i := range max(1, subscribers/subscribersPerRelay) {
		name := fmt.Sprintf("entry-%03d", i)
		addr := fmt.Sprintf("%s:%d", f.IP(), relayPort)
		relayAddrs = append(relayAddrs, addr)
		c, err := f.startChild(name, "-mode", "relay", "-name", name, "-listen", addr,
			"-upstreams", f.rpcAddrs(), "-control", f.rpcAddrs())
		if err != nil {
			return err
		}
		f.relays = append(f.relays, c)
	}
	for i := range subscribers {
		name := vmName(i)
		args := []string{"-mode", "subscribe", "-name", name,
			"-upstreams", strings.Join(relayAddrs, ","), "-control", f.rpcAddrs()}
		if i == restarted {
			args = append(args, "-floor", name+".floor")
		}
		c, err := f.startChild(name, args...)
		if err != nil {
			return err
		}
		f.subscribers = append(f.subscribers, c)
	}
	return nil
}

func vmName(i int) string { return fmt.Sprintf("vm-%04d", i) }

func (f *fleet) startChild(name string, args ...string) (*child, error) {
	p, err := f.Start(name, "bench-config", args...)
	return &child{Process: p, args: args}, err
}

func (f *fleet) restartChild(c *child) error {
	p, err := f.Start(c.Name, "bench-config", c.args...)
	c.Process = p
	return err
}

// declareBase declares an inventory in which half of the VMs hold a model.
func (f *fleet) declareBase(subscribers int) error {
	inv := inventory.Inventory{
		Services: []inventory.Service{{Name: serviceName, Kind: inventory.KindModel, Model: modelName}},
		Models:   []inventory.ModelVersion{version(modelName, 1)},
		Rules:    []inventory.Rule{{Name: "copies", Service: serviceName, Version: "1", Copies: subscribers / 2}},
	}
	for i := range zones {
		inv.Zones = append(inv.Zones, inventory.Zone{Name: zoneName(i), Region: fmt.Sprintf("region-%d", i%regions)})
	}
	for i := range subscribers {
		inv.VMs = append(inv.VMs, inventory.VM{Name: vmName(i), Zone: zoneOf(vmName(i))})
	}
	changes := inventory.Diff(nil, inv.Records())
	return f.apply("base", changes)
}

func version(model string, i int) inventory.ModelVersion {
	return inventory.ModelVersion{
		Model:    model,
		Version:  fmt.Sprint(i),
		Manifest: fmt.Sprintf("%064x", i),
		Origin:   "http://10.0.0.1:8080/weights",
	}
}

// declareVersion makes one measured change: a new bench version.
func (f *fleet) declareVersion() error {
	v := version(benchModel, f.declared+1)
	value, err := json.Marshal(v)
	if err != nil {
		return err
	}
	err = f.apply(fmt.Sprintf("version-%d", f.declared+1), []inventory.Change{{Key: v.Key(), Value: value}})
	if err == nil {
		f.declared++
	}
	return err
}

func (f *fleet) apply(id string, changes []inventory.Change) error {
	reply, err := f.operator.Apply(context.Background(), id, f.base, changes)
	if err != nil {
		return fmt.Errorf("change %s: %w", id, err)
	}
	if reply.Verdict != inventory.VerdictAccepted {
		return fmt.Errorf("change %s: %s %v", id, reply.Verdict, reply.Problems)
	}
	f.base = reply.Revision
	return nil
}

// settle waits until all daemons have leases and the revision in force, and
// nothing changes any more.
func (f *fleet) settle() error {
	daemons := len(f.control) + len(f.relays) + len(f.subscribers)
	var last uint64
	stable := 0
	return harness.Wait(settleTimeout, "the fleet to settle", func() bool {
		st, err := f.operator.Status(context.Background())
		if err != nil || len(st.Daemons) < daemons || st.LowestRevision != st.Revision || st.Revision != last {
			last, stable = st.Revision, 0
			time.Sleep(200 * time.Millisecond)
			return false
		}
		stable++
		time.Sleep(200 * time.Millisecond)
		return stable >= 10
	})
}

// leader returns the index of the control server that leads.
func (f *fleet) leader() (int, error) {
	found := -1
	err := harness.Wait(settleTimeout, "a leader", func() bool {
		st, err := f.operator.Status(context.Background())
		if err != nil {
			return false
		}
		for i, d := range f.control {
			if d.Name == st.Leader {
				found = i
			}
		}
		return found >= 0
	})
	return found, err
}
