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

// leadership is what a leader keeps in the loop; it ends with its term.
type leadership struct {
	term     uint64
	registry *registry.Registry
	// waiting are announcements for the next Announce command.
	waiting []announced
	// inFlight is true while a proposal of the loop is under way.
	inFlight bool
	// planDue is when the next plan is made; zero when none is needed.
	planDue time.Time
	// planRest is until when no plan is made, so that planning takes a
	// bounded share of a core however fast the events come.
	planRest time.Time
	// leasesDue is when leases are looked at next.
	leasesDue time.Time
	// claimsDue is when claims are expired next.
	claimsDue time.Time
	unmet     []placement.Unmet
}

// runLoop owns all that only a leader keeps; nothing else writes it.
func (s *Server) runLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l := &loop{Server: s, ctx: ctx}
	for {
		changed := s.store.Changed()
		l.wake()
		select {
		case e := <-s.events:
			l.handle(e)
		case <-changed:
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
	// leads is nil while this server does not lead.
	leads *leadership
	timer *time.Timer
	// lastRevision is the revision that a plan was last asked for.
	lastRevision uint64
	// promoting is true while an attempt to promote learners is under way.
	promoting  bool
	promoteDue time.Time
}

// wake looks at the log's status and starts what is due.
func (l *loop) wake() {
	st := l.log.Status()
	now := l.cfg.Now()
	l.followLeadership(st, now)
	l.metrics.observe(st, l.store.Revision(), l.Confirmed())
	if l.leads == nil {
		return
	}
	l.promoteLearners(st, now)
	if !l.leads.inFlight {
		l.proposeNext(now)
	}
}

func (l *loop) followLeadership(st replica.Status, now time.Time) {
	leads := st.Role == replica.RoleLeader
	if leads && l.leads != nil && l.leads.term == st.Term {
		return
	}
	if l.leads != nil {
		l.loseLeadership()
		l.cfg.Logger.Info().Uint64("term", st.Term).Msg("leadership lost")
	}
	if !leads {
		return
	}
	l.cfg.Logger.Info().Uint64("term", st.Term).Msg("leadership gained")
	l.leads = &leadership{
		term: st.Term,
		registry: registry.New(registry.Config{
			Lease:       l.cfg.Lease,
			ForgetAfter: l.cfg.ForgetAfter,
		}, now),
		planDue:   now.Add(l.cfg.PlanDelay),
		claimsDue: now.Add(claimExpiryInterval),
	}
}

func (l *loop) loseLeadership() {
	if l.leads == nil {
		return
	}
	for _, a := range l.leads.waiting {
		a.reply <- l.notLeader()
	}
	l.leads = nil
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
		l.announced(e)
	case statusAsked:
		e.reply <- l.describe()
	case proposed:
		l.proposed(e)
	case promoted:
		l.promoting = false
	default:
		panic(fmt.Sprintf("control: no step for event %T", e))
	}
}

// announced notes an announcement and answers it at once, unless the member's
// record has to change in the log first.
func (l *loop) announced(e announced) {
	if l.leads == nil {
		e.reply <- l.notLeader()
		return
	}
	now := l.cfg.Now()
	d := l.leads.registry.Announce(e.announcement, l.member(e.announcement.Name), now)
	if d.ReportsChanged {
		l.wantPlan(now)
	}
	switch {
	case d.Superseded:
		l.metrics.announcements.WithLabelValues("superseded").Inc()
		e.reply <- l.superseded(d.Known)
	case d.Propose:
		l.metrics.announcements.WithLabelValues("proposed").Inc()
		l.leads.waiting = append(l.leads.waiting, e)
	default:
		l.metrics.announcements.WithLabelValues("renewed").Inc()
		e.reply <- l.welcome()
	}
}

func (l *loop) welcome() *rpc.AnnounceResponse {
	return &rpc.AnnounceResponse{
		Status:          rpc.Status_STATUS_OK,
		LeaseMs:         l.cfg.Lease.Milliseconds(),
		Revision:        l.store.Revision(),
		LeaderAddr:      l.cfg.Addr,
		LeaderAdminAddr: l.cfg.AdminAddr,
	}
}

func (l *loop) superseded(known uint64) *rpc.AnnounceResponse {
	resp := l.welcome()
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

// decodeDerived reads a record that only the state machine writes.
func decodeDerived[R any](key string, value []byte) R {
	var record R
	if err := json.Unmarshal(value, &record); err != nil {
		panic(fmt.Sprintf("control: derived record %s: %v", key, err))
	}
	return record
}

func (l *loop) viewChanged() {
	if l.leads != nil && l.lastRevision != l.store.Revision() {
		l.lastRevision = l.store.Revision()
		l.wantPlan(l.cfg.Now())
	}
}

// wantPlan sets the time of the next plan; events until then share it.
func (l *loop) wantPlan(now time.Time) {
	if !l.leads.planDue.IsZero() {
		return
	}
	l.leads.planDue = now.Add(l.cfg.PlanDelay)
	if l.leads.planRest.After(l.leads.planDue) {
		l.leads.planDue = l.leads.planRest
	}
}

// planTimer fires when a plan is due, nil when none is.
func (l *loop) planTimer() <-chan time.Time {
	if l.leads == nil || l.leads.planDue.IsZero() || l.leads.inFlight {
		return nil
	}
	wait := l.leads.planDue.Sub(l.cfg.Now())
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.NewTimer(max(wait, 0))
	return l.timer.C
}
