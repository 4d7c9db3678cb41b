package agent

import (
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/backpressure"
)

// headerLimit names how many requests a second the backend server takes.
const headerLimit = "Server-Limit"

// limiter keeps to the limit that the backend server names, and to the backoff that it requests. All
// requests come through this agent, so that it holds the whole of the limit.
type limiter struct {
	log zerolog.Logger

	mu      sync.Mutex
	limit   backpressure.Limit
	pacer   backpressure.Pacer
	backoff backpressure.Backoff
}

// admit lets a request pass now, or returns after how long one may.
func (l *limiter) admit(now time.Time) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.backoff.Over(now) {
		return l.backoff.Until.Sub(now), false
	}
	if l.limit.InForce {
		if opens := l.pacer.NextAt(now, backpressure.WholePart(l.limit.Rate)); opens.After(now) {
			return opens.Sub(now), false
		}
	}
	l.pacer.Sent(now)
	return 0, true
}

// hearBackoff takes the backoff requested in the head of a refusal, and returns for how long.
func (l *limiter) hearBackoff(now time.Time, resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	asked := backpressure.ReadRetryAfter(resp.Header, time.Now())
	if l.backoff.Request(now, asked) {
		l.log.Info().Dur("for_ms", asked).Msg("backend server requests backoff")
	}
	return asked
}

// hear takes the head of an answer to a request that was sent at sentAt. Only a success
// lifts a limit by naming none.
func (l *limiter) hear(now, sentAt time.Time, resp *http.Response) {
	stated := backpressure.ReadLimit(resp.Header.Values(headerLimit))
	if !stated.Named && resp.StatusCode/100 != 2 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.limit
	if !l.limit.ApplyAnswer(now, sentAt, stated) {
		return
	}
	if l.limit.InForce && !before.InForce {
		l.pacer.Reset(now)
	}
	l.log.Info().Bool("limited", l.limit.InForce).Float64("rate", l.limit.Rate).Bool("was_limited", before.InForce).
		Float64("rate_before", before.Rate).Msg("backend server's limit changed")
}
