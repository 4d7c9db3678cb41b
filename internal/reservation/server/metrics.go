package server

import (
	"cmp"
	"strconv"
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
	dropped *prometheus.CounterVec
	// held returns the number of reservations; nil before there is a server.
	held atomic.Pointer[func() int]
	// Gauges of the engine as of its last report.
	slots, running, pace prometheus.Gauge
}

// NewMetrics returns metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		decided: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_reservations_decided_total", Help: "Requests of entries for a slot of the engine, by rank (0 is the most urgent) and by result: granted, or the reason of the refusal.",
		}, []string{"rank", "result"}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lynxgate_reservations_predicted_wait_seconds", Help: "Predicted wait of granted requests for a slot and for the prompts before theirs.",
			Buckets: []float64{0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1},
		}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_reservations_dropped_total", Help: "Reservations that ended without their release, by cause.",
		}, []string{"cause"}),
		slots: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_reservations_slots", Help: "Slots of the engine by the configuration in force.",
		}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_reservations_running", Help: "Requests that run at the engine, as of the last request for a slot.",
		}),
		pace: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_reservations_pace", Help: "How many times as long as usual the engine's work takes, as of the last request for a slot.",
		}),
	}
	r.MustRegister(m.decided, m.wait, m.dropped, m.slots, m.running, m.pace, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lynxgate_reservations_open", Help: "Reservations that were not released.",
	}, func() float64 {
		if held := m.held.Load(); held != nil {
			return float64((*held)())
		}
		return 0
	}))
	return m
}

// reported sets the gauges of the engine.
func (m *Metrics) reported(slots int, r reservation.Report) {
	m.slots.Set(float64(slots))
	m.running.Set(float64(r.Running))
	m.pace.Set(cmp.Or(r.Pace, 1))
}

func (m *Metrics) observe(rank int, d reservation.Decision) {
	m.decided.WithLabelValues(strconv.Itoa(rank), d.Result()).Inc()
	if d.Granted {
		m.wait.Observe(d.Wait.Seconds())
	}
}

// logInterval is the least time between two log lines of a kind.
const logInterval = time.Second

// decisions counts decisions by result for the log.
type decisions struct {
	since  time.Time
	counts map[string]int
}

// note counts a decision. The first one after an interval in which requests were refused writes a line with the counts.
func (d *decisions) note(now time.Time, decided reservation.Decision, log zerolog.Logger) {
	if d.counts == nil {
		d.counts, d.since = map[string]int{}, now
	}
	d.counts[decided.Result()]++
	if now.Sub(d.since) < logInterval {
		return
	}
	granted := d.counts[reservation.Decision{Granted: true}.Result()]
	if granted < d.total() {
		event := log.Info().Int("running", decided.Load.Running).Int("waiting", decided.Load.Waiting).Float64("pace", decided.Load.Pace).
			Dur("report_age_ms", decided.Load.Age).Int("open", decided.Load.Open).Int("past_lease", decided.Load.PastLease)
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

// drops are the dropped reservations that no log line has told yet.
type drops struct {
	loggedAt time.Time
	untold   []reservation.Dropped
}

func (d *drops) add(dropped []reservation.Dropped) { d.untold = append(d.untold, dropped...) }

// due reports whether there is something to be logged, and the last lines are older than logInterval.
func (d *drops) due(now time.Time) bool {
	return len(d.untold) > 0 && now.Sub(d.loggedAt) >= logInterval
}

// log writes a line for each cause.
func (d *drops) log(now time.Time, load reservation.Load, log zerolog.Logger) {
	byCause := map[reservation.DropCause][]reservation.Dropped{}
	for _, one := range d.untold {
		byCause[one.Cause] = append(byCause[one.Cause], one)
	}
	for cause, some := range byCause {
		entries, oldest := map[string]int{}, time.Duration(0)
		for _, one := range some {
			entries[one.Entry]++
			oldest = max(oldest, one.Age)
		}
		log.Info().Str("cause", string(cause)).Int("dropped", len(some)).Interface("entries", entries).Dur("oldest_ms", oldest).
			Int("open", load.Open).Int("past_lease", load.PastLease).Int("running", load.Running).Int("waiting", load.Waiting).
			Msg("reservations dropped")
	}
	d.loggedAt, d.untold = now, nil
}
