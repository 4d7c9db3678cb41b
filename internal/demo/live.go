package main

import (
	"fmt"
	"time"

	"lynxgate.dev/lynxgate/internal/replay"
)

// liveSeed is the seed of the loads that are compared; both are the same.
const liveSeed = loadSeed + 2

// compareLive replays one load on a quiet fleet and again while all VMs fetch
// a new version, and prints the times that callers see.
func (s *system) compareLive() error {
	t := &table{}
	if err := s.bringLive(t, "v1"); err != nil {
		return err
	}
	quiet, err := s.startLoad(s.entries[0], liveSeed).wait()
	if err != nil {
		return err
	}
	burst := s.startLoad(s.entries[0], liveSeed+1)
	time.Sleep(pause)
	elapsed, err := s.applyVersion("v2")
	if err != nil {
		return err
	}
	during, err := burst.wait()
	if err != nil {
		return err
	}
	t.note("time to roll all VMs to v2 under the load", elapsed.Round(10*time.Millisecond))
	t.check("answers whole / not run / unknown / wrong, quiet", tally(quiet), len(quiet.Differences) == 0)
	t.check("answers whole / not run / unknown / wrong, burst", tally(during), len(during.Differences) == 0)
	t.note("first token p95, quiet / burst", times(quiet.Times.FirstToken, during.Times.FirstToken))
	t.note("between tokens p95, quiet / burst", times(quiet.Times.BetweenTokens, during.Times.BetweenTokens))
	s.judgeStop(t)
	t.print()
	return t.failure()
}

// times shows two 95th percentiles and their ratio.
func times(quiet, burst replay.Quantiles) string {
	const perMilli = 1000.0
	return fmt.Sprintf("%.1f / %.1f ms, ratio %.2f",
		float64(quiet.P95)/perMilli, float64(burst.P95)/perMilli, float64(burst.P95)/float64(max(1, quiet.P95)))
}
