package entry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	requests        *prometheus.CounterVec
	retries         *prometheus.CounterVec
	ejections       *prometheus.CounterVec
	silentAttempts  prometheus.Counter
	unsettledClaims prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_entry_requests_total",
			Help: "Requests of callers by service, outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		retries: f.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_entry_retries_total",
			Help: "Attempts after the first, by service and reason of the one before.",
		}, []string{"service", "reason"}),
		ejections: f.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_entry_servers_set_aside_total",
			Help: "Backend servers set aside for a while, by cause.",
		}, []string{"cause"}),
		silentAttempts: f.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_entry_silent_attempts_total",
			Help: "Attempts ended since the backend server's agent fell silent.",
		}),
		unsettledClaims: f.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_entry_unsettled_claims_total",
			Help: "Outcomes of at-most-once requests that could not be recorded; their keys become unknown.",
		}),
	}
}
