package agent

import (
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/backpressure"
)

// headerLimit is the number of requests per second that the backend server accepts.
const headerLimit = "Server-Limit"

// limiter enforces the rate limit and the backoff that the backend server requests. The agent may
// use the whole limit because all requests to the server pass through it.
type limiter struct {
	log zerolog.Logger

	mu      sync.Mutex
	limit   backpressure.Limit
	pacer   backpressure.Pacer
	backoff backpressure.Backoff
}

// admit admits a request, or returns how long to wait until one may be admitted.
func (l *limiter) admit(now time.Time) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.backoff.Over(now) {
		return l.backoff.Until.Sub(now), false
	}
	if l.limit.InForce {
		if opens := l.pacer.Opens(now, backpressure.WholeOf(l.limit.Rate)); opens.After(now) {
			return opens.Sub(now), false
		}
	}
	l.pacer.Sent(now)
	return 0, true
}

// observeBackoff applies the backoff requested in the headers of a refusal and returns its duration.
func (l *limiter) observeBackoff(now time.Time, resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	asked := backpressure.ReadRetryAfter(resp.Header, time.Now())
	if l.backoff.Ask(now, asked) {
		l.log.Info().Dur("for_ms", asked).Msg("backend server requests backoff")
	}
	return asked
}

// observeLimit applies the rate limit in the headers of a response to a request sent at sentAt. A
// response without a limit lifts the current one only if its status is a success.
func (l *limiter) observeLimit(now, sentAt time.Time, resp *http.Response) {
	stated := backpressure.ReadLimit(resp.Header.Values(headerLimit))
	if !stated.Named && resp.StatusCode/100 != 2 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.limit
	if !l.limit.Hear(now, sentAt, stated) {
		return
	}
	if l.limit.InForce && !before.InForce {
		l.pacer.Begin(now)
	}
	l.log.Info().Bool("limited", l.limit.InForce).Float64("rate", l.limit.Rate).Bool("was_limited", before.InForce).
		Float64("rate_before", before.Rate).Msg("backend server's limit changed")
}
