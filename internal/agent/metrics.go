package agent

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	requests       *prometheus.CounterVec
	foreignWeights prometheus.Counter
	// invalidAnswers counts heads that are no answer, by cause.
	invalidAnswers *prometheus.CounterVec
	orders         *prometheus.CounterVec
	firstByte      prometheus.Histogram
}

func newMetrics(reg prometheus.Registerer, a *Agent) *metrics {
	f := promauto.With(reg)
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lynxgate_agent_requests_in_flight",
		Help: "Requests in progress at the backend server.",
	}, func() float64 { return float64(a.gate.state().inFlight) })
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lynxgate_agent_watchers",
		Help: "Entries that watch this agent.",
	}, func() float64 { return float64(a.watchers.count.Load()) })
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_agent_requests_total",
			Help: "Requests by outcome: completed, not_run, unknown.",
		}, []string{"outcome"}),
		foreignWeights: f.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_agent_foreign_weights_total",
			Help: "Answers withheld since the engine stated another weights digest than the served one.",
		}),
		invalidAnswers: f.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_agent_invalid_answers_total",
			Help: "Requests of which a head came back that is no answer, by cause: invalid-status, spliced-head, other-request. They may have run.",
		}, []string{"cause"}),
		orders: f.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_agent_orders_total",
			Help: "Orders to the engine by kind (load, unload) and result (done, failed).",
		}, []string{"kind", "result"}),
		firstByte: f.NewHistogram(prometheus.HistogramOpts{
			Name:    "lynxgate_agent_first_byte_seconds",
			Help:    "Time from forwarding a request to the first byte of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
	}
}
