package routing

import (
	"lynxgate.dev/lynxgate/internal/rendezvous"
	"maps"
	"slices"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// Table is an entry's table of backend servers. It is not safe for concurrent
// use; see Router.
type Table struct {
	cfg     Config
	entry   uint64
	regions map[string]string
	servers map[string]*server
	// byService holds the same servers by service, ordered by VM.
	byService map[string][]*server
	// preferred are the versions in rules.
	preferred map[Version]bool
	// drained are the VMs that operators have drained.
	drained map[string]bool
	peers   map[string]peerStats
	view    *View
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg:       cfg,
		entry:     rendezvous.Hash(cfg.Entry),
		regions:   map[string]string{},
		servers:   map[string]*server{},
		preferred: map[Version]bool{},
		peers:     map[string]peerStats{},
	}
}

// Step applies one event and returns the resulting actions. Events about unknown
// VMs are ignored.
func (t *Table) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case ZonesChanged:
		return t.zonesChanged(e)
	case RulesChanged:
		return t.rulesChanged(e)
	case VMsChanged:
		return t.vmsChanged(e)
	case MemberChanged:
		return t.memberChanged(now, e.Member)
	case MemberGone:
		return t.memberGone(now, e.VM)
	case Tick:
		return t.tick(now)
	}
	return t.serverEvent(now, event)
}

// serverEvent applies an event about one backend server.
func (t *Table) serverEvent(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case AgentState:
		if s := t.servers[e.VM]; s != nil && s.applyState(now, e, &t.cfg) {
			t.view = nil
		}
	case WatchLost:
		if s := t.servers[e.VM]; s != nil {
			s.connectionLost = true
			t.view = nil
		}
	case Dispatched:
		if s := t.servers[e.VM]; s != nil {
			s.dispatched(now, e.ID, e.Unstreamed)
		}
	case InFlightCounted:
		if s := t.servers[e.VM]; s != nil {
			s.count.setAgentCount(now, e.InFlight)
		}
	case FirstToken:
		if s := t.servers[e.VM]; s != nil {
			return t.recordSample(now, s, e.ID, e.Elapsed, false)
		}
	case Finished:
		if s := t.servers[e.VM]; s != nil {
			return t.finished(now, s, e)
		}
	case NotRun:
		if s := t.servers[e.VM]; s != nil {
			return t.notRun(now, s, e)
		}
	}
	return nil
}

func (s *server) dispatched(now time.Time, id string, unstreamed bool) {
	s.count.inFlight.Add(1)
	s.count.lastDispatch.Store(now.UnixNano())
	s.waiting[id] = pendingRequest{since: now, unstreamed: unstreamed}
}

func (t *Table) finished(now time.Time, s *server, e Finished) []Action {
	s.release()
	if e.Outcome == Cancelled {
		delete(s.waiting, e.ID)
		return nil
	}
	failed := e.Outcome == Failed
	w, waiting := s.waiting[e.ID]
	if !waiting && !failed {
		return nil // its first token has been counted
	}
	if w.unstreamed {
		return t.recordSample(now, s, e.ID, 0, failed)
	}
	latency := e.FirstToken
	if latency == 0 {
		latency = e.Total
	}
	return t.recordSample(now, s, e.ID, latency, failed)
}

// release ends one of this entry's requests at a backend server.
func (s *server) release() {
	if s.count.inFlight.Add(-1) < 0 {
		s.count.inFlight.Store(0)
	}
}

// recordSample adds one outcome to a backend server's health.
func (t *Table) recordSample(now time.Time, s *server, id string, latency time.Duration, failed bool) []Action {
	delete(s.waiting, id)
	cfg := &t.cfg.Outlier
	if s.health.phase != phaseProbing {
		s.health.recordSample(latency, failed, cfg)
		return nil
	}
	t.view = nil
	if s.health.recordProbe(now, latency, failed, t.peers[s.member.Service], cfg) {
		return []Action{Restored{s.member.VM}}
	}
	if s.health.phase == phaseEjected {
		return []Action{Ejected{s.member.VM, ejectionCause(failed)}}
	}
	return nil
}

func ejectionCause(failed bool) EjectionCause {
	if failed {
		return EjectedFailing
	}
	return EjectedSlow
}

func (t *Table) notRun(now time.Time, s *server, e NotRun) []Action {
	s.release()
	delete(s.waiting, e.ID)
	t.view = nil
	switch e.Reason {
	case NotRunLeaving:
		s.leaving, s.leavingAt = true, now
	case NotRunVersion:
		s.removeLive(e.Version)
	case NotRunFull:
		s.count.setOthers(now, t.cfg.FullUtilisation*float64(t.slots(s)))
	case NotRunUnreachable:
		s.connectionLost = true
		return t.recordSample(now, s, e.ID, 0, true)
	}
	return nil
}

// slots is how many requests a backend server runs at once.
func (t *Table) slots(s *server) int {
	if s.state.Concurrency > 0 {
		return s.state.Concurrency
	}
	return t.cfg.NominalConcurrency
}

func (t *Table) zonesChanged(e ZonesChanged) []Action {
	t.view = nil
	t.regions = map[string]string{}
	for _, z := range e.Zones {
		t.regions[z.Name] = z.Region
	}
	for _, s := range t.servers {
		s.region = t.regions[s.member.Zone]
	}
	return nil
}

func (t *Table) vmsChanged(e VMsChanged) []Action {
	t.view = nil
	t.drained = map[string]bool{}
	for _, vm := range e.VMs {
		t.drained[vm.Name] = vm.Drained
	}
	for name, s := range t.servers {
		s.drained = t.drained[name]
	}
	return nil
}

func (t *Table) rulesChanged(e RulesChanged) []Action {
	t.view = nil
	models := map[string]string{}
	for _, s := range e.Services {
		models[s.Name] = s.Model
	}
	t.preferred = map[Version]bool{}
	for _, r := range e.Rules {
		t.preferred[Version{models[r.Service], r.Version}] = true
	}
	return nil
}

func (t *Table) memberChanged(now time.Time, m inventory.Member) []Action {
	s := t.servers[m.VM]
	if s == nil {
		s = newServer(m)
		s.drained = t.drained[m.VM]
		t.servers[m.VM] = s
	}
	old := s.member
	if m.Incarnation < old.Incarnation {
		return nil
	}
	t.view = nil
	s.member = m
	s.region = t.regions[m.Zone]
	t.reindex()
	if m.Incarnation > old.Incarnation {
		s.resetIncarnation()
	}
	var actions []Action
	if old.Service != m.Service || old.Addr != m.Addr {
		actions = t.unwatch(s)
	}
	if old.Service != m.Service {
		actions = append(actions, t.updateSubset(now, old.Service)...)
	}
	return append(actions, t.updateSubset(now, m.Service)...)
}

func (t *Table) memberGone(now time.Time, vm string) []Action {
	s := t.servers[vm]
	if s == nil {
		return nil
	}
	t.view = nil
	actions := t.unwatch(s)
	delete(t.servers, vm)
	t.reindex()
	return append(actions, t.updateSubset(now, s.member.Service)...)
}

func (t *Table) unwatch(s *server) []Action {
	if !s.watched {
		return nil
	}
	s.watched = false
	return []Action{StopWatch{s.member.VM}}
}

// updateSubset recomputes the subset of a service and starts and stops watches.
func (t *Table) updateSubset(now time.Time, service string) []Action {
	var members []subsetMember
	for _, s := range t.byService[service] {
		if t.eligible(now, s) {
			members = append(members, subsetMember{s.member.VM, s.member.Zone, s.hash})
		}
	}
	chosen := map[string]bool{}
	for _, m := range subset(t.entry, t.cfg.Zone, members, t.cfg.SubsetSize, t.cfg.NearShare) {
		chosen[m.vm] = true
	}
	var actions []Action
	for _, s := range t.byService[service] {
		switch {
		case chosen[s.member.VM] && !s.watched:
			s.watched = true
			actions = append(actions, StartWatch{s.member.VM, s.member.Addr})
		case !chosen[s.member.VM]:
			actions = append(actions, t.unwatch(s)...)
		}
	}
	return actions
}

// eligible reports whether a member may be in the subset. A watched member that
// control marks as down stays while its agent sends messages: control may be
// partitioned from it.
func (t *Table) eligible(now time.Time, s *server) bool {
	switch s.member.State {
	case inventory.MemberLeaving:
		return false
	case inventory.MemberDown:
		return s.watched && now.Sub(s.lastHeartbeat) < t.cfg.HeartbeatTimeout
	default:
		return true
	}
}

// reindex rebuilds byService after a change of membership.
func (t *Table) reindex() {
	t.byService = map[string][]*server{}
	for _, s := range t.servers {
		t.byService[s.member.Service] = append(t.byService[s.member.Service], s)
	}
	for _, list := range t.byService {
		slices.SortFunc(list, func(a, b *server) int { return strings.Compare(a.member.VM, b.member.VM) })
	}
}

// tick ejects the outliers among each service's watched backend servers, and
// replaces members of the subset that are down and no longer send messages.
func (t *Table) tick(now time.Time) []Action {
	t.view = nil
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(t.byService)) {
		var watched []*server
		stale := false
		for _, s := range t.byService[name] {
			if s.watched {
				watched = append(watched, s)
				stale = stale || !t.eligible(now, s)
			}
		}
		peers := computePeerStats(watched, &t.cfg.Outlier)
		t.peers[name] = peers
		actions = append(actions, ejectOutliers(now, watched, peers, &t.cfg.Outlier)...)
		if stale {
			actions = append(actions, t.updateSubset(now, name)...)
		}
	}
	return actions
}

// Pick chooses a backend server from the current view.
func (t *Table) Pick(now time.Time, req Request, rng Rand) (Choice, Reason) {
	return t.View().Pick(now, req, rng)
}
