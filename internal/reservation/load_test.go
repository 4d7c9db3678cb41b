package reservation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// loadFleet is a number of entries and engines.
type loadFleet struct{ entries, engines int }

var loadFleets = []loadFleet{{4, 12}, {17, 51}, {40, 76}}

// playSeeds returns the callers of runs with several seeds together.
func playSeeds(plan loadPlan, seeds uint64) loadCallers {
	var all loadCallers
	for plan.seed = range seeds {
		all = append(all, play(plan)...)
	}
	return all
}

// Guards against late first events and slow refusals under a sustained overload, as with reports only, and against calls
// that grow with the fleet.
func TestCallersUnderOverload(t *testing.T) {
	for _, f := range loadFleets {
		for _, load := range []float64{1.0, 1.3, 2.0} {
			t.Run(fmt.Sprintf("%d entries, load %.1f", f.entries, load), func(t *testing.T) {
				t.Parallel()
				got := map[loadWay]loadCallers{}
				for _, way := range []loadWay{byReports, inTurn, twoAtOnce} {
					got[way] = playSeeds(loadPlan{way: way, entries: f.entries, engines: f.engines, load: load}, 3)
					t.Logf("%12s: %v", way, got[way])
				}
				many := playSeeds(loadPlan{way: inTurn, entries: f.entries, engines: f.engines, load: load, sample: 12}, 3)
				t.Logf("%12s, of twelve candidates each time: %v", inTurn, many)
				a := got[inTurn]
				assert.GreaterOrEqual(t, a.inTime(), 0.9*a.served(), "in time, of those that are served")
				assert.GreaterOrEqual(t, a.quickRefusals(), 0.9)
				mean, most := a.asks()
				assert.LessOrEqual(t, mean, float64(loadMostAsks))
				assert.LessOrEqual(t, most, loadMostAsks)
				assert.GreaterOrEqual(t, a.served(), 0.9/load, "of those that the engines can bear")
				for busy := range 2 { // entries with the fewer, with the more callers
					of := func(c *loadCaller) bool { return c.entry%2 == busy }
					assert.GreaterOrEqual(t, a.only(of).inTime(), got[byReports].only(of).inTime(), "group %d", busy)
				}
			})
		}
	}
}
