package admin

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"lynxgate.dev/lynxgate/internal/inventory"
)

type metrics struct {
	requests *prometheus.CounterVec
	changes  *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) metrics {
	m := metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_admin_requests_total",
			Help: "Requests to the operators' API by route and HTTP status.",
		}, []string{"route", "status"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_admin_changes_total",
			Help: "Change requests by verdict: accepted, repeated, conflict, invalid or failed.",
		}, []string{"verdict"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.changes)
	}
	return m
}

func (m metrics) request(route string, status int) {
	m.requests.WithLabelValues(route, strconv.Itoa(status)).Inc()
}

func (m metrics) change(result inventory.ChangeResult) {
	verdict := string(result.Verdict)
	if result.Repeated {
		verdict = "repeated"
	}
	m.changes.WithLabelValues(verdict).Inc()
}

func (m metrics) changeFailed() { m.changes.WithLabelValues("failed").Inc() }
