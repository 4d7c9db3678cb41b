// Package answerlength learns how long answers are relative to the lengths that callers expect.
//
// A caller's length hint is right at the median on some routes and wrong by a factor on others, and single
// answers are far off. Reservations need an expected length, and one that few answers exceed. All lengths
// are in tokens of output.
//
// State: by route, the most recent ratios of length and hint, and the most recent lengths. Messages: none;
// a Lengths is not safe for concurrent use.
package answerlength

import (
	"cmp"
	"math"
	"slices"
)

const (
	// sampleSize is how many ratios and lengths are kept per route, minSample how many are needed to use them.
	sampleSize = 64
	minSample  = 16
	// maxRoutes bounds the memory, to about 2 KB per route. Answers of further routes are not learned.
	maxRoutes = 256
	// highShare is the share of answers that do not exceed the high length.
	highShare = 0.9
	// defaultHigh is the high length until enough answers were seen, relative to the expected one: nine in ten
	// answers of a log-normal distribution with sigma 0.5 do not exceed 1.9 times the median.
	defaultHigh = 2
	// maxTokens bounds all lengths: hints and maxima are from the caller, and not checked.
	maxTokens = 1 << 24
)

// Lengths predicts the lengths of answers by route.
type Lengths struct {
	usual  int
	routes map[string]*lengths
}

// lengths is what is known of a route.
type lengths struct {
	// ratios are lengths relative to the hint, tokens lengths of all answers.
	ratios, tokens sample
}

// New returns a Lengths that has seen no answers. It expects usual tokens for requests without a hint on routes
// of which it knows too little.
func New(usual int) *Lengths { return &Lengths{usual: max(usual, 1), routes: map[string]*lengths{}} }

// Keep removes all routes but these.
func (l *Lengths) Keep(routes []string) {
	kept := make(map[string]*lengths, len(routes))
	for _, route := range routes {
		if r := l.routes[route]; r != nil {
			kept[route] = r
		}
	}
	l.routes = kept
}

// Observe records a completed answer of actual tokens to a request with this hint (0: none) and this maximum
// length (0: not stated). Answers that were interrupted must not be recorded.
func (l *Lengths) Observe(route string, hint, maximum, actual int) {
	if actual < 0 {
		return
	}
	r := l.routes[route]
	if r == nil {
		if len(l.routes) >= maxRoutes {
			return
		}
		r = &lengths{}
		l.routes[route] = r
	}
	cut := maximum > 0 && actual >= maximum
	tokens := float64(min(actual, maxTokens))
	r.tokens.add(observation{tokens, cut})
	if hint > 0 {
		r.ratios.add(observation{tokens / float64(min(hint, maxTokens)), cut})
	}
}

// Expect returns the expected length of the answer to a request with this hint (0: none), and a length that nine
// in ten answers do not exceed. Both are at least 1 and at most maximum, if that is not 0.
func (l *Lengths) Expect(route string, hint, maximum int) (expected, high int) {
	unit, middle, most := float64(l.usual), 1.0, float64(defaultHigh)
	r := l.routes[route]
	switch {
	case hint > 0:
		unit = float64(min(hint, maxTokens))
		if r != nil && r.ratios.enough() {
			middle, most = r.ratios.median, r.ratios.high
		}
	case r != nil && r.tokens.enough():
		unit, middle, most = 1, r.tokens.median, r.tokens.high
	}
	return limit(math.Round(unit*middle), maximum), limit(math.Ceil(unit*most), maximum)
}

// limit returns a length that is at least 1 and at most maximum, if that is not 0.
func limit(tokens float64, maximum int) int {
	got := int(min(max(tokens, 1), maxTokens))
	if maximum > 0 {
		got = min(got, maximum)
	}
	return got
}

// observation is the ratio or the length of an answer.
type observation struct {
	value float64
	// cut: the answer ended at the caller's maximum, and would have been at least this long.
	cut bool
}

// sample holds the most recent observations, and their quantiles.
type sample struct {
	seen         []observation
	next         int
	median, high float64
}

func (s *sample) enough() bool { return len(s.seen) >= minSample }

func (s *sample) add(o observation) {
	if len(s.seen) < sampleSize {
		s.seen = append(s.seen, o)
	} else {
		s.seen[s.next] = o
	}
	s.next = (s.next + 1) % sampleSize
	sorted := slices.Clone(s.seen)
	slices.SortFunc(sorted, func(a, b observation) int { return cmp.Compare(a.value, b.value) })
	s.median, s.high = quantile(sorted, 0.5), quantile(sorted, highShare)
}

// quantile returns the least value that this share of further values do not exceed on average, or the
// largest value. It is the Kaplan-Meier estimate: a cut value counts for those above it. Counting it as the
// answer's full length would predict too little for callers with a higher maximum. The divisor is one more
// than the number of values, as the share of further values up to the k-th of n is k/(n+1) on average.
func quantile(sorted []observation, share float64) float64 {
	above := 1.0
	for i, o := range sorted {
		if o.cut {
			continue
		}
		left := float64(len(sorted) + 1 - i)
		above *= (left - 1) / left
		if 1-above >= share-1e-9 {
			return o.value
		}
	}
	return sorted[len(sorted)-1].value
}
