package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lynxgate.dev/lynxgate/internal/configfeed"
	"lynxgate.dev/lynxgate/internal/control/state"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/placement"
	"lynxgate.dev/lynxgate/internal/registry"
)

// targetLoop returns a leader's loop and state machine at the target size: 1,100
// VMs, half of them with a model assigned.
func targetLoop(b *testing.B) (*loop, *state.Machine) {
	const vms, zones = 1100, 12
	store := configfeed.NewStore()
	m := state.New(store)
	inv := inventory.Inventory{
		Services: []inventory.Service{{Name: "writer", Kind: inventory.KindModel, Model: "m"}},
		Models:   []inventory.ModelVersion{{Model: "m", Version: "1", Origin: "http://127.0.0.1:1", Manifest: fmt.Sprintf("%064x", 1)}},
		Rules:    []inventory.Rule{{Name: "r", Service: "writer", Version: "1", Copies: vms / 2}},
	}
	for i := range zones {
		inv.Zones = append(inv.Zones, inventory.Zone{Name: fmt.Sprint("z", i), Region: fmt.Sprint("r", i%3)})
	}
	var members []inventory.Member
	for i := range vms {
		vm := inventory.VM{Name: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", i%zones)}
		inv.VMs = append(inv.VMs, vm)
		members = append(members, inventory.Member{VM: vm.Name, Zone: vm.Zone, Addr: "127.0.0.1:9", Service: "writer",
			Incarnation: 1, State: inventory.MemberUp, Capacity: 1})
	}
	index := uint64(0)
	apply := func(c state.Command) any {
		data, err := state.Encode(c)
		if err != nil {
			b.Fatal(err)
		}
		index++
		return m.Apply(index, data)
	}
	res := apply(state.Change{Time: time.Now(), Limits: state.DefaultLimits, Request: inventory.ChangeRequest{
		OperationID: "1", Operator: "o", Changes: inventory.Diff(nil, inv.Records())}}).(inventory.ChangeResult)
	if res.Verdict != inventory.VerdictAccepted {
		b.Fatal(res.Problems)
	}
	apply(state.Announce{Time: time.Now(), Members: members})
	l := &loop{Server: &Server{store: store}, leadership: &leadership{registry: registry.New(registry.Config{}, time.Now())}}
	plan := placement.Plan(l.planInput(store.View()))
	apply(state.Assign{Time: time.Now(), Base: store.Revision(), Wants: plan.Assignments})
	return l, m
}

func BenchmarkPlanAtTargetSize(b *testing.B) {
	l, _ := targetLoop(b)
	for b.Loop() {
		placement.Plan(l.planInput(l.store.View()))
	}
}

func BenchmarkChangeAtTargetSize(b *testing.B) {
	l, m := targetLoop(b)
	i := 0
	for b.Loop() {
		i++
		value, _ := json.Marshal(inventory.Zone{Name: "z0", Region: fmt.Sprint("r", i%3)})
		data, err := state.Encode(state.Change{Time: time.Now(), Limits: state.DefaultLimits, Request: inventory.ChangeRequest{
			OperationID: fmt.Sprint("c", i), Operator: "o", BaseRevision: l.store.Revision(),
			Changes: []inventory.Change{{Key: "zone/z0", Value: value}}}})
		if err != nil {
			b.Fatal(err)
		}
		m.Apply(uint64(i), data)
	}
}

func BenchmarkSnapshotAtTargetSize(b *testing.B) {
	_, m := targetLoop(b)
	var size int
	for b.Loop() {
		snapshot, err := m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(snapshot)
	}
	b.ReportMetric(float64(size), "bytes")
}
