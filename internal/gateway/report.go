package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
)

// Metrics are the metrics of a Gateway.
type Metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	first    *prometheus.HistogramVec
	whole    *prometheus.HistogramVec
	wait     *prometheus.HistogramVec
	gap      *prometheus.HistogramVec
	// sizes counts the results of requests to engines, by size of the prompt.
	sizes *prometheus.CounterVec
	// ranked counts the results of requests to services with ranks, by rank.
	ranked *prometheus.CounterVec
	// slotWait is the time in the wait queue, by whether the request got a slot.
	slotWait *prometheus.HistogramVec
	// interrupted counts streams whose server stopped writing before their end.
	interrupted *prometheus.CounterVec
	// failedAttempts counts attempts that failed because of a server or the connection to it, by
	// whether an answer had begun.
	failedAttempts *prometheus.CounterVec
	// invalidAnswers counts attempts of which bytes came that are no answer, by dispatch.InvalidCause.
	invalidAnswers *prometheus.CounterVec
	// endsAtDeadline counts streams that ended in order when their server was to stop them, by endForwarded or endCut.
	endsAtDeadline *prometheus.CounterVec
	// throttledAttempts counts attempts at servers that were known to be throttled.
	throttledAttempts *prometheus.CounterVec
	// weightsBegun counts requests that engines began, by weightsResult; cancelDelay is by how much cancellations of
	// requests on expiring weights came later than planned.
	weightsBegun *prometheus.CounterVec
	weightsLeft  *prometheus.HistogramVec
	cancelDelay  prometheus.Histogram
	// stopped counts requests that the stop of the entry ended, by stopOutcome.
	stopped *prometheus.CounterVec
	// path is the time of connects to servers and of calls to the agents beside them, by the zone of the VM.
	path *prometheus.HistogramVec
	// suspectRefusals counts requests that ended without a further attempt because of their content.
	suspectRefusals *prometheus.CounterVec
	// Gauges that Run sets once a second.
	budgetLeft    *prometheus.GaugeVec
	directoryAge  *prometheus.GaugeVec
	unseen        *prometheus.GaugeVec
	signals       *prometheus.GaugeVec
	configVersion prometheus.Gauge
	heldBytes     prometheus.Gauge
	noMemory      prometheus.Counter
	// suspect is the number of digests of suspect content.
	suspect prometheus.Gauge
	// Dialled is the number of connections made to the backend servers that are known now.
	Dialled prometheus.Gauge
}

// What becomes of a stream that ended in order at its deadline.
const (
	endForwarded = "forwarded"
	endCut       = "cut"
)

// latencyBuckets, in seconds, cover objectives of 100 to 400 ms and timeouts of 6 s.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8}

// How the time of a path is measured: by a connect to a backend server, or by a call to the agent on its VM, also by one that got no
// answer in time.
const (
	pathConnect = "connect"
	pathAgent   = "agent"
)

// pathBuckets, in seconds, cover round trips within a zone and the longest time that a connect may take.
var pathBuckets = []float64{0.0005, 0.001, 0.002, 0.004, 0.008, 0.015, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4}

// observePath records the time of a round trip to a VM of a zone.
func (m *Metrics) observePath(zone, by string, took time.Duration) {
	m.path.WithLabelValues(zone, by).Observe(took.Seconds())
}

// NewMetrics registers the metrics of an entry.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_requests_total", Help: "Requests by kind of route, status and reason.",
		}, []string{"kind", "status", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_sends_total", Help: "Sends to backend servers by service; repeats among them.",
		}, []string{"service", "repeat"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lynxgate_gateway_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: latencyBuckets,
		}, []string{"service"}),
		whole: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lynxgate_gateway_request_seconds", Help: "Time to the end of an answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lynxgate_gateway_predicted_wait_seconds", Help: "Predicted wait at the backend server chosen last.", Buckets: latencyBuckets,
		}, []string{"service"}),
		gap: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lynxgate_gateway_longest_gap_seconds", Help: "Longest pause between two events of a stream.", Buckets: latencyBuckets,
		}, []string{"service"}),
		sizes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_sized_requests_total", Help: "Requests to engines by service, by their prompt as a multiple of the usual one, and by what the caller got.",
		}, []string{"service", "prompt", "got"}),
		ranked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_ranked_requests_total", Help: "Requests to engines by service, by their rank (0 is the most urgent), and by what the caller got.",
		}, []string{"service", "rank", "got"}),
		slotWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lynxgate_gateway_room_wait_seconds", Help: "Wait for room at a backend server, by whether it came in time.", Buckets: latencyBuckets,
		}, []string{"service", "given"}),
		interrupted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_streams_interrupted_total", Help: "Streams interrupted after their first event, by who did it first and how they ended.",
		}, []string{"by", "end"}),
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_sends_broken_total", Help: "Sends that a backend server, or the way to it, broke off, by whether an answer had begun.",
		}, []string{"service", "answer_begun"}),
		invalidAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_invalid_answers_total", Help: "Sends of which bytes came back that are no answer, by cause.",
		}, []string{"service", "cause"}),
		endsAtDeadline: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_ends_at_deadline_total", Help: "Streams that ended in order when their backend server was to stop them because of its weights, by what became of them: forwarded, or cut if nothing showed that they are whole.",
		}, []string{"result"}),
		suspectRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_requests_held_back_total", Help: "Requests that ended without a further send, since servers had ended under the same work, by verdict, and by whether that is the whole request or a part of its prompt.",
		}, []string{"verdict", "cause"}),
		suspect: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_gateway_suspect_work", Help: "Pieces of work known here that were at backend servers that ended.",
		}),
		budgetLeft: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lynxgate_gateway_retry_budget_left", Help: "Repeats that this entry may still make, by service.",
		}, []string{"service"}),
		directoryAge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lynxgate_gateway_directory_age_seconds", Help: "Time since the backend server heard longest ago was heard, by service.",
		}, []string{"service"}),
		unseen: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lynxgate_gateway_unseen_requests", Help: "Requests that are taken to be at each backend server of another entry beside those that are known, by service.",
		}, []string{"service"}),
		signals: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lynxgate_gateway_throttled_servers", Help: "Backend servers that have named a limit, have requested backoff, or leave, by service and signal.",
		}, []string{"service", "signal"}),
		throttledAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_throttled_sends_total", Help: "Sends to backend servers that were known to have a limit, to have requested backoff, or to leave, by service and signal.",
		}, []string{"service", "signal"}),
		weightsBegun: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_weights_begun_total", Help: "Requests that engines began, by service, and by whether the version of weights is the one for which the engine was chosen, another one, or one past its bound.",
		}, []string{"service", "result"}),
		weightsLeft: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lynxgate_gateway_weights_left_seconds", Help: "Time from the head of an answer that began on replaced weights until the bound on these, by the path of the request: direct or relayed. At 0 or below it began too late.",
			Buckets: []float64{0, 0.25, 0.5, 1, 2, 4, 8},
		}, []string{"path"}),
		cancelDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lynxgate_gateway_weights_cancel_delay_seconds", Help: "Delay of cancellations of requests whose engine's weights are about to expire.", Buckets: latencyBuckets,
		}),
		path: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lynxgate_gateway_path_seconds", Help: "Time of the connect to a backend server, and of calls to the agent on its VM, by the VM's zone.", Buckets: pathBuckets,
		}, []string{"zone", "by"}),
		stopped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_stopped_requests_total", Help: "Requests that the stop of the entry ended: refused as not run, told that they may have run, or cut within their answers.",
		}, []string{"outcome"}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_gateway_config_version", Help: "Version of the configuration in force here.",
		}),
		noMemory: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_gateway_no_memory_total", Help: "Bodies of requests and answers, heads of answers and events of streams, of which no more was held since others use up the memory for them.",
		}),
		heldBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_gateway_held_bytes", Help: "Bodies of requests and answers that are held, in bytes.",
		}),
		Dialled: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_gateway_dialled", Help: "Connections made to the backend servers that are known now.",
		}),
	}
	r.MustRegister(
		m.requests, m.attempts, m.first, m.whole, m.wait, m.gap, m.sizes, m.ranked, m.slotWait, m.interrupted,
		m.failedAttempts, m.invalidAnswers, m.suspectRefusals, m.suspect, m.budgetLeft, m.directoryAge, m.unseen,
		m.signals, m.throttledAttempts, m.weightsBegun, m.cancelDelay, m.path, m.stopped, m.configVersion,
		m.heldBytes, m.noMemory, m.Dialled, m.weightsLeft, m.endsAtDeadline,
	)
	return m
}

// noteInvalid counts an error of a send if it means that bytes came back that are no answer.
func (m *Metrics) noteInvalid(service string, err error) {
	var invalid *dispatch.InvalidAnswerError
	if errors.As(err, &invalid) {
		m.invalidAnswers.WithLabelValues(service, string(invalid.Cause)).Inc()
	}
}

// report logs and counts the result of a call, and aborts the connection if the answer was begun
// and can't be completed.
func (c *call) report() {
	kind, service := "none", c.service
	if c.route != nil {
		kind = c.route.Kind.String()
	}
	m := c.g.cfg.Metrics
	m.requests.WithLabelValues(kind, strconv.Itoa(c.status), c.reason).Inc()
	m.whole.WithLabelValues(kind).Observe(clock.Since(c.began).Seconds())
	if c.events > 0 {
		m.first.WithLabelValues(service).Observe(c.firstEvent.Seconds())
		m.gap.WithLabelValues(service).Observe(c.longestGap.Seconds())
	}
	if c.interruptedBy != "" {
		m.interrupted.WithLabelValues(c.interruptedBy, c.interruptedResult()).Inc()
	}
	if c.choice.Server != nil {
		m.wait.WithLabelValues(service).Observe(c.choice.Wait.Seconds())
	}
	for i := range c.attempts {
		m.attempts.WithLabelValues(service, strconv.FormatBool(i > 0)).Inc()
	}
	if c.service != "" {
		c.countSize()
		c.learn()
	}
	c.logEnd(kind)
	if c.broken || !c.committed { // without a head net/http would write that of an empty 200
		panic(http.ErrAbortHandler)
	}
}

// interruptedResult returns the result of an interrupted stream, as a metric label.
func (c *call) interruptedResult() string {
	switch {
	case c.status == statusClientGone:
		return "caller left"
	case c.broken:
		return "cut"
	}
	return "whole"
}

// logEnd writes one line for a call that was not served in time by its first attempt; others are
// only counted.
func (c *call) logEnd(kind string) {
	late := c.route != nil && c.late()
	late = late || c.route != nil && c.route.GapObjective > 0 && c.longestGap > c.route.GapObjective
	if c.reason == "served" && c.attempts <= 1 && !late {
		return
	}
	event := c.g.log.Info()
	if c.status >= http.StatusInternalServerError {
		event = c.g.log.Warn()
	}
	if c.route != nil {
		event.Str("route", c.route.Name)
	}
	if c.choice.Server != nil {
		event.Str("server", c.choice.Server.ID).Float64("queue", c.choice.Queue).
			Dur("wait_ms", c.choice.Wait).Dur("load_age_ms", c.choice.ReportAge).Bool("own", c.choice.Owned).Int("own_requests", c.choice.InFlight).
			Float64("unseen", c.choice.Unseen)
		describeSigns(event, c.choice.Signs)
		if c.choice.Pace != 1 {
			event.Float64("pace", c.choice.Pace)
		}
	}
	if c.capacity.Known > 0 {
		event.Interface("servers", c.capacity)
	}
	if len(c.capacity.Throttled) > 0 {
		event.Interface("throttled", c.capacity.Throttled)
	}
	if c.clientRetry {
		event.Bool("came_back", true)
	}
	if c.residency.Restricted() {
		event.Stringer("regions", c.residency)
	}
	c.describeSize(event)
	c.describeReservation(event)
	if c.advised > 0 {
		event.Dur("retry_after_ms", c.advised)
	}
	if c.waited > 0 {
		event.Dur("waited_ms", c.waited)
	}
	if c.lastErr != nil {
		event.AnErr("last", c.lastErr)
	}
	if c.mayHaveRun || c.endedServers != nil {
		event.Stringer("content", c.digest())
	}
	if c.endedServers != nil {
		event.Strs("ended_servers", c.endedServers)
	}
	if c.causePart != "" {
		event.Str("part", c.causePart)
	}
	c.describe(event).Str("kind", kind).Int("status", c.status).Str("reason", c.reason).
		Bool("may_have_run", c.mayHaveRun).Int("events", c.events).Dur("first_ms", c.firstEvent).Dur("gap_ms", c.longestGap).
		Dur("took_ms", clock.Since(c.began)).Msg("request ended")
}

// logAttempt writes one line for an attempt without an answer that can be forwarded.
func (c *call) logAttempt(watch *watchdog, what string, err error) {
	event := c.g.log.Info()
	if c.endedBy != "" {
		event.Str("ended_by", c.endedBy)
	}
	if c.mayHaveRun {
		event.Stringer("content", c.digest())
	}
	c.describeWeights(event, watch, clock.Now())
	describeSigns(event, c.choice.Signs)
	c.describe(event).Str("server", c.choice.Server.ID).Str("addr", c.choice.Server.Addr).
		Float64("queue", c.choice.Queue).Int("slots", c.choice.Slots).Dur("load_age_ms", c.choice.ReportAge).
		AnErr("cause", err).Int64("left_ms", clock.Until(c.deadline).Milliseconds()).Msg(what)
}

// describeSigns adds the signs of life of a server at its choice.
func describeSigns(event *zerolog.Event, s balance.Signs) {
	event.Int("unanswered", s.Unanswered).Dur("report_age_ms", s.ReportAge).Dur("byte_age_ms", s.ByteAge)
}

func (c *call) describe(e *zerolog.Event) *zerolog.Event {
	var version uint64
	if c.view.Table != nil {
		version = c.view.Table.Config.Version
	}
	return e.Str("request", c.id).Str("service", c.service).Int("sends", c.attempts).Uint64("config", version)
}
