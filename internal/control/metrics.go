package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"lynxgate.dev/lynxgate/internal/control/state"
	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/rpc"
)

type metrics struct {
	leader        prometheus.Gauge
	term          prometheus.Gauge
	revision      prometheus.Gauge
	confirmed     prometheus.Gauge
	unmet         prometheus.Gauge
	plans         prometheus.Counter
	expired       prometheus.Counter
	proposals     *prometheus.CounterVec
	announcements *prometheus.CounterVec
	changes       *prometheus.CounterVec
	claims        *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) metrics {
	m := metrics{
		leader:    gauge("lynxgate_control_leader", "1 while this server leads."),
		term:      gauge("lynxgate_control_term", "Term of the replicated log."),
		revision:  gauge("lynxgate_control_revision", "Revision of the key space at this server."),
		confirmed: gauge("lynxgate_control_confirmed", "1 while this server's state is confirmed with a quorum."),
		unmet:     gauge("lynxgate_control_unmet_rules", "Rules that the last plan could not meet."),
		plans:     counter("lynxgate_control_plans_total", "Plans made."),
		expired:   counter("lynxgate_control_expired_members_total", "Members whose lease expired."),
		proposals: counters("lynxgate_control_proposals_total", "Proposals to the replicated log.", "command", "status"),
		announcements: counters("lynxgate_control_announcements_total",
			"Announcements of daemons.", "result"),
		changes: counters("lynxgate_control_changes_total", "Operators' changes.", "verdict"),
		claims:  counters("lynxgate_control_claims_total", "Claims of at-most-once requests.", "verdict"),
	}
	if reg != nil {
		reg.MustRegister(m.leader, m.term, m.revision, m.confirmed, m.unmet, m.plans,
			m.expired, m.proposals, m.announcements, m.changes, m.claims)
	}
	return m
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func (m metrics) observe(st replica.Status, revision uint64, confirmed bool) {
	m.leader.Set(boolValue(st.Role == replica.RoleLeader))
	m.term.Set(float64(st.Term))
	m.revision.Set(float64(revision))
	m.confirmed.Set(boolValue(confirmed))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m metrics) countProposal(c state.Command, err error) {
	m.proposals.WithLabelValues(commandLabel(c), statusLabel(statusOf(err))).Inc()
}

func commandLabel(c state.Command) string {
	switch c.(type) {
	case state.Change:
		return "change"
	case state.Announce:
		return "announce"
	case state.Down:
		return "down"
	case state.Assign:
		return "assign"
	case state.Claim:
		return "claim"
	case state.Settle:
		return "settle"
	default:
		return "expire"
	}
}

func statusLabel(s rpc.Status) string {
	switch s {
	case rpc.Status_STATUS_OK:
		return "ok"
	case rpc.Status_STATUS_NOT_LEADER:
		return "not_leader"
	case rpc.Status_STATUS_NO_QUORUM:
		return "no_quorum"
	default:
		return "result_unknown"
	}
}
