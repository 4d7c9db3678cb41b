package backpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBackoff bounds what one answer can ask for.
const maxBackoff = 24 * time.Hour

// ReadRetryAfter reads for how long an answer asks the sender to send nothing: the seconds of
// Retry-After, fractions allowed, or its date by the answer's own clock; without a date of the
// answer, by wall, the time of day here. 0 if it doesn't ask, or can't be read.
func ReadRetryAfter(h http.Header, wall time.Time) time.Duration {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if value == "" {
		return 0
	}
	if s, err := strconv.ParseFloat(value, 64); err == nil {
		if !(s > 0) || math.IsInf(s, 0) {
			return 0
		}
		return time.Duration(min(s, maxBackoff.Seconds()) * float64(time.Second))
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	if date, err := http.ParseTime(h.Get("Date")); err == nil {
		wall = date
	}
	return min(max(until.Sub(wall), 0), maxBackoff)
}

// Backoff is until when a start of a backend server wants nothing from this entry.
type Backoff struct {
	// Until is when it ends; AskedAt when it was requested last.
	Until, AskedAt time.Time
}

// Ask takes a request for backoff; a shorter one does not end a longer one. It returns whether the
// server was not backing off before.
func (r *Backoff) Ask(now time.Time, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	begins := !now.Before(r.Until)
	r.AskedAt = now
	if until := now.Add(d); until.After(r.Until) {
		r.Until = until
	}
	return begins
}

// Over tells whether the server may be asked.
func (r *Backoff) Over(now time.Time) bool { return !now.Before(r.Until) }
