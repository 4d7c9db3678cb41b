package follow

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/directory"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// View is the merged state received from all control servers; it is immutable.
type View struct {
	// Table is nil while no configuration is known.
	Table    *fleet.Table
	Versions map[string]ledger.Version
	// Heard says how each model's newest version of weights was first heard of.
	Heard map[string]Heard
	// Evacuations holds the last order about each zone that has had one.
	Evacuations map[string]ledger.Evacuation
	// Servers holds the backend servers by service, including those that have left.
	Servers map[string][]*fleet.BackendServer
	// Entries are those connected to any of the control servers, in the order of names.
	Entries []Entry
}

// Heard is when this daemon first heard of a version of weights, and from which control server.
type Heard struct {
	Version uint64
	Control string
	At      time.Time
}

// Entry is one entry of the fleet.
type Entry struct{ Name, Zone string }

// EntryCount is how many entries share the limits that apply to all together, at least 1.
func (v *View) EntryCount() int { return max(len(v.Entries), 1) }

// Viewer merges updates into views. Within one process a configuration is
// never replaced by an older one.
type Viewer struct {
	decode func(document []byte) (*fleet.Config, error)
	log    zerolog.Logger
	// changed is called after each new view.
	changed func(*View)

	// OnSuspicions is called with the suspicions of an update; it may be nil.
	OnSuspicions func(updates []quarantine.Update)
	// OnSignals is called with the signals of backend servers in an update; it may be nil.
	OnSignals func(updates []backpressure.Update)
	// OnReport is called with each new report of an agent, which it made at least age ago. OnRenewal is called when a server has
	// announced itself without a change. Both may be nil.
	OnReport  func(r *rpc.AgentReport, age time.Duration)
	OnRenewal func(id string, at time.Time)

	view atomic.Pointer[View]

	mu      sync.Mutex
	servers *directory.Directory
	// entries are those connected to each control server, by name.
	entries map[string]map[string]Entry
	// reports are the newest reports of agents, by address of the backend server.
	reports    map[string]*rpc.AgentReport
	nextForget time.Time
}

// forgetInterval is how often servers that have been silent for long are dropped.
const forgetInterval = 5 * time.Second

// NewViewer returns a viewer of servers that announce themselves at this interval, 0
// if it is not known. decode decodes the operators' document; changed may be nil.
func NewViewer(decode func([]byte) (*fleet.Config, error), changed func(*View), interval time.Duration, log zerolog.Logger) *Viewer {
	v := &Viewer{decode: decode, changed: changed, log: log, servers: directory.New(interval), entries: map[string]map[string]Entry{}, reports: map[string]*rpc.AgentReport{}}
	v.view.Store(&View{})
	return v
}

// View returns the newest view.
func (v *Viewer) View() *View { return v.view.Load() }

// ConfigVersion returns the version of the configuration in force, 0 if there is none.
func (v *Viewer) ConfigVersion() uint64 {
	if t := v.View().Table; t != nil {
		return t.Config.Version
	}
	return 0
}

// Update merges an update of a control server, dated at.
func (v *Viewer) Update(source string, u *rpc.FleetUpdate, at Anchor) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.view.Load()
	changed := v.mergeConfig(&next, source, u)
	changed = v.mergeVersions(&next, source, u, at) || changed
	changed = v.mergeEvacuations(&next, source, u) || changed
	if v.mergeServers(u) {
		next.Servers = v.byService()
		changed = true
	}
	changed = v.mergeEntries(&next, source, u) || changed
	v.view.Store(&next) // also times of namings that were refined
	if changed && v.changed != nil {
		v.changed(&next)
	}
	v.mergeReports(u)
	if len(u.Suspicions) > 0 && v.OnSuspicions != nil {
		v.OnSuspicions(SuspicionsFromProto(u.Suspicions, clock.Now()))
	}
	if len(u.Signals) > 0 && v.OnSignals != nil {
		v.OnSignals(SignalsFromProto(u.Signals, clock.Now()))
	}
}

// mergeReports calls OnReport for the reports that are newer than the known ones.
func (v *Viewer) mergeReports(u *rpc.FleetUpdate) {
	for _, r := range u.Reports {
		known := v.reports[r.Addr]
		if known != nil && known.Epoch == r.Epoch && known.Seq >= r.Seq {
			continue
		}
		v.reports[r.Addr] = r
		if v.OnReport != nil {
			v.OnReport(r, time.Duration(u.ReportsAgeMs)*time.Millisecond)
		}
	}
}

// Lost removes the entries listed by a control server whose stream has ended: they may
// no longer be connected to it.
func (v *Viewer) Lost(source string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.entries, source)
}

func (v *Viewer) mergeEntries(next *View, source string, u *rpc.FleetUpdate) bool {
	if u.Entries == nil && u.EntryChanges == nil {
		return false
	}
	if u.Entries != nil {
		v.entries[source] = map[string]Entry{}
	}
	listed := v.entries[source]
	if listed == nil {
		return false // changes of a list that is not known
	}
	for _, e := range append(u.Entries.GetEntries(), u.EntryChanges.GetJoined()...) {
		listed[e.Name] = Entry{Name: e.Name, Zone: e.Zone}
	}
	for _, name := range u.EntryChanges.GetLeft() {
		delete(listed, name)
	}
	all := v.allEntries()
	if slices.Equal(all, next.Entries) {
		return false
	}
	next.Entries = all
	return true
}

// allEntries returns the entries connected to any control server, in the order of names.
func (v *Viewer) allEntries() []Entry {
	var all []Entry
	for _, listed := range v.entries {
		all = slices.AppendSeq(all, maps.Values(listed))
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(all, func(a, b Entry) bool { return a.Name == b.Name })
}

func (v *Viewer) mergeConfig(next *View, source string, u *rpc.FleetUpdate) bool {
	if u.ConfigVersion == 0 || (next.Table != nil && u.ConfigVersion <= next.Table.Config.Version) {
		return false
	}
	document, err := ledger.Inflate(u.Config)
	if err != nil {
		v.log.Error().Err(err).Str("control", source).Uint64("version", u.ConfigVersion).Msg("received configuration cannot be decompressed")
		return false
	}
	config, err := v.decode(document)
	if err != nil {
		v.log.Error().Err(err).Str("control", source).Uint64("version", u.ConfigVersion).Msg("received configuration cannot be decoded")
		return false
	}
	next.Table = fleet.NewTable(config)
	v.log.Info().Str("control", source).Uint64("version", config.Version).Int("routes", len(config.Routes)).
		Int("organisations", len(config.Organisations)).Msg("configuration in force")
	return true
}

func (v *Viewer) mergeEvacuations(next *View, source string, u *rpc.FleetUpdate) bool {
	merged, changed := ledger.MergeEvacuations(next.Evacuations, u.Evacuations, clock.Now())
	for _, zone := range changed {
		e, before := merged[zone], next.Evacuations[zone]
		event := v.log.Info().Str("control", source).Str("zone", zone).Bool("evacuated", e.InForce).Uint64("order", e.Order)
		if e.Order == before.Order {
			event.Dur("earlier_by_ms", before.AppliedAt.Sub(e.AppliedAt)).Msg("time of an order about a zone corrected")
			continue
		}
		event.Msg("evacuation of a zone changed")
	}
	next.Evacuations = merged
	return len(changed) > 0
}

// mergeVersions merges the namings of an update and reports whether that has changed them by more than a refinement
// of times, see ledger.Version.Merge. They count from the time as of which the update was encoded, so that a delay makes no
// time later.
func (v *Viewer) mergeVersions(next *View, source string, u *rpc.FleetUpdate, at Anchor) bool {
	changed := false
	for _, m := range u.Versions {
		known := next.Versions[m.Model]
		named := ledger.NamingFromProto(m, at.AsOf, at.Echoed)
		merged, differs := known.Merge(named)
		next.Versions = withKey(next.Versions, m.Model, merged)
		if !differs {
			continue
		}
		changed = true
		if merged.Number > known.Number {
			next.Heard = withKey(next.Heard, m.Model, Heard{Version: merged.Number, Control: source, At: at.ReceivedAt})
		}
		v.logNaming(source, m.Model, known, merged, m.Version, at)
	}
	return changed
}

// logNaming logs a change of a naming from known to merged.
func (v *Viewer) logNaming(source, model string, known, merged ledger.Version, number uint64, at Anchor) {
	named, kept := merged.Find(number)
	if !kept {
		return // it was a predecessor of the kept ones
	}
	event := v.log.Info().Str("control", source).Str("model", model).Uint64("version", number).Bool("time_unknown", named.TimeUnknown)
	if !named.TimeUnknown {
		event.Dur("age", at.ReceivedAt.Sub(named.AppliedAt))
	}
	if at.Echoed {
		event.Dur("path_ms", at.Path())
	}
	before, corrected := known.Find(number)
	switch {
	case !corrected:
		event.Msg("version of weights named")
	case before.TimeUnknown:
		event.Msg("time of a naming known")
	default:
		event.Dur("earlier_by_ms", before.AppliedAt.Sub(named.AppliedAt)).Msg("time of a naming corrected")
	}
}

// withKey returns a copy of m with this value of a key.
func withKey[T any](m map[string]T, key string, value T) map[string]T {
	out := make(map[string]T, len(m)+1)
	maps.Copy(out, m)
	out[key] = value
	return out
}

func (v *Viewer) mergeServers(u *rpc.FleetUpdate) bool {
	changed := false
	now := clock.Now()
	for _, s := range u.Servers {
		b := ServerFromProto(s, now)
		if v.servers.Merge(b) == directory.Changed {
			changed = true
			v.log.Info().Str("server", b.ID).Int64("born", b.StartUnixMs).Str("service", b.Service).Str("addr", b.Addr).Stringer("state", b.State).
				Uint64("seq", b.Seq).Interface("models", b.Models).Msg("backend server changed")
		}
	}
	for _, s := range u.Seen {
		at := SeenAt(s, now)
		if v.servers.Renew(s.Id, s.Born, s.Seq, at) != directory.Unchanged && v.OnRenewal != nil {
			v.OnRenewal(s.Id, at)
		}
	}
	if now.After(v.nextForget) {
		v.nextForget = now.Add(forgetInterval)
		v.servers.Forget(now)
	}
	return changed
}

func (v *Viewer) byService() map[string][]*fleet.BackendServer {
	out := map[string][]*fleet.BackendServer{}
	for _, b := range v.servers.All() {
		out[b.Service] = append(out[b.Service], b)
	}
	return out
}
