// Package registry keeps what the leader of the control servers knows about
// the running daemons: their leases, the revision each has in force and the
// replicas they report.
//
// State: soft, in memory of the leader only; a new leader builds it again from
// the announcements that follow within one lease. Every method is a pure step:
// it depends on the registry and its arguments, the time among them.
//
// Messages: Announcement in; Decision and expired members out, which the
// control server turns into proposals to the log.
package registry

import (
	"sort"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/placement"
)

// Role tells daemons apart.
type Role string

// The roles of a daemon.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
)

// Replica is the state of one model version on one VM, as its agent reports it.
type Replica struct {
	Model       string
	Version     string
	Phase       placement.ReplicaPhase
	ChunksHeld  int
	ChunksTotal int
	OriginBytes uint64
	PeerBytes   uint64
	Error       string
}

// Announcement is what a daemon says of itself.
type Announcement struct {
	Name          string
	Role          Role
	Zone          string
	Addr          string
	AdminAddr     string
	Service       string
	Incarnation   uint64
	Leaving       bool
	Revision      uint64
	Unconfirmed   bool
	ChecksFencing bool
	Capacity      int
	Replicas      []Replica
}

// Member is the record of an announced agent.
func (a *Announcement) Member() inventory.Member {
	state := inventory.MemberUp
	if a.Leaving {
		state = inventory.MemberLeaving
	}
	return inventory.Member{
		VM:            a.Name,
		Zone:          a.Zone,
		Addr:          a.Addr,
		Service:       a.Service,
		Incarnation:   a.Incarnation,
		State:         state,
		ChecksFencing: a.ChecksFencing,
		Capacity:      a.Capacity,
		AdminAddr:     a.AdminAddr,
	}
}

// Daemon is an announced daemon.
type Daemon struct {
	Announcement
	LastSeen time.Time
}

// Config holds the times of a registry.
type Config struct {
	// Lease is how long a daemon counts as up after its last announcement. A
	// new leader gives every member one lease to announce itself.
	Lease time.Duration
	// ForgetAfter is how long a member is down before its record is removed.
	ForgetAfter time.Duration
}

// key names a daemon; one name may stand for several roles.
type key struct {
	role Role
	name string
}

// Registry holds the announced daemons.
type Registry struct {
	cfg Config
	// listening is since when announcements could have been heard.
	listening time.Time
	// checked is when leases were looked at last.
	checked time.Time
	daemons map[key]*Daemon
	// downSince says since when a member is seen as down, by VM.
	downSince map[string]time.Time
}

// New makes an empty registry for a leader that starts now.
func New(cfg Config, now time.Time) *Registry {
	return &Registry{
		cfg:       cfg,
		listening: now,
		checked:   now,
		daemons:   make(map[key]*Daemon),
		downSince: make(map[string]time.Time),
	}
}

// Decision says what follows from an announcement.
type Decision struct {
	// Superseded is true when a newer incarnation is known; nothing was noted.
	Superseded bool
	// Known is the newest incarnation known.
	Known uint64
	// Propose is true when the member's record has to change in the log.
	Propose bool
	// ReportsChanged is true when the replicas differ from those before.
	ReportsChanged bool
}

// Announce notes an announcement. member is the record in force for the name,
// nil if there is none.
func (r *Registry) Announce(a Announcement, member *inventory.Member, now time.Time) Decision {
	k := key{a.Role, a.Name}
	old := r.daemons[k]
	known := newestIncarnation(old, member, a.Role)
	if a.Incarnation < known {
		return Decision{Superseded: true, Known: known}
	}
	d := Decision{Known: a.Incarnation}
	d.ReportsChanged = old == nil || !sameReplicas(old.Replicas, a.Replicas)
	r.daemons[k] = &Daemon{Announcement: a, LastSeen: now}
	if a.Role == RoleAgent {
		d.Propose = member == nil || changesMember(*member, a.Member())
	}
	return d
}

// changesMember reports whether announcing next would change the record. A
// member that is leaving stays so within its incarnation.
func changesMember(member, next inventory.Member) bool {
	sameLife := next.Incarnation == member.Incarnation
	if sameLife && member.State == inventory.MemberLeaving {
		next.State = inventory.MemberLeaving
	}
	return next != member
}

func newestIncarnation(old *Daemon, member *inventory.Member, role Role) uint64 {
	var known uint64
	if old != nil {
		known = old.Incarnation
	}
	if role == RoleAgent && member != nil {
		known = max(known, member.Incarnation)
	}
	return known
}

// Expired is a member whose time has run out.
type Expired struct {
	VM          string
	Incarnation uint64
	// Forget is true when the member was down long enough to be removed.
	Forget bool
}

// Expire returns the members without a lease, in the order given, and drops
// daemons that were not heard of for long. Call it at least three times in a
// lease: after a longer pause, as when this process was frozen, nothing could
// be heard, so that every member gets a whole lease again.
func (r *Registry) Expire(members []inventory.Member, now time.Time) []Expired {
	if now.Sub(r.checked) > r.cfg.Lease/3 {
		r.listening = now
	}
	r.checked = now
	var out []Expired
	down := make(map[string]time.Time)
	for _, m := range members {
		if m.State != inventory.MemberDown {
			if r.expired(m.VM, now) {
				out = append(out, Expired{VM: m.VM, Incarnation: m.Incarnation})
			}
			continue
		}
		since, ok := r.downSince[m.VM]
		if !ok {
			since = now
		}
		down[m.VM] = since
		if now.Sub(since) > r.cfg.ForgetAfter {
			out = append(out, Expired{VM: m.VM, Incarnation: m.Incarnation, Forget: true})
		}
	}
	r.downSince = down
	r.dropSilent(now)
	return out
}

// expired reports whether the agent of vm has had a lease's time to announce
// itself and has not.
func (r *Registry) expired(vm string, now time.Time) bool {
	last := r.listening
	if d := r.daemons[key{RoleAgent, vm}]; d != nil && d.LastSeen.After(last) {
		last = d.LastSeen
	}
	return now.Sub(last) > r.cfg.Lease
}

// silentLeases is after how many leases a daemon is dropped from the registry.
const silentLeases = 20

func (r *Registry) dropSilent(now time.Time) {
	for k, d := range r.daemons {
		if now.Sub(d.LastSeen) > silentLeases*r.cfg.Lease {
			delete(r.daemons, k)
		}
	}
}

// HasLease reports whether the daemon was heard of within a lease.
func (r *Registry) HasLease(d *Daemon, now time.Time) bool {
	return now.Sub(d.LastSeen) <= r.cfg.Lease
}

// Daemons returns all daemons, sorted by role and name.
func (r *Registry) Daemons() []*Daemon {
	out := make([]*Daemon, 0, len(r.daemons))
	for _, d := range r.daemons {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Role != out[j].Role {
			return out[i].Role < out[j].Role
		}
		return out[i].Name < out[j].Name
	})
	return out
}

// Reports returns the replicas of every agent that has announced itself.
func (r *Registry) Reports() map[string][]placement.Replica {
	out := make(map[string][]placement.Replica)
	for k, d := range r.daemons {
		if k.role != RoleAgent {
			continue
		}
		replicas := make([]placement.Replica, len(d.Replicas))
		for i, rep := range d.Replicas {
			replicas[i] = placement.Replica{Model: rep.Model, Version: rep.Version, Phase: rep.Phase}
		}
		out[k.name] = replicas
	}
	return out
}

// sameReplicas compares what a plan depends on.
func sameReplicas(a, b []Replica) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Model != b[i].Model || a[i].Version != b[i].Version || a[i].Phase != b[i].Phase {
			return false
		}
	}
	return true
}
