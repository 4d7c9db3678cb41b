package balance

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/waiting"
)

// The load of sizes_load_test.go below capacity, with some slow engines. Reports are as old as on the
// deployment where slow engines were seen: with the older ones of load_test.go, 4 in 100 first events are late
// at this load without any slow engine, because of requests of other entries.
const (
	paceLoad           = 0.6
	paceSeeds          = 32
	paceReportInterval = 100 * time.Millisecond
	paceReportLag      = 92 * time.Millisecond
	// slowShare of 100 engines have slowPace for the whole run.
	slowPace  = 2.5
	slowShare = 17
	// maxLateShare is the limit of late first events. The standard deviation of one seed is 0.003, so that of
	// all is 0.0006.
	maxLateShare = 0.02
)

// slowEngines makes a share of the engines slow, and returns their number.
func (p *loadSimulation) slowEngines(reported bool) (n int) {
	for i, e := range p.order {
		if i*slowShare%100 < slowShare {
			e.pace, n = slowPace, n+1
		}
		e.reportsPace = reported
	}
	return n
}

// paceResult adds up the results of all seeds, with or without the pace in the engines' reports.
func paceResult(t *testing.T, reported bool) loadResult {
	var mu sync.Mutex
	var sum loadResult
	slow, engines := 0, 0
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(paceSeeds) {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				p := newSizedSimulation(seed, func() waitPolicy { return sameForAll{waiting.NewAllowance(loadObjective, loadRead)} })
				p.reportInterval, p.reportLag = paceReportInterval, paceReportLag
				n := p.slowEngines(reported)
				p.play(paceLoad)
				mu.Lock()
				defer mu.Unlock()
				slow, engines = n, len(p.order)
				sum.add(p.sum(-1, -1))
			})
		}
	})
	t.Logf("load %.1f, %d of %d engines at pace %.1f, pace reported %v: %v, %.4f of first events late", paceLoad, slow, engines, slowPace, reported, sum, sum.lateShare())
	return sum
}

// lateShare returns the share of late ones of all first events.
func (g loadResult) lateShare() float64 { return float64(g.late) / float64(g.inTime+g.late) }

// Guards against prompts that are sent to slow engines as if these were usual ones.
func TestSlowEnginesDoNotMakeCallersLate(t *testing.T) {
	without, with := paceResult(t, false), paceResult(t, true)
	assert.Greater(t, without.lateShare(), maxLateShare, "the fault")
	assert.Less(t, with.lateShare(), maxLateShare)
	assert.Less(t, with.share(with.refused), 0.005)
}
