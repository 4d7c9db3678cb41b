package main

import (
	"encoding/json"
	"fmt"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/retry"
)

// assumedRack is how many VMs stand behind one switch.
const assumedRack = 20

// failure is something that goes wrong at the target's size.
type failure struct {
	name string
	// vms and entries are lost, or cut off, at the same time.
	vms, entries float64
	// planned failures end requests in progress first.
	planned bool
	// cut failures lose nothing: what is cut off goes on serving.
	cut bool
}

// failures of the target.
var failures = []failure{
	{name: fmt.Sprintf("a VM is restarted or replaced (%d a day)", targetRestartsPerDay), vms: 1, planned: true},
	{name: fmt.Sprintf("a VM fails (%d a day)", targetFailuresPerDay), vms: 1},
	{name: fmt.Sprintf("a rack or switch, %d VMs", assumedRack), vms: assumedRack,
		entries: assumedRack * float64(targetEntries) / (targetVMs + targetEntries)},
	{name: "an availability zone", vms: float64(targetVMs) / targetZones, entries: float64(targetEntries) / targetZones},
	{name: "a region cut off for minutes", vms: float64(targetVMs) / targetRegions,
		entries: float64(targetEntries) / targetRegions, cut: true},
}

// revisionsPerFailure: the members are down, what they held is assigned
// anew, and later they are back.
const revisionsPerFailure = 3

// failuresTable says what each failure costs. Nothing in it was run at that
// size: it is worked out from the slopes and the policies' settings.
func failuresTable(r *results) string {
	t := newTable("failure", "control messages", "control bytes", "replicas moved", "origin bytes", "answers in progress", "of them cut short")
	for _, f := range failures {
		workers := f.workers()
		moved, answers, refused := digits(workers)+" at most", digits(workers*streamsPerWorker()), digits(f.cutShort())
		if f.planned {
			answers, refused = "end before the stop", "0"
		}
		if f.cut {
			moved += ", once leases have run out"
			answers, refused = "those that cross the cut", "see below"
		}
		t.add(f.name, digits(f.messages(r)), size(f.bytes(r)), moved, originText, answers, refused)
	}
	return t.String()
}

const originText = "0 while another VM holds the version, else one copy"

// workers that are lost.
func (f failure) workers() float64 { return f.vms * targetWorkers / targetVMs }

func streamsPerWorker() float64 { return targetStreams / targetWorkers }

// messages over all daemons, for the revisions of the failure.
func (f failure) messages(r *results) float64 {
	return revisionsPerFailure * r.overall("change_messages_in")
}

// bytes over all daemons: the revisions, and the records that they carry. A
// member's record goes to entries and control servers, an assignment's to
// agents as well.
func (f failure) bytes(r *results) float64 {
	memberTo := float64(targetEntries + targetControl)
	assignTo := memberTo + targetVMs
	records := 2*f.vms*recordBytes(sampleMember)*memberTo + 2*f.workers()*recordBytes(sampleAssignment)*assignTo
	return revisionsPerFailure*r.overall("change_bytes_in") + records
}

// overall adds a resource of one change over all daemons at the target.
func (r *results) overall(name string) float64 {
	return r.slope(leader, name).value() +
		(targetControl-1)*r.slope(follower, name).value() +
		targetEntries*r.slope(entry, name).value() +
		targetVMs*r.slope(agent, name).value()
}

// cutShort is how many answers in progress find no room in the retry budgets
// of the entries that are left, if entries use all workers alike.
func (f failure) cutShort() float64 {
	perEntry := streamsPerEntry * f.workers() / targetWorkers
	requests := retry.DefaultBudget.Window.Seconds() * targetRequestsPerSecond / targetEntries
	retries := retry.DefaultBudget.Share*requests + float64(retry.DefaultBudget.Floor)
	return max(0, perEntry-retries) * (targetEntries - f.entries)
}

const streamsPerEntry = targetStreams / targetEntries

var (
	sampleMember = inventory.Member{
		VM: "worker-0123", Zone: "stgo-a", Addr: "10.12.34.56:7100", Service: "copywriter",
		Incarnation: 1796227252158308758, State: inventory.MemberUp, Capacity: 1, AdminAddr: "10.12.34.56:7200",
	}
	sampleAssignment = inventory.Assignment{
		VM: "worker-0123", Zone: "stgo-a", Addr: "10.12.34.56:7100", Fence: 1234,
		Wants: []inventory.Want{{Model: "copywriter-7b", Version: "2026-12-01", Service: "copywriter", Phase: inventory.PhaseActivate}},
	}
)

// recordBytes is the size of a record with its key in the key space.
func recordBytes(record any) float64 {
	const keyBytes = 20
	value, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", record, err))
	}
	return float64(len(value) + keyBytes)
}
