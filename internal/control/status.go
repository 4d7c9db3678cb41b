package control

import (
	"context"
	"fmt"
	"sort"
	"time"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/placement"
	"lynxgate.dev/lynxgate/internal/registry"
)

// Status returns this server's status. Only the leader's has the daemons and
// replicas.
func (s *Server) Status(ctx context.Context) (admin.Status, error) {
	reply := make(chan admin.Status, 1)
	if err := s.post(ctx, statusRequested{reply: reply}); err != nil {
		return admin.Status{}, fmt.Errorf("get status: %w", err)
	}
	select {
	case st := <-reply:
		return st, nil
	case <-ctx.Done():
		return admin.Status{}, fmt.Errorf("get status: %w", ctx.Err())
	}
}

// describe returns the status. It must be called from the loop.
func (l *loop) describe() admin.Status {
	st := l.log.Status()
	out := admin.Status{
		Server:          l.cfg.Name,
		Revision:        l.store.Revision(),
		LowestRevision:  l.store.Revision(),
		Leader:          st.LeaderName,
		LeaderAdminAddr: l.adminAddrOf(st),
		Term:            st.Term,
		Quorum:          l.Confirmed(),
		Daemons:         []admin.DaemonStatus{},
		Laggards:        []admin.Laggard{},
	}
	if l.leadership == nil {
		return out
	}
	now := l.cfg.Now()
	counts := make(map[inventory.ModelVersion]*admin.ReplicaCount)
	for _, d := range l.leadership.registry.Daemons() {
		l.describeDaemon(&out, d, now)
		if l.leadership.registry.HasLease(d, now) {
			countReplicas(&out, counts, d)
		}
	}
	l.countWanted(counts)
	out.Replicas = sortedCounts(counts)
	for _, u := range l.leadership.unmet {
		out.Unmet = append(out.Unmet, describeUnmet(u))
	}
	return out
}

func (l *loop) describeDaemon(out *admin.Status, d *registry.Daemon, now time.Time) {
	hasLease := l.leadership.registry.HasLease(d, now)
	if d.Role == registry.RoleControl && d.Name == l.cfg.Name {
		d.Revision, d.Unconfirmed, d.LastSeen = out.Revision, !out.Quorum, now
	}
	out.Daemons = append(out.Daemons, admin.DaemonStatus{
		Name:        d.Name,
		Role:        string(d.Role),
		Zone:        d.Zone,
		Addr:        d.Addr,
		AdminAddr:   d.AdminAddr,
		Service:     d.Service,
		Revision:    d.Revision,
		Unconfirmed: d.Unconfirmed,
		Leaving:     d.Leaving,
		State:       daemonState(d, hasLease),
		LastSeen:    now.Sub(d.LastSeen),
	})
	if hasLease {
		out.LowestRevision = min(out.LowestRevision, d.Revision)
	}
	if reason := lagReason(d, out.Revision, hasLease, now); reason != "" {
		out.Laggards = append(out.Laggards, admin.Laggard{
			Name:     d.Name,
			Revision: d.Revision,
			Behind:   out.Revision - min(out.Revision, d.Revision),
			Reason:   reason,
		})
	}
}

func daemonState(d *registry.Daemon, hasLease bool) string {
	switch {
	case !hasLease:
		return string(inventory.MemberDown)
	case d.Leaving:
		return string(inventory.MemberLeaving)
	default:
		return string(inventory.MemberUp)
	}
}

// lagReason returns why a daemon does not have the newest revision in force, or
// "" if it does or has left.
func lagReason(d *registry.Daemon, revision uint64, hasLease bool, now time.Time) string {
	sinceSeen := now.Sub(d.LastSeen).Round(time.Second)
	switch {
	case !hasLease && !d.Leaving:
		return fmt.Sprintf("not heard of for %s", sinceSeen)
	case !hasLease || d.Revision >= revision && !d.Unconfirmed:
		return ""
	case d.Unconfirmed:
		return "unconfirmed: its sources have no contact with a quorum"
	case d.Revision == 0:
		return "has no configuration yet"
	default:
		return fmt.Sprintf("reported %s ago", sinceSeen)
	}
}

// countReplicas adds an agent's replicas to counts by phase, and its transfers in
// progress to out.
func countReplicas(out *admin.Status, counts map[inventory.ModelVersion]*admin.ReplicaCount, d *registry.Daemon) {
	for _, r := range d.Replicas {
		c := countOf(counts, r.Model, r.Version)
		switch r.Phase {
		case placement.ReplicaLive:
			c.Live++
		case placement.ReplicaFailed:
			c.Failed++
		case placement.ReplicaFetching:
			c.Fetching++
			out.Transfers = append(out.Transfers, admin.Transfer{
				VM:          d.Name,
				Model:       r.Model,
				Version:     r.Version,
				Held:        r.ChunksHeld,
				Total:       r.ChunksTotal,
				OriginBytes: r.OriginBytes,
				PeerBytes:   r.PeerBytes,
				Error:       r.Error,
			})
		default:
			c.Staged++
		}
	}
}

func (l *loop) countWanted(counts map[inventory.ModelVersion]*admin.ReplicaCount) {
	for _, a := range assignments(l.store.View()) {
		for _, w := range a.Wants {
			countOf(counts, w.Model, w.Version).Wanted++
		}
	}
}

func countOf(counts map[inventory.ModelVersion]*admin.ReplicaCount, model, version string) *admin.ReplicaCount {
	k := inventory.ModelVersion{Model: model, Version: version}
	if counts[k] == nil {
		counts[k] = &admin.ReplicaCount{Model: model, Version: version}
	}
	return counts[k]
}

func sortedCounts(counts map[inventory.ModelVersion]*admin.ReplicaCount) []admin.ReplicaCount {
	out := make([]admin.ReplicaCount, 0, len(counts))
	for _, c := range counts {
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Model != out[j].Model {
			return out[i].Model < out[j].Model
		}
		return out[i].Version < out[j].Version
	})
	return out
}

func describeUnmet(u placement.Unmet) admin.Unmet {
	return admin.Unmet{Rule: u.Rule, Reason: string(u.Reason), Wanted: u.Wanted, Possible: u.Possible}
}
