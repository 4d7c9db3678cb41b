package reservation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// rankChance is what chance may change in the share of a rank, rankChanceFirst in its mean time to the first
// event: a tenth of a pass.
const (
	rankChance      = 0.08
	rankChanceFirst = 5 * ms
)

// ranksOf returns ranks with these demands, each with the weight and engine priority of package urgency.
func ranksOf(demands ...float64) []loadRank {
	ranks := make([]loadRank, len(demands))
	weight := 1.0
	for i, demand := range demands {
		ranks[i] = loadRank{demand, weight, float64(3 + i)}
		weight *= 0.75
	}
	return ranks
}

// Guards against an order of ranks turned upside down, as under ordering by entries, and against a rank that is starved.
func TestRanksUnderOverload(t *testing.T) {
	for _, ranks := range [][]loadRank{
		ranksOf(1, 1), ranksOf(1, 3), ranksOf(3, 1), ranksOf(1, 1, 1), ranksOf(1, 2, 3), ranksOf(3, 2, 1),
	} {
		for _, load := range []float64{0.8, 1.0, 1.3, 2.0} {
			t.Run(fmt.Sprintf("ranks %v, load %.1f", ranks, load), func(t *testing.T) {
				t.Parallel()
				got := playSeeds(loadPlan{way: inTurn, entries: 17, engines: 51, load: load, ranks: ranks}, 2)
				first := got.ofRank(0)
				for i, r := range ranks {
					g := got.ofRank(i)
					t.Logf("rank %d: %v", i, g)
					if load < 1 {
						assert.LessOrEqual(t, g.refused(), 0.01, "rank %d: ranks cost nothing where there is room", i)
						continue
					}
					assert.GreaterOrEqual(t, first.served(), g.served(), "rank %d", i)
					assert.GreaterOrEqual(t, first.inTime(), g.inTime(), "rank %d", i)
					assert.LessOrEqual(t, first.meanFirst(), g.meanFirst()+rankChanceFirst, "rank %d", i)
					assert.GreaterOrEqual(t, g.served()/first.served(), r.weight-rankChance, "rank %d", i)
					assert.GreaterOrEqual(t, g.inTime()/first.inTime(), r.weight-rankChance, "rank %d", i)
				}
			})
		}
	}
}

// Guards against an organisation that takes the capacity from others: it has half of all callers, at a quarter of
// the entries.
func TestLargeOrganisationLeavesOthersTheirShare(t *testing.T) {
	const entries, at = 16, 4
	for _, load := range []float64{1.3, 2.0} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			t.Parallel()
			plan := loadPlan{way: inTurn, entries: entries, engines: 3 * entries, load: load}
			others := func(c *loadCaller) bool { return c.entry >= at }
			even := playSeeds(plan, 3).only(others)
			plan.factor = func(entry int, _ time.Duration) float64 {
				if entry < at {
					return 0.5 + 0.5*entries/at
				}
				return 0.5
			}
			all := playSeeds(plan, 3)
			uneven := all.only(others)
			t.Logf("others without it: %v", even)
			t.Logf("others with it:    %v", uneven)
			t.Logf("all with it:       %v", all)
			assert.GreaterOrEqual(t, uneven.served(), even.served()-0.05)
			assert.GreaterOrEqual(t, uneven.inTime(), even.inTime()-0.05)
			assert.GreaterOrEqual(t, uneven.inTime(), all.inTime()-0.05)
		})
	}
}

// Guards against large prompts that are never admitted while all engines are busy.
func TestLargePromptsAreServedUnderOverload(t *testing.T) {
	for _, load := range []float64{1.3, 2.0} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			t.Parallel()
			all := playSeeds(loadPlan{way: inTurn, entries: 17, engines: 51, load: load}, 3)
			slices.SortFunc(all, func(a, b *loadCaller) int { return b.prompt - a.prompt })
			tenth := len(all) / 10
			t.Logf("all:              %v", all)
			for name, g := range map[string]loadCallers{"largest tenth": all[:tenth], "fifth below it": all[tenth : 3*tenth]} {
				t.Logf("%-17s %v", name+":", g)
				assert.GreaterOrEqual(t, g.served(), all.served()/2, name)
			}
		})
	}
}
