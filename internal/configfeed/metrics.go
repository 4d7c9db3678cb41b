package configfeed

import (
	"errors"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Values of the label "kind".
const (
	kindSnapshot  = "snapshot"
	kindDelta     = "delta"
	kindHeartbeat = "heartbeat"
)

// updateKind returns the value of the label "kind" for a message.
func updateKind(u *rpc.FeedUpdate) string {
	if u.Snapshot {
		return kindSnapshot
	}
	if len(u.Changes) > 0 {
		return kindDelta
	}
	return kindHeartbeat
}

type sourceMetrics struct {
	subscribers prometheus.Gauge
	messages    *prometheus.CounterVec
	bytes       *prometheus.CounterVec
}

func newSourceMetrics(reg prometheus.Registerer) sourceMetrics {
	return sourceMetrics{
		subscribers: register(reg, prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_feed_subscribers",
			Help: "Subscribers of this process's configuration.",
		})),
		messages: register(reg, prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_feed_sent_messages_total",
			Help: "Configuration messages sent to subscribers.",
		}, []string{"kind"})),
		bytes: register(reg, prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_feed_sent_bytes_total",
			Help: "Bytes of configuration messages sent to subscribers.",
		}, []string{"kind"})),
	}
}

func (m sourceMetrics) count(u *rpc.FeedUpdate) {
	kind := updateKind(u)
	m.messages.WithLabelValues(kind).Inc()
	m.bytes.WithLabelValues(kind).Add(float64(proto.Size(u)))
}

type clientMetrics struct {
	revision    prometheus.Gauge
	unconfirmed prometheus.Gauge
	messages    *prometheus.CounterVec
	bytes       *prometheus.CounterVec
	refused     prometheus.Counter
	attempts    prometheus.Counter
	floorErrors prometheus.Counter
}

func newClientMetrics(reg prometheus.Registerer) clientMetrics {
	return clientMetrics{
		revision: register(reg, prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_config_revision",
			Help: "Revision of the configuration in force in this process.",
		})),
		unconfirmed: register(reg, prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_config_unconfirmed",
			Help: "1 while the configuration in force was not confirmed with a quorum lately.",
		})),
		messages: register(reg, prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_feed_received_messages_total",
			Help: "Configuration messages received.",
		}, []string{"kind"})),
		bytes: register(reg, prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_feed_received_bytes_total",
			Help: "Bytes of configuration messages received.",
		}, []string{"kind"})),
		refused: register(reg, prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_feed_refused_updates_total",
			Help: "Updates refused because they were below the revision in force.",
		})),
		attempts: register(reg, prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_feed_connect_attempts_total",
			Help: "Attempts to subscribe to a source.",
		})),
		floorErrors: register(reg, prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_config_floor_errors_total",
			Help: "Failed writes of the revision floor.",
		})),
	}
}

func (m clientMetrics) count(u *rpc.FeedUpdate) {
	kind := updateKind(u)
	m.messages.WithLabelValues(kind).Inc()
	m.bytes.WithLabelValues(kind).Add(float64(proto.Size(u)))
}

// register registers a collector, or returns the one already registered under its
// name, since a process may have several sources.
func register[C prometheus.Collector](reg prometheus.Registerer, c C) C {
	if reg == nil {
		return c
	}
	err := reg.Register(c)
	var already prometheus.AlreadyRegisteredError
	if errors.As(err, &already) {
		return already.ExistingCollector.(C)
	}
	if err != nil {
		panic(fmt.Sprintf("configuration feed: register metrics: %v", err))
	}
	return c
}
