package balance

import (
	"time"

	"lynxgate.dev/lynxgate/internal/follow"
)

// A request that was sent to a VM that stands still can't be taken back: the bytes are read when the VM goes on, however
// long before the connection was closed. So no request is sent to a server of which nothing shows that it runs.

const (
	// reportLag is how old an agent's report is at most when it is received, besides the age that comes with relayed ones: control
	// servers forward reports every follow.ReportForwardInterval, a busy one takes as long again, and both are doubled.
	reportLag = 4 * follow.ReportForwardInterval
	// announcementLag is the same for a server's announcement: control servers forward renewals every 500 ms.
	announcementLag = 1 * time.Second
	// reportMargin is the difference between reportGap and the interval of an agent's reports. A report waits for up to one
	// ReportForwardInterval at a control server, for another one at a busy one; the third is spare.
	reportMargin = 3 * follow.ReportForwardInterval
	// agentDownAge is for how long a server is taken to run since its VM has answered that no agent serves there. It counts from the
	// first such answer after the last sign of the server itself; by its end a server that runs has announced itself.
	agentDownAge = 2500 * time.Millisecond
	// heldBackInterval is the least time between two log lines about one server.
	heldBackInterval = 1 * time.Second
	// writeInterval is the longest usual time between two writes of an engine to a stream, which waits while a long prompt is read.
	writeInterval = 300 * time.Millisecond
	// minReportingShare is the part of a service's servers whose reports must come, so that the others' have stopped because
	// of themselves and not because of a control server.
	minReportingShare = 0.25
	// minSilentServers is the number of servers that have streams and don't write from which on all of them may stand still when no
	// report comes. One or two may have callers that read slowly.
	minSilentServers = 3
	// reportsCheckInterval is how often the servers are counted whose reports come.
	reportsCheckInterval = 50 * time.Millisecond
	// ownPause is the time without any event after which this entry may have stood still itself. For as long after
	// that, old reports and bytes say nothing about servers.
	ownPause = 300 * time.Millisecond
)

// AgentSilent records that the agent beside a chosen server was asked for a slot at askedAt and did not answer in time,
// though its VM did not refuse the connection: the VM may stand still.
func (b *Balancer) AgentSilent(c *Choice, askedAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := c.Server; askedAt.After(s.agentSilentAt) {
		s.agentSilentAt = askedAt
	}
}

// activity records when this entry has run.
type activity struct{ at, resumedAt time.Time }

// note records an event: a report, bytes or a choice.
func (a *activity) note(now time.Time) {
	if now.Sub(a.at) > ownPause {
		a.resumedAt = now
	}
	a.at = now
}

// reports is what the reports of a service's agents tell.
type reports struct {
	countedAt time.Time
	// gap is the age from which on an agent's reports count as stopped.
	gap time.Duration
	// reliable: reports that have stopped mean that the agent or its VM does not run.
	reliable bool
}

// reportGap returns the age of an agent's last report from which on its reports count as stopped, if its service has this many
// servers.
func reportGap(servers int) time.Duration { return follow.ReportInterval(servers) + reportMargin }

// AgentDown records that the VM of a chosen server answered that no agent serves there: it runs, and no reports are to come.
// Further answers tell nothing of the server, which may stand still alone.
func (b *Balancer) AgentDown(c *Choice, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := c.Server; s.agentDownAt.IsZero() || s.lastSign().After(s.agentDownAt) {
		s.agentDownAt = now
	}
}

// lastSign returns when the last byte, announcement, report or decision of the server or its agent was received, or when it was last
// sent a probe that it has answered.
func (s *Server) lastSign() time.Time {
	last := s.health.lastByteAt
	for _, at := range []time.Time{s.seenAt, s.agent.at, s.agentAnsweredAt, s.probes.answeredAt} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// agentDown reports whether the server's VM has answered a moment ago that no agent serves there.
func (s *Server) agentDown(now time.Time) bool { return now.Sub(s.agentDownAt) <= agentDownAge }

// heldBack reports whether a server gets no requests without a reservation since it may stand still, and logs the beginning and
// the end of that, at most once per heldBackInterval.
func (b *Balancer) heldBack(now time.Time, s *Server) bool {
	held := b.mayStandStill(now, s)
	if held == s.heldBackLogged || now.Sub(s.heldBackLoggedAt) < heldBackInterval {
		return held
	}
	s.heldBackLogged, s.heldBackLoggedAt = held, now
	signs, what := s.signs(now), "backend server runs"
	if held {
		what = "backend server may stand still"
	}
	b.cfg.Logger.Info().Str("server", s.ID).Str("addr", s.Addr).Int("unanswered", signs.Unanswered).
		Dur("report_age_ms", signs.ReportAge).Dur("byte_age_ms", signs.ByteAge).Dur("agent_silent_ms", age(now, s.agentSilentAt)).
		Dur("announced_ms", now.Sub(s.seenAt)).Dur("probe_answered_ms", age(now, s.probes.answeredAt)).Msg(what)
	return held
}

// mayStandStill reports whether a server may stand still, so that a request that is sent to it can't be taken back: its agent
// did not answer, or its agent's reports have stopped, and nothing shows that the server has run since.
func (b *Balancer) mayStandStill(now time.Time, s *Server) bool {
	if !s.agentSilentAt.IsZero() && !s.ranAfter(s.agentSilentAt, now) {
		return true
	}
	return b.reportsStopped(now, s)
}

// reportsStopped reports whether the agent's reports have stopped because it or its VM does not run, and the server writes nothing
// and has neither announced itself nor answered a probe since.
func (b *Balancer) reportsStopped(now time.Time, s *Server) bool {
	if s.agent.at.IsZero() || s.agentDown(now) || s.writes(now) || s.answersProbes(now) || s.seenAt.After(s.agent.at.Add(announcementLag)) {
		return false
	}
	r := b.reportsOf(s.record.Service, now)
	return r.reliable && now.Sub(s.agent.at) > r.gap
}

// writes reports whether the server has sent something a moment ago.
func (s *Server) writes(now time.Time) bool { return now.Sub(s.health.lastByteAt) <= writeInterval }

// reportsOf returns what the reports of a service's agents tell. They tell nothing while this entry, or the control servers that
// forward them, may have stood still: then the reports of all or many servers stop, and most of those that have streams go on
// writing to them.
func (b *Balancer) reportsOf(service string, now time.Time) *reports {
	r := b.reports[service]
	if r == nil {
		r = &reports{}
		b.reports[service] = r
	}
	if now.Sub(r.countedAt) < reportsCheckInterval {
		return r
	}
	servers := b.services[service]
	*r = reports{countedAt: now, gap: reportGap(len(servers))}
	reporting, writing, silent := 0, 0, 0
	for _, s := range servers {
		switch {
		case s.agent.at.IsZero():
		case now.Sub(s.agent.at) <= r.gap:
			reporting++
		case s.inFlight == s.unanswered: // it has no stream to write to
		case s.writes(now):
			writing++
		default:
			silent++
		}
	}
	enough := float64(reporting) >= minReportingShare*float64(len(servers))
	r.reliable = now.Sub(b.activity.resumedAt) > ownPause && (enough && silent >= writing || silent >= minSilentServers && writing == 0)
	return r
}

// ranAfter reports whether the server has certainly run after t: it has written something, its agent has reported
// its state or has decided by an answer of it, its VM has refused a connection a moment ago, or it has announced itself or answered
// a probe.
func (s *Server) ranAfter(t, now time.Time) bool {
	return s.agentAnsweredAt.After(t) || s.agentDownAt.After(t) && s.agentDown(now) || s.health.lastByteAt.After(t) || s.agent.resumedAt.After(t) || s.agent.madeAt.After(t.Add(reportLag)) ||
		s.seenAt.After(t.Add(announcementLag)) || s.probes.answeredAt.After(t)
}

// resumption returns when reports were resumed last, if the next one, which control servers have had for age, comes now in a
// service of this many servers. All reports that were made before a pause of reportGap, which is at least reportLag, have been received by
// control servers by its end.
func (r agentReport) resumption(now time.Time, age time.Duration, servers int) time.Time {
	if now.Sub(r.at) >= reportGap(servers) {
		return now.Add(-age)
	}
	return r.resumedAt
}

// Signs are the signs of life of a server as they were known at a choice.
type Signs struct {
	// Unanswered counts this entry's requests there that had neither an event nor a whole answer.
	Unanswered int
	// ReportAge is the age of the last report of its agent, ByteAge that of the last byte received; -1 if there was none.
	ReportAge, ByteAge time.Duration
}

func (s *Server) signs(now time.Time) Signs {
	return Signs{Unanswered: s.unanswered, ReportAge: age(now, s.agent.at), ByteAge: age(now, s.health.lastByteAt)}
}

// age returns the age of something that happened at a time, -1 if it never did.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}
