package control

import (
	"context"
	"fmt"
	"time"

	"lynxgate.dev/lynxgate/internal/claims"
	"lynxgate.dev/lynxgate/internal/control/state"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/placement"
	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// proposeNext starts the most urgent proposal, if there is any: members before
// plans, since plans depend on members.
func (l *loop) proposeNext(now time.Time) {
	switch {
	case len(l.leads.waiting) > 0:
		l.proposeMembers(now)
	case !now.Before(l.leads.leasesDue) && l.proposeExpired(now):
	case !l.leads.planDue.IsZero() && !now.Before(l.leads.planDue):
		l.proposePlan(now)
	case !now.Before(l.leads.claimsDue):
		l.proposeClaimExpiry(now)
	}
}

func (l *loop) proposeMembers(now time.Time) {
	n := min(len(l.leads.waiting), maxBatch)
	waiting := l.leads.waiting[:n:n]
	l.leads.waiting = l.leads.waiting[n:]
	members := make([]inventory.Member, len(waiting))
	for i := range waiting {
		members[i] = waiting[i].announcement.Member()
	}
	l.propose(proposal{command: state.Announce{Time: now, Members: members}, waiting: waiting})
}

// proposeExpired proposes the members without a lease as down and reports
// whether there were any.
func (l *loop) proposeExpired(now time.Time) bool {
	l.leads.leasesDue = now.Add(l.cfg.Lease / leaseChecks)
	expired := l.leads.registry.Expire(l.members(), now)
	if len(expired) == 0 {
		return false
	}
	down := state.Down{Time: now, Members: make([]state.Expired, len(expired))}
	for i, e := range expired {
		down.Members[i] = state.Expired(e)
	}
	l.metrics.expired.Add(float64(len(expired)))
	l.propose(proposal{command: down})
	return true
}

func (l *loop) proposePlan(now time.Time) {
	l.leads.planDue = time.Time{}
	view := l.store.View()
	result := placement.Plan(l.planInput(view))
	done := l.cfg.Now()
	l.leads.planRest = done.Add(planRestFactor * done.Sub(now))
	l.leads.unmet = result.Unmet
	l.metrics.unmet.Set(float64(len(result.Unmet)))
	l.metrics.plans.Inc()
	if len(result.Assignments) == 0 {
		return
	}
	wants := firstAssignments(result.Assignments)
	l.propose(proposal{command: state.Assign{Time: now, Base: view.Revision(), Wants: wants}})
}

func (l *loop) proposeClaimExpiry(now time.Time) {
	l.leads.claimsDue = now.Add(claimExpiryInterval)
	if l.machine.HoldsClaims() {
		l.propose(proposal{command: state.Expire{Now: claims.Millis(now.UnixMilli())}})
	}
}

// propose hands a command to the log in a goroutine that reports back.
func (l *loop) propose(work proposal) {
	data, err := state.Encode(work.command)
	if err != nil {
		panic(fmt.Sprintf("control: %v", err))
	}
	l.leads.inFlight = true
	term := l.leads.term
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, l.cfg.ProposeTimeout)
		defer cancel()
		result, err := l.log.Propose(ctx, data)
		_ = l.post(l.ctx, proposed{work: work, term: term, result: result, err: err})
	}()
}

// proposed answers those who waited for a proposal.
func (l *loop) proposed(e proposed) {
	l.metrics.countProposal(e.work.command, e.err)
	if l.leads != nil && l.leads.term == e.term {
		l.leads.inFlight = false
		l.retryPlan(e)
	}
	for i, a := range e.work.waiting {
		a.reply <- l.answerProposed(e, i)
	}
}

// retryPlan plans again after a plan that was stale or lost.
func (l *loop) retryPlan(e proposed) {
	if _, ok := e.work.command.(state.Assign); !ok {
		return
	}
	result, ok := e.result.(state.AssignResult)
	if e.err != nil || !ok || result.Stale {
		l.wantPlan(l.cfg.Now())
	}
}

func (l *loop) answerProposed(e proposed, i int) *rpc.AnnounceResponse {
	result, ok := e.result.(state.AnnounceResult)
	if e.err != nil || !ok {
		resp := l.notLeader()
		resp.Status = statusOf(e.err)
		return resp
	}
	if r := result.Members[i]; r.Superseded {
		return l.superseded(r.Incarnation)
	}
	return l.welcome()
}

// promoteLearners makes voters of learners that have caught up.
func (l *loop) promoteLearners(st replica.Status, now time.Time) {
	if l.promoting || now.Before(l.promoteDue) {
		return
	}
	l.promoteDue = now.Add(promoteInterval)
	var learners []replica.Member
	for _, m := range st.Members {
		if m.Learner {
			learners = append(learners, m)
		}
	}
	if len(learners) == 0 {
		return
	}
	l.promoting = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, promoteInterval)
		defer cancel()
		for _, m := range learners {
			_ = l.log.Promote(ctx, m) // tried again while it is a learner
		}
		_ = l.post(l.ctx, promoted{})
	}()
}
