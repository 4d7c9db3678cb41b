package reservation

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against late first events and cut streams at engines that are slow at all times.
func TestSlowEnginesInACalm(t *testing.T) {
	t.Parallel()
	plan := loadPlan{entries: 40, engines: 76, load: 0.7, slow: func(engine int) bool { return engine%6 == 0 }} // 13 of 76
	for _, plan.way = range []loadWay{byReports, inTurn} {
		got := playSeeds(plan, 3)
		t.Logf("%12s: %v", plan.way, got)
		if plan.way == inTurn {
			assert.Less(t, got.late(), 0.01)
			assert.Less(t, got.cut(), 0.001)
		}
	}
}

// Guards against late first events at engines that are slow for some hundred ms now and then.
func TestSlowMomentsInACalm(t *testing.T) {
	t.Parallel()
	plan := loadPlan{entries: 40, engines: 76, load: 0.7, slowShare: 0.15}
	for _, plan.way = range []loadWay{byReports, inTurn} {
		got := playSeeds(plan, 3)
		t.Logf("%12s: %v", plan.way, got)
		if plan.way == inTurn {
			assert.Less(t, got.late(), 0.02)
		}
	}
}

// Guards against engines that are assigned to entries rather than to demand, while callers move between zones, or those of one
// zone become more for some seconds.
func TestZonesShareEnginesByDemand(t *testing.T) {
	const zones, from = 3, loadFrom
	for _, c := range []struct {
		name    string
		to      time.Duration
		factors [zones]float64 // from the time on
	}{
		{"half of the callers of one zone move to another", loadTo, [zones]float64{0.5, 1.5, 1}},
		{"burst of one zone", from + 3*time.Second, [zones]float64{1, 1.7, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			plan := loadPlan{way: inTurn, entries: 18, engines: 54, load: 0.85, zones: zones}
			plan.factor = func(entry int, now time.Duration) float64 {
				if now < from || now >= c.to {
					return 1
				}
				return c.factors[entry%zones]
			}
			got := playSeeds(plan, 3).between(from, c.to)
			mean, worst := 0.0, 1.0
			for zone := range zones {
				g := got.only(func(c *loadCaller) bool { return c.entry%zones == zone })
				t.Logf("zone %d: %v", zone, g)
				mean += g.inTime() / zones
				worst = min(worst, g.inTime())
			}
			assert.GreaterOrEqual(t, worst, mean-0.03)
		})
	}
}

// Guards against shares that oscillate with a demand that swings.
func TestSwingingDemandCausesNoOscillation(t *testing.T) {
	t.Parallel()
	const period = 4 * time.Second
	plan := loadPlan{way: inTurn, entries: 18, engines: 54, load: 0.85, zones: 3}
	plan.factor = func(_ int, now time.Duration) float64 {
		return 1 + 0.22*math.Sin(2*math.Pi*now.Seconds()/period.Seconds())
	}
	got := playSeeds(plan, 3)
	t.Log(got)
	for from := loadFrom; from < loadTo; from += time.Second {
		second := got.between(from, from+time.Second)
		t.Logf("second %v: %v", from, second)
		assert.GreaterOrEqual(t, second.inTime(), got.inTime()-0.1, "second %v", from)
	}
}
