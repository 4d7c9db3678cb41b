package routing

import (
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Event is an input of a table: one of the types below.
type Event interface{ isEvent() }

// ZonesChanged replaces all declared zones.
type ZonesChanged struct{ Zones []inventory.Zone }

// RulesChanged replaces all rules and services. The versions in rules are
// preferred when a service has replicas live on several versions.
type RulesChanged struct {
	Rules    []inventory.Rule
	Services []inventory.Service
}

// VMsChanged replaces all declared VMs. Drained ones get no new requests.
type VMsChanged struct{ VMs []inventory.VM }

// MemberChanged adds or updates a member, as received from the feed.
type MemberChanged struct{ Member inventory.Member }

// MemberGone removes a member.
type MemberGone struct{ VM string }

// AgentState is one message of an agent's Watch stream. Messages older than the
// latest one applied are ignored.
type AgentState struct {
	VM          string
	Incarnation uint64
	Seq         uint64
	Live        []Version
	Leaving     bool
	// InFlight counts the requests of all entries.
	InFlight int
	// ReportedLoad is the load that the backend server reports, with a delay,
	// as a share of its concurrency; below 0 it is unknown.
	ReportedLoad float64
	// Concurrency is how many requests run at once; 0 if unknown.
	Concurrency int
	CacheEvents []CacheEvent
}

// CacheEvent is a hint that a prefix was cached or evicted.
type CacheEvent struct {
	PrefixHash uint64
	Evicted    bool
}

// WatchLost reports that an agent's Watch stream failed.
type WatchLost struct{ VM string }

// Tick runs outlier detection and updates the subsets; it is due at least once a
// second.
type Tick struct{}

// Dispatched reports that a request went to a backend server. ID identifies it
// among the requests in flight there.
type Dispatched struct {
	VM string
	ID string
	// Unstreamed is true for an answer that is not streamed. The time to its first
	// byte is that of the whole request, so it is no latency sample, and the
	// request may wait longer than others before it counts as stalled.
	Unstreamed bool
}

// InFlightCounted is an agent's count of requests in flight, received with an answer.
type InFlightCounted struct {
	VM       string
	InFlight int
}

// FirstToken reports that the answer to a request has begun. Without it, a long
// stream would count as waiting for its first token until Finished.
type FirstToken struct {
	VM      string
	ID      string
	Elapsed time.Duration
}

// Outcome is how a dispatched request ended.
type Outcome int

// The outcomes of a dispatched request.
const (
	// Completed requests got a complete answer.
	Completed Outcome = iota
	// Failed requests ended with an error of the backend server or with an
	// unknown outcome.
	Failed
	// Cancelled requests were given up by the caller; they say nothing about
	// health.
	Cancelled
)

// Finished ends a dispatched request that ran or may have run.
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
	// NotRunFull: the backend server accepts no more requests.
	NotRunFull
	// NotRunUnreachable: the agent or its backend server did not accept it.
	NotRunUnreachable
)

// NotRun ends a dispatched request that did not run.
type NotRun struct {
	VM      string
	ID      string
	Reason  NotRunReason
	Version Version
}

func (ZonesChanged) isEvent()    {}
func (RulesChanged) isEvent()    {}
func (VMsChanged) isEvent()      {}
func (MemberChanged) isEvent()   {}
func (MemberGone) isEvent()      {}
func (AgentState) isEvent()      {}
func (WatchLost) isEvent()       {}
func (Tick) isEvent()            {}
func (Dispatched) isEvent()      {}
func (InFlightCounted) isEvent() {}
func (FirstToken) isEvent()      {}
func (Finished) isEvent()        {}
func (NotRun) isEvent()          {}

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
