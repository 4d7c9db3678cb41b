// Package registry tracks the running daemons for the leader of the control
// servers: their leases, the revision each has in force and the replicas they
// report.
//
// State: soft, in the leader's memory only; a new leader rebuilds it from the
// announcements of the first lease of its term. Methods depend only on the
// registry and their arguments, which include the time.
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

// Role is the kind of a daemon.
type Role string

// The roles of a daemon.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
)

// Replica is the state of one model version on one VM, as reported by its agent.
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

// Announcement is a daemon's description of itself, sent at intervals to renew
// its lease and at once after a change.
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

// Member returns the record that an agent's announcement asks for.
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

// Daemon is a daemon's newest announcement and when it was received.
type Daemon struct {
	Announcement
	LastSeen time.Time
}

// Config configures a Registry.
type Config struct {
	// Lease is how long a daemon counts as up after its last announcement. Under
	// a new leader every member has one lease to announce itself.
	Lease time.Duration
	// ForgetAfter is how long a member must be down before its record is removed.
	ForgetAfter time.Duration
}

// key identifies a daemon; daemons of different roles may share a name.
type key struct {
	role Role
	name string
}

// Registry holds the daemons that have announced themselves. It is not safe for
// concurrent use.
type Registry struct {
	cfg Config
	// listeningSince is when the reception of announcements last began or resumed
	// after a pause.
	listeningSince time.Time
	// lastExpire is when Expire was last called.
	lastExpire time.Time
	daemons    map[key]*Daemon
	// downSince is when Expire first saw a member as down, by VM.
	downSince map[string]time.Time
}

// New returns an empty registry for a leader whose term starts now.
func New(cfg Config, now time.Time) *Registry {
	return &Registry{
		cfg:            cfg,
		listeningSince: now,
		lastExpire:     now,
		daemons:        make(map[key]*Daemon),
		downSince:      make(map[string]time.Time),
	}
}

// Decision is the result of an announcement.
type Decision struct {
	// Superseded is true if a newer incarnation is known; the announcement was
	// ignored.
	Superseded bool
	// Known is the newest known incarnation.
	Known uint64
	// Propose is true if the member's record has to be changed through the log.
	Propose bool
	// ReportsChanged is true if the replicas differ from the previous
	// announcement's in what a plan depends on.
	ReportsChanged bool
}

// Announce records an announcement and renews the daemon's lease. member is the
// record in force for the VM of that name, nil if there is none.
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

// changesMember reports whether an announcement of next would change the record.
// A member that is leaving remains so until its next incarnation.
func changesMember(member, next inventory.Member) bool {
	sameIncarnation := next.Incarnation == member.Incarnation
	if sameIncarnation && member.State == inventory.MemberLeaving {
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

// Expired is a member whose lease has expired.
type Expired struct {
	VM          string
	Incarnation uint64
	// Forget is true if the member has been down for longer than ForgetAfter and
	// its record is to be removed.
	Forget bool
}

// Expire returns the members without a lease, in the order given, and drops
// daemons that have not announced themselves for dropAfterLeases leases. It must be
// called at least three times per lease: after a longer pause, for example while
// this process was suspended, announcements may have been missed, so every
// member gets a whole lease again.
func (r *Registry) Expire(members []inventory.Member, now time.Time) []Expired {
	if now.Sub(r.lastExpire) > r.cfg.Lease/3 {
		r.listeningSince = now
	}
	r.lastExpire = now
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
	r.dropInactive(now)
	return out
}

// expired reports whether the agent of vm has not announced itself for a whole
// lease in which announcements could be received.
func (r *Registry) expired(vm string, now time.Time) bool {
	last := r.listeningSince
	if d := r.daemons[key{RoleAgent, vm}]; d != nil && d.LastSeen.After(last) {
		last = d.LastSeen
	}
	return now.Sub(last) > r.cfg.Lease
}

// dropAfterLeases is after how many leases without an announcement a daemon is
// dropped from the registry.
const dropAfterLeases = 20

func (r *Registry) dropInactive(now time.Time) {
	for k, d := range r.daemons {
		if now.Sub(d.LastSeen) > dropAfterLeases*r.cfg.Lease {
			delete(r.daemons, k)
		}
	}
}

// HasLease reports whether the daemon's last announcement is at most one lease
// old.
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

// Reports returns the reported replicas of every known agent, by VM.
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

// sameReplicas compares the fields of replicas that a plan depends on; progress
// of a transfer is not among them.
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
