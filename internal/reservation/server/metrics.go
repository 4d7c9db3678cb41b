package server

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/reservation"
)

// Metrics are the metrics of a Server.
type Metrics struct {
	decided *prometheus.CounterVec
	wait    prometheus.Histogram
	// open counts the reservations that were not released, when the metrics are read: they also end without a call.
	open atomic.Pointer[func() int]
}

// resultGranted is the label of granted requests; refused ones have their reason.
const resultGranted = "granted"

// NewMetrics returns metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		decided: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_reservations_decided_total", Help: "Requests of entries for a slot of the engine, by result: granted, or the reason of the refusal.",
		}, []string{"result"}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lynxgate_reservations_predicted_wait_seconds", Help: "Predicted wait of granted requests for a slot and for the prompts before theirs.",
			Buckets: []float64{0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1},
		}),
	}
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lynxgate_reservations_open", Help: "Reservations that were not released.",
	}, func() float64 {
		if count := m.open.Load(); count != nil {
			return float64((*count)())
		}
		return 0
	})
	r.MustRegister(m.decided, m.wait, open)
	return m
}

func (m *Metrics) observe(d reservation.Decision) {
	if d.Granted {
		m.decided.WithLabelValues(resultGranted).Inc()
		m.wait.Observe(d.Wait.Seconds())
		return
	}
	m.decided.WithLabelValues(d.Reason.String()).Inc()
}

// decisionsInterval is the least time between two log lines about decisions.
const decisionsInterval = time.Second

// decisions counts decisions by result for the log.
type decisions struct {
	since  time.Time
	counts map[string]int
}

// note counts a decision. Once an interval in which requests were refused it writes the counts.
func (d *decisions) note(now time.Time, decided reservation.Decision, log zerolog.Logger) {
	if d.counts == nil {
		d.counts, d.since = map[string]int{}, now
	}
	result := resultGranted
	if !decided.Granted {
		result = decided.Reason.String()
	}
	d.counts[result]++
	if now.Sub(d.since) < decisionsInterval {
		return
	}
	if d.counts[resultGranted] < d.total() {
		event := log.Info().Int("running", decided.Load.Running).Int("waiting", decided.Load.Waiting).Float64("pace", decided.Load.Pace).
			Dur("report_age_ms", decided.Load.Age)
		for result, n := range d.counts {
			event.Int(result, n)
		}
		event.Msg("reservations decided")
	}
	clear(d.counts)
	d.since = now
}

func (d *decisions) total() (n int) {
	for _, count := range d.counts {
		n += count
	}
	return n
}
