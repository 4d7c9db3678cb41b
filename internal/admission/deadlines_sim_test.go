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

// leastOfAll is how often, against all, the requests of each kind are served at least.
const leastOfAll = 0.5
