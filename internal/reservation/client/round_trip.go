package client

import (
	"maps"
	"sync"
	"time"
)

// RoundTrip is what the calls to the agent beside a backend server tell of the path to its VM.
type RoundTrip struct {
	// Took is the time of the last call that was answered, At when that was made, a time of package clock.
	Took time.Duration
	At   time.Time
	// Unanswered counts the calls since then that got no answer within their timeouts.
	Unanswered int
	// changedAt is when the last call ended.
	changedAt time.Time
}

// roundTrips keeps the round trips of agents that were asked in the last forgetAfter, keyed by the address of the backend server.
type roundTrips struct {
	mu       sync.Mutex
	latest   map[string]RoundTrip
	prunedAt time.Time
}

func newRoundTrips() *roundTrips { return &roundTrips{latest: map[string]RoundTrip{}} }

// answered records a call that was made at askedAt and answered at now.
func (r *roundTrips) answered(server string, askedAt, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(server, RoundTrip{Took: now.Sub(askedAt), At: askedAt, changedAt: now})
}

// unanswered records a call that got no answer until now.
func (r *roundTrips) unanswered(server string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.latest[server]
	last.Unanswered++
	last.changedAt = now
	r.put(server, last)
}

// put stores a round trip and forgets those of servers that are not asked any more.
func (r *roundTrips) put(server string, t RoundTrip) {
	r.latest[server] = t
	if t.changedAt.Sub(r.prunedAt) < forgetAfter {
		return
	}
	r.prunedAt = t.changedAt
	maps.DeleteFunc(r.latest, func(_ string, other RoundTrip) bool { return t.changedAt.Sub(other.changedAt) > forgetAfter })
}

func (r *roundTrips) of(server string) RoundTrip {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest[server]
}

// RoundTrip returns what is known of the path to the VM of a backend server; At is zero if its agent has not answered yet.
func (c *Client) RoundTrip(server string) RoundTrip { return c.roundTrips.of(server) }
