package routing

import (
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Event is something that changes a table.
type Event interface{ isEvent() }

// ZonesChanged gives all declared zones.
type ZonesChanged struct{ Zones []inventory.Zone }

// RulesChanged gives all rules and services; their versions are preferred
// when a service has replicas live on several.
type RulesChanged struct {
	Rules    []inventory.Rule
	Services []inventory.Service
}

// VMsChanged gives all declared VMs; drained ones get no new requests.
type VMsChanged struct{ VMs []inventory.VM }

// MemberChanged is a member as the feed has it.
type MemberChanged struct{ Member inventory.Member }

// MemberGone removes a member.
type MemberGone struct{ VM string }

// AgentState is one message of an agent's Watch stream. Messages that are
// older than the last one taken are ignored.
type AgentState struct {
	VM          string
	Incarnation uint64
	Seq         uint64
	Live        []Version
	Leaving     bool
	// InFlight counts the requests of all entries.
	InFlight int
	// ReportedLoad is the backend server's own figure, late, as a share of
	// its concurrency; below 0 it is unknown.
	ReportedLoad float64
	// Concurrency is how many requests run at once; 0 is unknown.
	Concurrency int
	CacheEvents []CacheEvent
}

// CacheEvent hints that a prefix is, or is no longer, cached.
type CacheEvent struct {
	PrefixHash uint64
	Evicted    bool
}

// WatchLost says that an agent's Watch stream broke.
type WatchLost struct{ VM string }

// Tick lets time pass: at least once a second.
type Tick struct{}

// Dispatched says that a request went to a backend server. ID tells the
// requests in flight on one backend server apart.
type Dispatched struct {
	VM string
	ID string
	// Whole is true for an answer that comes in one piece at its end. The time
	// to its first byte is that of the whole work: it is no latency sample,
	// and the answer may wait longer than others before it counts as stalled.
	Whole bool
}

// Counted brings an agent's count of requests in progress, which comes with
// its answers.
type Counted struct {
	VM       string
	InFlight int
}

// FirstToken says that the answer to a request has begun. Without it a long
// stream looks like a request that still waits, until Finished.
type FirstToken struct {
	VM      string
	ID      string
	Elapsed time.Duration
}

// Outcome is how a dispatched request ended.
type Outcome int

// The outcomes of a dispatched request.
const (
	// Completed requests were answered whole.
	Completed Outcome = iota
	// Failed requests ended in an error of the backend server, or unknown.
	Failed
	// Cancelled requests were given up by the caller: no sign of health.
	Cancelled
)

// Finished ends a dispatched request that ran, or may have.
type Finished struct {
	VM      string
	ID      string
	Outcome Outcome
	// FirstToken is the time to the first token or byte; 0 if none came.
	FirstToken time.Duration
	Total      time.Duration
}

// NotRunReason is why a dispatched request certainly did not run.
type NotRunReason int

// The reasons for not running.
const (
	// NotRunLeaving: the agent is leaving.
	NotRunLeaving NotRunReason = iota
	// NotRunVersion: the version is not live there.
	NotRunVersion
	// NotRunFull: the backend server takes no more requests.
	NotRunFull
	// NotRunUnreachable: the agent or its backend server did not take it.
	NotRunUnreachable
)

// NotRun ends a dispatched request that did not run.
type NotRun struct {
	VM      string
	ID      string
	Reason  NotRunReason
	Version Version
}

func (ZonesChanged) isEvent()  {}
func (RulesChanged) isEvent()  {}
func (VMsChanged) isEvent()    {}
func (MemberChanged) isEvent() {}
func (MemberGone) isEvent()    {}
func (AgentState) isEvent()    {}
func (WatchLost) isEvent()     {}
func (Tick) isEvent()          {}
func (Dispatched) isEvent()    {}
func (Counted) isEvent()       {}
func (FirstToken) isEvent()    {}
func (Finished) isEvent()      {}
func (NotRun) isEvent()        {}

// StateFromRPC converts a message of the Watch stream.
func StateFromRPC(m *rpc.AgentState) AgentState {
	s := AgentState{
		VM:           m.GetVm(),
		Incarnation:  m.GetIncarnation(),
		Seq:          m.GetSeq(),
		Leaving:      m.GetLeaving(),
		InFlight:     int(m.GetInFlight()),
		ReportedLoad: m.GetReportedLoad(),
		Concurrency:  int(m.GetConcurrency()),
	}
	for _, v := range m.GetLive() {
		s.Live = append(s.Live, Version{v.GetModel(), v.GetVersion()})
	}
	for _, e := range m.GetCacheEvents() {
		s.CacheEvents = append(s.CacheEvents, CacheEvent{e.GetPrefixHash(), e.GetEvicted()})
	}
	return s
}
