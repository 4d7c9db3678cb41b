package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
)

// noteHead records the signals about the server in the header of an answer.
func (c *call) noteHead(choice *balance.Choice, a *dispatch.Answer) {
	now := clock.Now()
	if took := a.ConnectTook(); took > 0 {
		c.g.cfg.Metrics.observePath(choice.Zone, pathConnect, took)
	}
	c.g.balancer.BytesReceived(choice.Server, now)
	c.noteLoad(choice.Server, a.Header, now)
	c.noteLimit(choice, a, now)
	if !c.isNotRun(a) {
		c.g.balancer.AcceptedWork(choice)
	}
	c.g.balancer.BackoffRequested(choice, now, requestedBackoff(a))
	if leaves, err := strconv.ParseBool(a.Header.Get(c.g.cfg.Headers.Leaving)); err == nil && leaves {
		c.g.balancer.LeavingSignalled(choice, now)
	}
}

// requestedBackoff returns for how long an answer asks the entry to send no requests, 0 if it does not.
func requestedBackoff(a *dispatch.Answer) time.Duration {
	if a.StatusCode != http.StatusServiceUnavailable && a.StatusCode != http.StatusTooManyRequests {
		return 0
	}
	return backpressure.ReadRetryAfter(a.Header, time.Now())
}

// noteLoad records the load stated in an answer's header: running, waiting, slots, and at some servers the
// load percentage.
func (c *call) noteLoad(s *balance.Server, h http.Header, now time.Time) {
	load, ok := parseLoad(h.Get(c.g.cfg.Headers.Load))
	if !ok {
		return
	}
	c.g.balancer.LoadReported(s, now, load.running, load.waiting, load.percent)
}

// serverLoad is the load stated in a load header. percent is 0 if it is not stated.
type serverLoad struct{ running, waiting, percent int }

// parseLoad parses a load header, and reports whether it states the requests at the server. A malformed
// load percentage counts as not stated.
func parseLoad(text string) (serverLoad, bool) {
	figures := strings.Split(text, ",")
	if len(figures) < 2 {
		return serverLoad{}, false
	}
	running, errRunning := strconv.Atoi(strings.TrimSpace(figures[0]))
	waiting, errWaiting := strconv.Atoi(strings.TrimSpace(figures[1]))
	if errRunning != nil || errWaiting != nil {
		return serverLoad{}, false
	}
	load := serverLoad{running: running, waiting: waiting}
	if len(figures) > 3 {
		if percent, err := strconv.Atoi(strings.TrimSpace(figures[3])); err == nil {
			load.percent = max(percent, 0)
		}
	}
	return load, true
}

// noteLimit records the limit stated in an answer's header. An answer without one lifts an earlier
// limit only if the server ran the request and signed the answer.
func (c *call) noteLimit(choice *balance.Choice, a *dispatch.Answer, now time.Time) {
	stated := backpressure.ReadLimit(a.Header.Values(c.g.cfg.Headers.Limit))
	if !stated.Named && (c.isNotRun(a) || !c.signed(a)) {
		return
	}
	c.g.balancer.LimitSignalled(choice, now, stated)
}

// countSignal counts an attempt at a throttled server, by its signal.
func (c *call) countSignal(choice *balance.Choice) {
	if choice.Signal != "" {
		c.g.cfg.Metrics.throttledAttempts.WithLabelValues(c.service, choice.Signal).Inc()
	}
}
