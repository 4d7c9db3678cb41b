package replica

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of one node.
type metrics struct {
	sent, sentBytes, wireBytes, received, dropped prometheus.Counter
	connectionErrors, leaderChanges               prometheus.Counter
	syncs, proposals, snapshots, snapshotInstalls prometheus.Counter
	cutTailBytes                                  prometheus.Counter
	term, commitIndex, appliedIndex, isLeader     prometheus.Gauge
	syncSeconds                                   prometheus.Histogram
}

// syncBuckets, in seconds, range from disks that sync in 1 ms to disks that stall for
// seconds.
var syncBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "lynxgate", Subsystem: "consensus", Name: name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "lynxgate", Subsystem: "consensus", Name: name, Help: help})
	}
	return &metrics{
		sent:             counter("messages_sent_total", "Messages sent to other control servers."),
		sentBytes:        counter("messages_sent_bytes_total", "Encoded size of the messages sent."),
		wireBytes:        counter("connection_sent_bytes_total", "Bytes written to connections, framing included."),
		received:         counter("messages_received_total", "Messages received from other control servers."),
		dropped:          counter("messages_dropped_total", "Messages dropped before sending."),
		connectionErrors: counter("connection_errors_total", "Failed connections to other control servers."),
		leaderChanges:    counter("leader_changes_total", "Times another leader was seen."),
		syncs:            counter("log_syncs_total", "Synced writes of the log."),
		proposals:        counter("proposals_total", "Commands appended as the leader."),
		snapshots:        counter("snapshots_total", "Snapshots taken here."),
		snapshotInstalls: counter("snapshots_installed_total", "Snapshots received from a leader."),
		cutTailBytes:     counter("log_cut_tail_bytes_total", "Bytes of a bad log tail cut off at the start."),
		term:             gauge("term", "Current term."),
		commitIndex:      gauge("commit_index", "Highest committed log index."),
		appliedIndex:     gauge("applied_index", "Highest applied log index."),
		isLeader:         gauge("leader", "1 on the leader, else 0."),
		syncSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "lynxgate", Subsystem: "consensus", Name: "log_sync_seconds", Help: "Time of one synced write of the log.",
			Buckets: syncBuckets,
		}),
	}
}

func (m *metrics) all() []prometheus.Collector {
	return []prometheus.Collector{
		m.sent, m.sentBytes, m.wireBytes, m.received, m.dropped, m.connectionErrors, m.leaderChanges,
		m.syncs, m.proposals, m.snapshots, m.snapshotInstalls, m.cutTailBytes,
		m.term, m.commitIndex, m.appliedIndex, m.isLeader, m.syncSeconds,
	}
}

// Describe implements prometheus.Collector.
func (n *Node) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range n.metrics.all() {
		c.Describe(ch)
	}
}

// Collect implements prometheus.Collector.
func (n *Node) Collect(ch chan<- prometheus.Metric) {
	for _, c := range n.metrics.all() {
		c.Collect(ch)
	}
}
