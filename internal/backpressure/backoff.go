package backpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBackoff bounds the backoff that one answer can request.
const maxBackoff = 24 * time.Hour

// ReadRetryAfter returns the backoff that an answer requests: the seconds of Retry-After, fractions
// allowed, or its date relative to the answer's Date header or, without one, to wall, the local time
// of day. It returns 0 if the header is missing or invalid.
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

// Backoff is the time for which an incarnation of a backend server accepts no requests of this entry.
type Backoff struct {
	// Until is when it is over; RequestedAt when it was requested last.
	Until, RequestedAt time.Time
}

// Request records a backoff that the server requests; a shorter one does not cut a longer one. It reports whether
// the server was not backing off before.
func (r *Backoff) Request(now time.Time, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	begins := !now.Before(r.Until)
	r.RequestedAt = now
	if until := now.Add(d); until.After(r.Until) {
		r.Until = until
	}
	return begins
}

// Over reports whether requests may be dispatched to the server.
func (r *Backoff) Over(now time.Time) bool { return !now.Before(r.Until) }
