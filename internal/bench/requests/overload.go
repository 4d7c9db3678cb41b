package main

import (
	"fmt"
	"time"

	"lynxgate.dev/lynxgate/internal/replay"
	"lynxgate.dev/lynxgate/internal/trace"
)

const (
	goodputDuration  = 6 * time.Second
	fairnessDuration = 6 * time.Second
	// smallShare of the capacity is what the small organisations use.
	smallShare = 0.3
	// burst of the large organisation, in capacities.
	burst = 3
)

// measureGoodput offers one, two and four times the capacity to two entries
// before the same backend servers.
func measureGoodput(s *system) error {
	capacity := s.measureCapacity()
	goodput := map[float64]float64{}
	for _, times := range []float64{1, 2, 4} {
		report, err := s.replay(offered{
			name: fmt.Sprintf("goodput-%.0f", times), rate: times * capacity, duration: goodputDuration,
			organisations: shares(1, 0), loads: []trace.Load{shortLoad()}, targets: s.entries,
		})
		if err != nil {
			return err
		}
		goodput[times] = useful(report) / goodputDuration.Seconds()
		note("goodput at %.0fx: %.1f/s; %s; told in p99 %s", times, goodput[times], tally(report), refusalTime(report))
		time.Sleep(time.Second)
	}
	figure("goodput.x1_over_capacity", goodput[1]/capacity)
	figure("goodput.x2_over_x1", goodput[2]/goodput[1])
	figure("goodput.x4_over_x1", goodput[4]/goodput[1])
	return nil
}

// refusalTime is the 99th percentile of the time after which requests that
// did not run were told so.
func refusalTime(r *replay.Report) time.Duration {
	h := replay.NewHistogram()
	for _, result := range r.Results {
		if result.Outcome == replay.NotRun {
			replay.Record(h, result.Total)
		}
	}
	return time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}

// measureFairness compares the small organisations' times without and with a
// large one that offers three times the capacity.
func measureFairness(s *system) error {
	capacity := s.measureCapacity()
	var p95 [2]int64
	for i, large := range []float64{0, burst} {
		report, err := s.replay(offered{
			name: fmt.Sprintf("fairness-%d", i), rate: (smallShare + large) * capacity, duration: fairnessDuration,
			organisations: shares(smallShare/smallOrganisations, large), loads: []trace.Load{shortLoad()}, targets: s.entries,
		})
		if err != nil {
			return err
		}
		small := report.By(func(r replay.Result) string {
			if r.Request.Organisation == largeOrganisation {
				return largeOrganisation
			}
			return "small"
		})["small"]
		p95[i] = small.Times.Total.P95
		note("small organisations, large one at %.0fx: %s; %s", large, small.Times.Total, tally(small))
		time.Sleep(time.Second)
	}
	figure("fairness.p95_ratio", float64(p95[1])/float64(p95[0]))
	return nil
}
