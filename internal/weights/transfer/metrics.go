package transfer

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the counters of a Manager.
type metrics struct {
	fromPeers  prometheus.Counter
	fromOrigin prometheus.Counter
	sent       prometheus.Counter
	control    *prometheus.CounterVec
	controlIn  prometheus.Counter
	controlOut prometheus.Counter
	corrupt    prometheus.Counter
	stalled    prometheus.Counter
	ejected    prometheus.Counter
	busy       prometheus.Counter
	limited    prometheus.Counter
	staged     prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, share func() float64) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "lynxgate", Subsystem: "weights", Name: name, Help: help})
	}
	m := &metrics{
		fromPeers:  counter("peer_bytes_total", "Bytes of weights received from peers."),
		fromOrigin: counter("origin_bytes_total", "Bytes received from the origin or the weight store."),
		sent:       counter("sent_bytes_total", "Bytes of weights sent to peers."),
		control: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "lynxgate", Subsystem: "weights", Name: "control_bytes_total",
			Help: "Bytes of have updates and chunk requests.",
		}, []string{"direction"}),
		corrupt: counter("corrupt_chunks_total", "Chunks dropped because their digest differed."),
		stalled: counter("stalled_requests_total", "Chunk requests given up for want of progress."),
		ejected: counter("peers_set_aside_total", "Peers set aside for repeated wrong answers."),
		busy:    counter("busy_answers_total", "Chunk requests refused because the upload queue was full."),
		limited: counter("limited_answers_total", "Answers 429 or 503 of the origin or the weight store."),
		staged:  counter("staged_total", "Model versions staged whole."),
	}
	m.controlIn = m.control.WithLabelValues("received")
	m.controlOut = m.control.WithLabelValues("sent")
	if registerer == nil {
		return m, nil
	}
	gauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "lynxgate", Subsystem: "weights", Name: "transfer_share_ratio",
		Help: "Part of the link that transfers may use at present.",
	}, share)
	for _, c := range []prometheus.Collector{
		m.fromPeers, m.fromOrigin, m.sent, m.control, m.corrupt, m.stalled, m.ejected, m.busy, m.limited, m.staged, gauge,
	} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *metrics) controlReceived(bytes int) { m.controlIn.Add(float64(bytes)) }
func (m *metrics) controlSent(bytes int)     { m.controlOut.Add(float64(bytes)) }
