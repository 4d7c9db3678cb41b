package waiting

import (
	"slices"
	"time"
)

const (
	// sampleSize is how many deadlines are kept per route, minSample how many are needed to use
	// them.
	sampleSize = 64
	minSample  = 16
	// lowShare is the share of the sample that may be below the usual deadlines: refusals by
	// other entries are unknown here, so that some client retries are learned as first attempts.
	lowShare = 0.05
	// tolerance is the fraction of the lowest usual deadline down to which a deadline counts as
	// usual: callers subtract some milliseconds for the network.
	tolerance = 0.99
	// defaultShare of the route's timeout, or of the longest recent deadline, is the highest that the lowest usual one
	// can be until enough deadlines were learned: callers state the same, or less.
	defaultShare = 0.97
	// retryShareOfLeft: callers wait for at most a third of the time that they have left.
	retryShareOfLeft = 3
	// recentDeadlines is for how long a deadline counts as recent. First attempts arrive at any time, so that
	// after recentKnown the longest recent deadline is one of theirs: refused callers return within 2 s.
	recentDeadlines = 5 * time.Second
	recentKnown     = 2 * time.Second
	// learningPause is how long after the retry time of refused callers deadlines are not
	// learned.
	learningPause = 500 * time.Millisecond
)

// Deadlines distinguishes client retries after a refusal from first attempts. A client
// retry states what is left of its first deadline, over a new connection and under a new
// id, and mostly at another entry; nothing else identifies it. The usual deadlines of first
// attempts are learned by route while no caller has been refused: on some routes all callers
// state the same, on others they differ by 15%.
//
// Like Queue it is not safe for concurrent use.
type Deadlines struct {
	routes      map[string]*sample
	pausedUntil time.Time
}

// sample holds the most recent deadlines, and the lowest that counts as usual.
type sample struct {
	seen []time.Duration
	next int
	low  time.Duration
	// longest is the longest deadline since began, before that of the period before.
	longest, before time.Duration
	began           time.Time
	// shortest is the shortest time until its retry that a refused first attempt was told lately, 0 if none was;
	// shortestAt is when it was.
	shortest   time.Duration
	shortestAt time.Time
}

// note records a deadline, whoever states it, and returns the longest recent one, most while it is not known.
func (s *sample) note(now time.Time, deadline, most time.Duration) time.Duration {
	if now.Sub(s.began) >= recentDeadlines {
		s.before = s.longest
		if now.Sub(s.began) >= 2*recentDeadlines {
			s.before = 0
		}
		s.longest, s.began = 0, now
	}
	s.longest = max(s.longest, deadline)
	if s.before == 0 && now.Sub(s.began) < recentKnown {
		return most
	}
	return min(max(s.longest, s.before), most)
}

// NewDeadlines returns an empty Deadlines.
func NewDeadlines() *Deadlines { return &Deadlines{routes: map[string]*sample{}} }

// Keep removes all routes but these.
func (d *Deadlines) Keep(routes []string) {
	kept := make(map[string]*sample, len(routes))
	for _, route := range routes {
		if s := d.routes[route]; s != nil {
			kept[route] = s
		}
	}
	d.routes = kept
}

// Refused records that a caller was refused with this time until its retry.
func (d *Deadlines) Refused(now time.Time, after time.Duration) {
	if until := now.Add(after + learningPause); until.After(d.pausedUntil) {
		d.pausedUntil = until
	}
}

// RefusedFirst records that a first attempt on a route was refused with this time until its retry, which will state
// less than usual by as much.
func (d *Deadlines) RefusedFirst(now time.Time, route string, after time.Duration) {
	d.Refused(now, after)
	s := d.sampleOf(route)
	if s.shortest == 0 || after <= s.shortest || now.Sub(s.shortestAt) > 2*recentDeadlines {
		s.shortest, s.shortestAt = after, now
	}
}

func (d *Deadlines) sampleOf(route string) *sample {
	s := d.routes[route]
	if s == nil {
		s = &sample{}
		d.routes[route] = s
	}
	return s
}

// lowestUsual returns the lowest deadline that counts as usual where the longest one is this and none was learned: a
// client retry states less by the time that it was told to wait.
func (s *sample) lowestUsual(longest time.Duration) time.Duration {
	return min(time.Duration(defaultShare*float64(longest)), longest-min(s.shortest, longest/retryShareOfLeft))
}

// IsClientRetry reports whether a request with this deadline, on a route with this timeout, is a
// client retry, and learns the deadline if nobody was refused recently.
func (d *Deadlines) IsClientRetry(now time.Time, route string, deadline, timeout time.Duration) bool {
	s := d.sampleOf(route)
	longest := s.note(now, deadline, timeout)
	if !now.Before(d.pausedUntil) {
		s.add(deadline)
		return false
	}
	// Callers may state far less than the route's timeout, and less than before. Judged by these alone, all
	// first attempts could count as client retries for as long as callers are refused.
	if len(s.seen) < minSample {
		return deadline < s.lowestUsual(longest)
	}
	return deadline < time.Duration(tolerance*float64(min(s.low, longest)))
}

func (s *sample) add(deadline time.Duration) {
	if len(s.seen) < sampleSize {
		s.seen = append(s.seen, deadline)
	} else {
		s.seen[s.next] = deadline
	}
	s.next = (s.next + 1) % sampleSize
	if s.next%minSample == 0 {
		sorted := slices.Sorted(slices.Values(s.seen))
		s.low = sorted[int(lowShare*float64(len(sorted)))]
	}
}
