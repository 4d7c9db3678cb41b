package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShortDeadlinesAreServedUnderOverload: what callers saw was that those of an organisation who
// state a short deadline were refused nearly all, while others of it who state a long one were served nearly
// all, for as long as more was asked than the slots bear. Cause: who may join the queue was decided by
// what each one's own deadline leaves. The queue then stands as long as those with most time may wait, and
// the others never fit. Evidence: of two organisations, one with each deadline, each gets its part, so that it
// is the common queue and not the deadline.
func TestShortDeadlinesAreServedUnderOverload(t *testing.T) {
	for _, load := range []float64{0.9, 1.3, 2, 3} {
		for _, deadlines := range [][2]time.Duration{{1500 * time.Millisecond, 6 * time.Second}, {2100 * time.Millisecond, 3900 * time.Millisecond}, {3 * time.Second, 0}} {
			t.Run(fmt.Sprintf("load %g, deadlines %v", load, deadlines), func(t *testing.T) {
				s := base(load)
				s.sources = []source{{"a", load * 20, 1, deadlines[0]}, {"a", load * 20, 1, deadlines[1]}}
				ts := s.run()
				served := func(i int) float64 { return float64(ts[i].good+ts[i].late) / float64(ts[i].arrived) }
				for i := range ts {
					t.Logf("of %d with %v: in time %d, late %d, refused %d", ts[i].arrived, deadlines[i], ts[i].good, ts[i].late, ts[i].refused)
				}
				all := (served(0) + served(1)) / 2
				require.Greater(t, served(0), leastOfAll*all, "of those with the shorter deadline")
				require.Greater(t, served(1), leastOfAll*all, "of those with the longer one")
			})
		}
	}
}

// TestDeadlinesOfManyLengthsAreServedAlike: most of an organisation's callers state 3 s, the others all
// kinds of deadlines, at four times the load: neither the few nor the many get all that there is.
func TestDeadlinesOfManyLengthsAreServedAlike(t *testing.T) {
	for _, most := range []float64{0.8, 0.9, 0.97} {
		s := base(4)
		s.sources = []source{{"a", most * 160, 1, 3 * time.Second}}
		for _, d := range []time.Duration{1500, 1800, 2200, 4000, 5000, 7000, 9000, 12000} {
			s.sources = append(s.sources, source{"a", (1 - most) / 8 * 160, 1, d * time.Millisecond})
		}
		ts := s.run()
		all := total(ts)
		share := func(t tally) float64 { return float64(t.good+t.late) / float64(t.arrived) }
		for i, one := range ts {
			t.Logf("of %d with %v: served %.3f, of all %.3f", one.arrived, s.sources[i].deadline, share(one), share(all))
			require.Greater(t, share(one), leastOfAll*share(all), "with %v", s.sources[i].deadline)
		}
	}
}

// leastOfAll is how often, against all, the requests of each kind are served at least.
const leastOfAll = 0.5
