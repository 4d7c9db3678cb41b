package gateway

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
)

// weightsResult compares the weights with which an engine began a request with those for which it was chosen.
type weightsResult string

const (
	weightsAsChosen weightsResult = "as chosen"
	// weightsOther: it began with another version, which may still be used.
	weightsOther weightsResult = "other version"
	// weightsExpired: it began with a version after its bound.
	weightsExpired weightsResult = "expired"
)

// expiringWeights is how long before the bound on weights a line is written for each request that begins on them.
const expiringWeights = 3 * time.Second

// observeWeights counts with which weights an engine began a request, as its answer states, and writes a line if these
// are not the ones for which the engine was chosen, have expired, or are about to.
func (c *call) observeWeights(w *watchdog, a *dispatch.Answer) {
	answered, err := strconv.ParseUint(a.Header.Get(c.g.cfg.Headers.Version), 10, 64)
	if c.model == "" || err != nil {
		return // a plain service, or an engine that does not state its version
	}
	now := clock.Now()
	left, bounded := c.g.balancer.VersionLeft(c.model, answered, now)
	result := weightsAsChosen
	switch {
	case bounded && left < 0:
		result = weightsExpired
	case answered != w.weights:
		result = weightsOther
	}
	c.g.cfg.Metrics.weightsBegun.WithLabelValues(c.service, string(result)).Inc()
	if bounded {
		c.g.cfg.Metrics.weightsLeft.WithLabelValues(c.sendPath()).Observe(left.Seconds())
	}
	event, message := c.g.log.Warn(), "request began on weights for which its server was not chosen"
	if result == weightsAsChosen {
		if !bounded || left > expiringWeights {
			return
		}
		event, message = c.g.log.Info(), "request began on expiring weights"
	}
	event.Uint64("answered", answered).Bool("bounded", bounded)
	if bounded {
		event.Dur("weights_left_ms", left)
	}
	c.describeWeights(event, w, now)
	c.describe(event).Str("result", string(result)).Str("server", w.server.ID).Float64("queue", c.choice.Queue).
		Str("zone", c.choice.Zone).Msg(message)
}

// sendPath returns how the request was sent to the engine, as a metric label.
func (c *call) sendPath() string {
	if c.choice.Expiry.Relayed {
		return "relayed"
	}
	return "direct"
}

// describeWeights adds what the choice of the engine rested on, when the request was sent, and whether its cancellation is
// overdue.
func (c *call) describeWeights(event *zerolog.Event, w *watchdog, now time.Time) {
	if w.weights == 0 {
		return
	}
	event.Uint64("weights", w.weights).Str("weights_by", c.choice.VersionSource).Dur("weights_age_ms", c.choice.VersionAge).
		Dur("sent_ms", now.Sub(w.sentAt)).Bool("weights_expired", w.weightsExpired.Load())
	if left, bounded := c.g.balancer.VersionLeft(c.model, w.weights, now); bounded {
		event.Dur("cancel_overdue_ms", w.cancelMargin-left).Bool("relayed", c.choice.Expiry.Relayed).Dur("bound_left_ms", left).
			Bool("ends_before", c.choice.Expiry.KeptByServer).Dur("predicted_ms", c.choice.Takes())
		c.describeNaming(event, now)
		c.describePath(event, w, now)
	}
}

// describeNaming adds how this entry heard of the newest version. A request with a longer sent_ms was sent without knowing of it.
func (c *call) describeNaming(event *zerolog.Event, now time.Time) {
	if heard, ok := c.g.balancer.NamingHeard(c.model); ok {
		event.Uint64("named", heard.Version).Str("naming_by", heard.Control).Dur("naming_heard_ms", now.Sub(heard.At))
	}
}

// describePath adds what is known of the path to an engine: the time from the send to the head of the answer, which includes the
// engine's queue, and the last connect to the engine and the last round trip to the agent on its VM, which do not.
func (c *call) describePath(event *zerolog.Event, w *watchdog, now time.Time) {
	if w.answerTook > 0 {
		event.Dur("answer_ms", w.answerTook)
	}
	if connect := w.server.Pool.LastConnect(); !connect.At.IsZero() {
		event.Dur("connect_ms", connect.Took).Dur("connect_age_ms", now.Sub(connect.At))
	}
	if c.g.cfg.Reservations == nil {
		return
	}
	trip := c.g.cfg.Reservations.RoundTrip(w.server.Addr)
	if !trip.At.IsZero() {
		event.Dur("agent_round_trip_ms", trip.Took).Dur("agent_round_trip_age_ms", now.Sub(trip.At))
	}
	if trip.Unanswered > 0 {
		event.Int("agent_unanswered", trip.Unanswered)
	}
}
