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

// proposeNext starts the most urgent proposal that is due, if any. Members come
// before plans, since plans depend on members.
func (l *loop) proposeNext(now time.Time) {
	switch {
	case len(l.leadership.waiting) > 0:
		l.proposeMembers(now)
	case !now.Before(l.leadership.leasesDue) && l.proposeExpired(now):
	case !l.leadership.planDue.IsZero() && !now.Before(l.leadership.planDue):
		l.proposePlan(now)
	case !now.Before(l.leadership.claimsDue):
		l.proposeClaimExpiry(now)
	}
}

func (l *loop) proposeMembers(now time.Time) {
	n := min(len(l.leadership.waiting), maxBatch)
	waiting := l.leadership.waiting[:n:n]
	l.leadership.waiting = l.leadership.waiting[n:]
	members := make([]inventory.Member, len(waiting))
	for i := range waiting {
		members[i] = waiting[i].announcement.Member()
	}
	l.propose(proposal{command: state.Announce{Time: now, Members: members}, waiting: waiting})
}

// proposeExpired proposes to mark members without a lease as down, or to remove
// them, and reports whether there were any.
func (l *loop) proposeExpired(now time.Time) bool {
	l.leadership.leasesDue = now.Add(l.cfg.Lease / leaseChecks)
	expired := l.leadership.registry.Expire(l.members(), now)
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
	l.leadership.planDue = time.Time{}
	view := l.store.View()
	result := placement.Plan(l.planInput(view))
	done := l.cfg.Now()
	l.leadership.planNotBefore = done.Add(planPauseFactor * done.Sub(now))
	l.leadership.unmet = result.Unmet
	l.metrics.unmet.Set(float64(len(result.Unmet)))
	l.metrics.plans.Inc()
	if len(result.Assignments) == 0 {
		return
	}
	wants := firstAssignments(result.Assignments)
	l.propose(proposal{command: state.Assign{Time: now, Base: view.Revision(), Wants: wants}})
}

func (l *loop) proposeClaimExpiry(now time.Time) {
	l.leadership.claimsDue = now.Add(claimExpiryInterval)
	if l.machine.HoldsClaims() {
		l.propose(proposal{command: state.Expire{Now: claims.Millis(now.UnixMilli())}})
	}
}

// propose proposes a command in a goroutine, which posts the result to the loop.
func (l *loop) propose(p proposal) {
	data, err := state.Encode(p.command)
	if err != nil {
		panic(fmt.Sprintf("control: %v", err))
	}
	l.leadership.inFlight = true
	term := l.leadership.term
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, l.cfg.ProposeTimeout)
		defer cancel()
		result, err := l.log.Propose(ctx, data)
		_ = l.post(l.ctx, proposalDone{proposal: p, term: term, result: result, err: err})
	}()
}

// handleProposalDone answers the announcements that the proposal carried.
func (l *loop) handleProposalDone(e proposalDone) {
	l.metrics.countProposal(e.proposal.command, e.err)
	if l.leadership != nil && l.leadership.term == e.term {
		l.leadership.inFlight = false
		l.retryPlan(e)
	}
	for i, a := range e.proposal.waiting {
		a.reply <- l.answerProposed(e, i)
	}
}

// retryPlan schedules a new plan if the proposal was a plan that failed or was
// stale.
func (l *loop) retryPlan(e proposalDone) {
	if _, ok := e.proposal.command.(state.Assign); !ok {
		return
	}
	result, ok := e.result.(state.AssignResult)
	if e.err != nil || !ok || result.Stale {
		l.schedulePlan(l.cfg.Now())
	}
}

func (l *loop) answerProposed(e proposalDone, i int) *rpc.AnnounceResponse {
	result, ok := e.result.(state.AnnounceResult)
	if e.err != nil || !ok {
		resp := l.notLeader()
		resp.Status = statusOf(e.err)
		return resp
	}
	if r := result.Members[i]; r.Superseded {
		return l.superseded(r.Incarnation)
	}
	return l.okResponse()
}

// promoteLearners promotes learners that have caught up to voters.
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
			_ = l.log.Promote(ctx, m) // retried after promoteInterval
		}
		_ = l.post(l.ctx, promotionDone{})
	}()
}
