package control

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/placement"
	"lynxgate.dev/lynxgate/internal/registry"
	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// leadership is the loop's state while this server leads. It is dropped at the
// end of the term.
type leadership struct {
	term     uint64
	registry *registry.Registry
	// waiting are announcements for the next Announce command.
	waiting []announced
	// inFlight is true while a proposal of the loop is in flight.
	inFlight bool
	// planDue is when the next plan is made, zero if none is scheduled.
	planDue time.Time
	// planNotBefore is the earliest time of the next plan. It bounds planning to a
	// share of one core at any rate of events.
	planNotBefore time.Time
	// leasesDue is when leases are checked next.
	leasesDue time.Time
	// claimsDue is when claims are expired next.
	claimsDue time.Time
	unmet     []placement.Unmet
}

// runLoop handles events and starts proposals until ctx ends. No other goroutine
// accesses the state of the leader.
func (s *Server) runLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l := &loop{Server: s, ctx: ctx}
	changed := s.store.Changed()
	for {
		l.runDue()
		select {
		case e := <-s.events:
			l.handle(e)
		case <-changed:
			changed = s.store.Changed()
			l.viewChanged()
		case <-ticker.C:
		case <-l.planTimer():
		case <-ctx.Done():
			l.loseLeadership()
			return ctx.Err()
		}
	}
}

// loop is the state of runLoop's goroutine.
type loop struct {
	*Server
	ctx context.Context
	// leadership is nil while this server does not lead.
	leadership *leadership
	timer      *time.Timer
	// lastRevision is the last revision that a plan was scheduled for.
	lastRevision uint64
	// promoting is true while a round of promoting learners is in progress.
	promoting  bool
	promoteDue time.Time
}

// runDue follows changes of leadership, and on the leader starts the promotions
// and proposals that are due.
func (l *loop) runDue() {
	st := l.log.Status()
	now := l.cfg.Now()
	l.followLeadership(st, now)
	l.metrics.observe(st, l.store.Revision(), l.Confirmed())
	if l.leadership == nil {
		return
	}
	l.promoteLearners(st, now)
	if !l.leadership.inFlight {
		l.proposeNext(now)
	}
}

func (l *loop) followLeadership(st replica.Status, now time.Time) {
	isLeader := st.Role == replica.RoleLeader
	if isLeader && l.leadership != nil && l.leadership.term == st.Term {
		return
	}
	if l.leadership != nil {
		l.loseLeadership()
		l.cfg.Logger.Info().Uint64("term", st.Term).Msg("leadership lost")
	}
	if !isLeader {
		return
	}
	l.cfg.Logger.Info().Uint64("term", st.Term).Msg("leadership gained")
	l.leadership = &leadership{
		term: st.Term,
		registry: registry.New(registry.Config{
			Lease:       l.cfg.Lease,
			RemoveAfter: l.cfg.RemoveAfter,
		}, now),
		planDue:   now.Add(l.cfg.PlanDelay),
		claimsDue: now.Add(claimExpiryInterval),
	}
}

func (l *loop) loseLeadership() {
	if l.leadership == nil {
		return
	}
	for _, a := range l.leadership.waiting {
		a.reply <- l.notLeader()
	}
	l.leadership = nil
}

func (l *loop) notLeader() *rpc.AnnounceResponse {
	return &rpc.AnnounceResponse{
		Status:     rpc.Status_STATUS_NOT_LEADER,
		LeaderAddr: l.otherLeader(),
	}
}

func (l *loop) handle(e event) {
	switch e := e.(type) {
	case announced:
		l.handleAnnounced(e)
	case statusRequested:
		e.reply <- l.describe()
	case proposalDone:
		l.handleProposalDone(e)
	case promotionDone:
		l.promoting = false
	default:
		panic(fmt.Sprintf("control: unhandled event %T", e))
	}
}

// handleAnnounced records an announcement. It is answered at once, unless the member's
// record has to be changed through the log first.
func (l *loop) handleAnnounced(e announced) {
	if l.leadership == nil {
		e.reply <- l.notLeader()
		return
	}
	now := l.cfg.Now()
	d := l.leadership.registry.Announce(e.announcement, l.member(e.announcement.Name), now)
	if d.ReportsChanged {
		l.schedulePlan(now)
	}
	switch {
	case d.Superseded:
		l.metrics.announcements.WithLabelValues("superseded").Inc()
		e.reply <- l.superseded(d.Known)
	case d.Propose:
		l.metrics.announcements.WithLabelValues("proposed").Inc()
		l.leadership.waiting = append(l.leadership.waiting, e)
	default:
		l.metrics.announcements.WithLabelValues("renewed").Inc()
		e.reply <- l.okResponse()
	}
}

func (l *loop) okResponse() *rpc.AnnounceResponse {
	return &rpc.AnnounceResponse{
		Status:          rpc.Status_STATUS_OK,
		LeaseMs:         l.cfg.Lease.Milliseconds(),
		Revision:        l.store.Revision(),
		LeaderAddr:      l.cfg.Addr,
		LeaderAdminAddr: l.cfg.AdminAddr,
	}
}

func (l *loop) superseded(known uint64) *rpc.AnnounceResponse {
	resp := l.okResponse()
	resp.Status = rpc.Status_STATUS_INVALID
	resp.KnownIncarnation = known
	return resp
}

func (l *loop) member(vm string) *inventory.Member {
	e := l.store.View().Get(inventory.PrefixMember + vm)
	if e == nil {
		return nil
	}
	m := decodeDerived[inventory.Member](e.Key, e.Value)
	return &m
}

func (l *loop) members() []inventory.Member {
	entries := l.store.View().Prefix(inventory.PrefixMember)
	members := make([]inventory.Member, len(entries))
	for i, e := range entries {
		members[i] = decodeDerived[inventory.Member](e.Key, e.Value)
	}
	return members
}

// decodeDerived decodes a record that only the state machine writes, and panics
// if it can't.
func decodeDerived[R any](key string, value []byte) R {
	var record R
	if err := json.Unmarshal(value, &record); err != nil {
		panic(fmt.Sprintf("control: derived record %s: %v", key, err))
	}
	return record
}

func (l *loop) viewChanged() {
	if l.leadership != nil && l.lastRevision != l.store.Revision() {
		l.lastRevision = l.store.Revision()
		l.schedulePlan(l.cfg.Now())
	}
}

// schedulePlan schedules a plan unless one is scheduled already, so that all events
// until then share it.
func (l *loop) schedulePlan(now time.Time) {
	if !l.leadership.planDue.IsZero() {
		return
	}
	l.leadership.planDue = now.Add(l.cfg.PlanDelay)
	if l.leadership.planNotBefore.After(l.leadership.planDue) {
		l.leadership.planDue = l.leadership.planNotBefore
	}
}

// planTimer returns a channel that fires when the next plan is due. It is nil if
// no plan is scheduled or a proposal is in flight.
func (l *loop) planTimer() <-chan time.Time {
	if l.leadership == nil || l.leadership.planDue.IsZero() || l.leadership.inFlight {
		return nil
	}
	wait := l.leadership.planDue.Sub(l.cfg.Now())
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.NewTimer(max(wait, 0))
	return l.timer.C
}
