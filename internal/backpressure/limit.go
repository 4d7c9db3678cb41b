// Package backpressure evaluates the signals that backend servers send to their callers in the
// headers of answers: a limit of requests per second over all entries, and a backoff for the requests
// of one entry.
//
// State: one record per incarnation of a backend server. Messages: Update; time is an argument.
package backpressure

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// LimitSignal is what the headers of one answer say about a limit.
type LimitSignal struct {
	// Named: the answer names a limit; Rate is in requests per second of all entries together.
	Named bool
	Rate  float64
	// Unreadable: there is a header without a valid limit. It neither sets nor lifts a limit.
	Unreadable bool
}

// ReadLimit parses the values of an answer's header: finite decimal numbers, 0 or more. Of
// several limits the lowest counts.
func ReadLimit(values []string) LimitSignal {
	var s LimitSignal
	for _, value := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
			s.Unreadable = !s.Named
			continue
		}
		if !s.Named || rate < s.Rate {
			s = LimitSignal{Named: true, Rate: rate}
		}
	}
	return s
}

// Limit is the known limit of one incarnation of a backend server.
type Limit struct {
	// InForce: the server has named a limit and not lifted it; Rate is in requests per second.
	InForce bool
	Rate    float64
	// ReceivedAt is when it was last named or lifted.
	ReceivedAt time.Time
}

// ApplyAnswer applies the signal of the answer to a request that was sent at sentAt, and reports
// whether the limit changed. Answers overtake each other: a limit is lifted or raised only by the
// answer to a request that was sent after it was last named.
func (l *Limit) ApplyAnswer(now, sentAt time.Time, s LimitSignal) bool {
	overtaken := l.InForce && !sentAt.After(l.ReceivedAt)
	switch {
	case s.Unreadable:
		return false
	case !s.Named && (!l.InForce || overtaken):
		return false
	case !s.Named:
		*l = Limit{ReceivedAt: now}
		return true
	}
	before := *l
	l.ReceivedAt = now
	if !before.InForce || !overtaken || s.Rate < before.Rate {
		l.InForce, l.Rate = true, s.Rate
	}
	return !before.InForce || before.Rate != l.Rate
}
