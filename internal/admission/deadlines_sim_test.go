package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Under overload an organisation's requests with a short deadline were nearly all refused, because one
// queue for all deadlines grows to the wait that the longest deadline allows.
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
				require.Greater(t, served(0), minRelativeShare*all, "of those with the shorter deadline")
				require.Greater(t, served(1), minRelativeShare*all, "of those with the longer one")
			})
		}
	}
}

// At four times the capacity, most requests of an organisation have a deadline of 3 s and the others various
// ones: neither the frequent deadline nor the rare ones may take all slots.
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
			require.Greater(t, share(one), minRelativeShare*share(all), "with %v", s.sources[i].deadline)
		}
	}
}

// minRelativeShare bounds the share of requests served with one deadline, relative to that with any deadline.
const minRelativeShare = 0.5
