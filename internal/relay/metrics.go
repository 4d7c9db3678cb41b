package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Results of requests besides the reasons of refusals.
const (
	resultAnswered     = "answered"
	resultCancelled    = "cancelled"
	resultHeld         = "held"
	resultEntryLeft    = "entry-left"
	resultEngineClosed = "engine-closed"
	resultMidMessage   = "mid-message"
	// resultInvalidAnswer: the engine's head states no status of a response.
	resultInvalidAnswer = "invalid-answer"
)

// How bodies went to the engine.
const (
	bodyNone     = "none"
	bodyAsked    = "asked"
	bodyUnasked  = "unasked"
	bodyWithHead = "with-head"
	// bodyWithheld: the request ended before its body was sent, so that the engine can't begin it.
	bodyWithheld = "withheld"
)

// What was to follow a part of a message on the connection of an entry.
const (
	nextRefusal = "refusal"
	nextAnswer  = "answer"
)

// Metrics are the metrics of a Server.
type Metrics struct {
	requests    *prometheus.CounterVec
	cuts        *prometheus.CounterVec
	midMessage  *prometheus.CounterVec
	bodies      *prometheus.CounterVec
	closed      *prometheus.CounterVec
	asks        prometheus.Gauge
	cancelDelay prometheus.Histogram
	beginTime   prometheus.Histogram
	ends        *prometheus.CounterVec
	open        prometheus.Gauge
}

// NewMetrics returns metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_relay_requests_total", Help: "Requests of entries to be passed on to the engine, by result: answered, cancelled, held, entry-left, engine-closed, mid-message, invalid-answer, or the reason why it was not passed on.",
		}, []string{"result"}),
		cuts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_relay_answers_cut_total", Help: "Answers that broke off after they had begun, by result: entry-left, engine-closed or mid-message.",
		}, []string{"result"}),
		midMessage: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_relay_mid_message_total", Help: "Connections of entries that were reset since a message of the engine on them was not complete when something else was to follow, by what that was: refusal or answer.",
		}, []string{"next"}),
		bodies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_relay_bodies_total", Help: "Requests that were passed on, by how their body went to the engine: none, asked, unasked, with-head or withheld.",
		}, []string{"sent"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_relay_closed_unbegun_total", Help: "Requests whose connection to the engine was closed before they had begun, by how their body had gone there. Some engines begin them later, unless it was withheld.",
		}, []string{"sent"}),
		asks: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_relay_engine_asks_for_bodies", Help: "1 if the engine has asked for a body, 0 if it has not.",
		}),
		cancelDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lynxgate_relay_cancel_delay_seconds", Help: "Time from the planned to the actual cancellation of requests without an answer shortly before their weights expire.",
			Buckets: []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 1, 3},
		}),
		beginTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lynxgate_relay_begin_seconds", Help: "Time from when a request was passed on to the engine until its answer began.",
			Buckets: []float64{0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5},
		}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_relay_checked_ends_total", Help: "Answers that the engine ended in order and whose end was checked, by what was found: whole, at-deadline, engine-unanswered or engine-restarted. All but the whole ones are cut.",
		}, []string{"found"}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_relay_open", Help: "Open connections of entries to the relay.",
		}),
	}
	for _, found := range []string{endWhole, endAtDeadline, endUnanswered, endRestarted} {
		m.ends.WithLabelValues(found)
	}
	r.MustRegister(m.requests, m.cuts, m.midMessage, m.bodies, m.closed, m.asks, m.cancelDelay, m.beginTime, m.ends, m.open)
	return m
}

func (m *Metrics) ended(result string) { m.requests.WithLabelValues(result).Inc() }

func (m *Metrics) cut(result string) { m.cuts.WithLabelValues(result).Inc() }

func (m *Metrics) endedMidMessage(next string) { m.midMessage.WithLabelValues(next).Inc() }

func (m *Metrics) passedOn(body string) { m.bodies.WithLabelValues(body).Inc() }

func (m *Metrics) closedUnbegun(body string) { m.closed.WithLabelValues(body).Inc() }

func (m *Metrics) begun(after time.Duration) { m.beginTime.Observe(after.Seconds()) }

func (m *Metrics) cancelled(late time.Duration) { m.cancelDelay.Observe(late.Seconds()) }
