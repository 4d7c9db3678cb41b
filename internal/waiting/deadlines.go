package waiting

import (
	"slices"
	"time"
)

const (
	// sampleSize is how many deadlines are remembered by route, leastSample with how many
	// of them they are judged by.
	sampleSize  = 64
	leastSample = 16
	// lowPart is the part of the sample that may lie below what counts as usual: a caller
	// that another entry has refused comes here without its refusal being known.
	lowPart = 0.05
	// tolerance is how far below the usual ones a deadline still counts as one of them:
	// callers take some milliseconds off for the way.
	tolerance = 0.99
	// unlearnedPart of the route's timeout is what counts as usual until enough deadlines
	// were seen: callers state the timeout, or a little less.
	unlearnedPart = 0.97
	// afterReturn is for how long after the time at which refused callers were told to
	// come back deadlines are not learned from.
	afterReturn = 500 * time.Millisecond
)

// Deadlines tells callers that come back after a refusal from those that ask for the first
// time. Callers that come back state what is left of their first deadline, over a new
// connection and under a new id, and mostly to another entry; nothing else tells them
// apart. What first attempts state is learned, by route, while nobody has been refused:
// some callers all state the same, others differ by 15%.
//
// It belongs to its caller, like Queue.
type Deadlines struct {
	routes     map[string]*sample
	quietUntil time.Time
}

// sample holds the deadlines seen last, and the lowest that counts as usual.
type sample struct {
	seen []time.Duration
	next int
	low  time.Duration
}

// NewDeadlines returns one that has learned nothing.
func NewDeadlines() *Deadlines { return &Deadlines{routes: map[string]*sample{}} }

// Keep forgets all routes but these.
func (d *Deadlines) Keep(routes []string) {
	kept := make(map[string]*sample, len(routes))
	for _, route := range routes {
		if s := d.routes[route]; s != nil {
			kept[route] = s
		}
	}
	d.routes = kept
}

// Refused notes that a caller was refused and told to come back after this time.
func (d *Deadlines) Refused(now time.Time, after time.Duration) {
	if until := now.Add(after + afterReturn); until.After(d.quietUntil) {
		d.quietUntil = until
	}
}

// ComesBack tells whether a caller that states this deadline on a route with this timeout
// has been refused before, and learns from it if nobody has been refused.
func (d *Deadlines) ComesBack(now time.Time, route string, deadline, timeout time.Duration) bool {
	s := d.routes[route]
	if s == nil {
		s = &sample{}
		d.routes[route] = s
	}
	if !now.Before(d.quietUntil) {
		s.note(deadline)
		return false
	}
	if len(s.seen) < leastSample {
		return deadline < time.Duration(unlearnedPart*float64(timeout))
	}
	return deadline < time.Duration(tolerance*float64(s.low))
}

func (s *sample) note(deadline time.Duration) {
	if len(s.seen) < sampleSize {
		s.seen = append(s.seen, deadline)
	} else {
		s.seen[s.next] = deadline
	}
	s.next = (s.next + 1) % sampleSize
	if s.next%leastSample == 0 {
		sorted := slices.Sorted(slices.Values(s.seen))
		s.low = sorted[int(lowPart*float64(len(sorted)))]
	}
}
