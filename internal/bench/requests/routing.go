package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/replay"
	"lynxgate.dev/lynxgate/internal/standin/engine"
	"lynxgate.dev/lynxgate/internal/trace"
)

const (
	// routingRounds let each policy have its turn with the same load, so that
	// what else the machine does falls on all of them.
	routingRounds   = 3
	routingDuration = 5 * time.Second
	routingRate     = 26.0
	grayDuration    = 8 * time.Second
	// graySettled is how long after its start a slow server must be found.
	graySettled = 4 * time.Second
	grayFactor  = 10
	// grayShare of the capacity is offered while a server is slow.
	grayShare = 0.4
)

// skewedLoads are many short answers and some long ones, behind prompts of
// which each organisation's share a prefix.
func skewedLoads() []trace.Load {
	base := trace.Load{
		Service: pacedService, Method: http.MethodPost, Path: trace.PathCompletion,
		Deadline: 20 * time.Second, TemplateWords: 160, PromptWords: [2]int{4, 12}, Streamed: 1,
	}
	short, long := base, base
	short.Share, short.MaxTokens = 0.9, [2]int{5, 25}
	long.Share, long.MaxTokens = 0.1, [2]int{150, 250}
	return []trace.Load{short, long}
}

// measureRouting sends the same skewed load through entries with different
// policies; the engines' reports are half a second old.
func measureRouting(s *system) error {
	sums := map[string]*policySum{}
	for round := range routingRounds {
		for _, policy := range policies {
			report, err := s.replay(offered{
				name: fmt.Sprintf("routing-%s-%d", policy, round), rate: routingRate, duration: routingDuration, seed: uint64(round),
				organisations: shares(1, 3), loads: skewedLoads(), targets: []*harness.Daemon{s.byPolicy[policy]},
			})
			if err != nil {
				return err
			}
			if sums[policy] == nil {
				sums[policy] = &policySum{firstToken: replay.NewHistogram()}
			}
			sums[policy].add(report)
		}
	}
	for _, policy := range policies {
		sum := sums[policy]
		note("policy %s: first token p50 %.0f p95 %.0f p99 %.0f us; prefix hits %.2f of %d; %d not completed", policy,
			sum.at(50), sum.at(95), sum.at(99), sum.hitRate(), sum.completed, sum.failed)
	}
	best := sums[policies[0]]
	figure("routing.p95_over_random", best.at(95)/sums["random"].at(95))
	figure("routing.p95_over_roundrobin", best.at(95)/sums["round-robin"].at(95))
	figure("routing.prefix_hit_rate", best.hitRate())
	figure("routing.prefix_hit_rate_random", sums["random"].hitRate())
	return nil
}

// policySum adds up the rounds of one policy.
type policySum struct {
	firstToken              *hdrhistogram.Histogram
	completed, failed, hits int
}

func (p *policySum) add(r *replay.Report) {
	p.firstToken.Merge(r.FirstToken)
	p.completed += r.Counts.Completed
	p.failed += len(r.Results) - r.Counts.Completed
	for _, result := range r.Results {
		if result.CachedTokens >= skewedLoads()[0].TemplateWords/2 {
			p.hits++
		}
	}
}

func (p *policySum) at(quantile float64) float64 {
	return float64(p.firstToken.ValueAtQuantile(quantile))
}

// hitRate is the part of the answers for which the shared prefix was cached.
func (p *policySum) hitRate() float64 { return float64(p.hits) / float64(max(p.completed, 1)) }

// measureGray compares the times with all servers well and with one of them
// ten times slower.
func measureGray(s *system) error {
	capacity := s.measureCapacity()
	load := offered{
		name: "gray-0", rate: grayShare * capacity, duration: grayDuration,
		organisations: shares(1, 0), loads: []trace.Load{shortLoad()}, targets: s.entries,
	}
	well, err := s.replay(load)
	if err != nil {
		return err
	}
	note("all well: %s; %s", well.Times.Total, tally(well))
	if err := setFaults(s.paced[0], engine.Faults{Slow: grayFactor}); err != nil {
		return err
	}
	load.name = "gray-1"
	slow, err := s.replay(load)
	if err != nil {
		return err
	}
	settled := slow.By(func(r replay.Result) string {
		return fmt.Sprint(time.Duration(r.Request.OffsetMS)*time.Millisecond >= graySettled)
	})["true"]
	note("one server %dx slower: %s; %s", grayFactor, slow.Times.Total, tally(slow))
	note("after %s: %s; %s", graySettled, settled.Times.Total, tally(settled))
	figure("gray.p99_ratio", float64(slow.Times.Total.P99)/float64(well.Times.Total.P99))
	figure("gray.p99_ratio_settled", float64(settled.Times.Total.P99)/float64(well.Times.Total.P99))
	figure("gray.useful_ratio", useful(slow)/useful(well))
	return setFaults(s.paced[0], engine.Faults{})
}
