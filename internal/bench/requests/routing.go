package main

import (
	"fmt"
	"net/http"
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/replay"
	"lynxgate.dev/lynxgate/internal/standin/engine"
	"lynxgate.dev/lynxgate/internal/trace"
)

const (
	routingDuration = 8 * time.Second
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
	p95 := map[string]int64{}
	hits := map[string]float64{}
	for _, policy := range policies {
		report, err := s.replay(offered{
			name: "routing-" + policy, rate: routingRate, duration: routingDuration,
			organisations: shares(1, 3), loads: skewedLoads(), targets: []*harness.Daemon{s.byPolicy[policy]},
		})
		if err != nil {
			return err
		}
		p95[policy] = report.Times.FirstToken.P95
		hits[policy] = hitRate(report)
		note("policy %s: first token %s; prefix hits %.2f; %s", policy, report.Times.FirstToken, hits[policy], tally(report))
		time.Sleep(time.Second)
	}
	figure("routing.p95_over_random", float64(p95["balanced"])/float64(p95["random"]))
	figure("routing.p95_over_roundrobin", float64(p95["balanced"])/float64(p95["round-robin"]))
	figure("routing.prefix_hit_rate", hits["balanced"])
	figure("routing.prefix_hit_rate_random", hits["random"])
	return nil
}

// hitRate is the part of the requests whose shared prefix was cached.
func hitRate(r *replay.Report) float64 {
	hit, all := 0, 0
	for _, result := range r.Results {
		if result.Outcome != replay.Completed {
			continue
		}
		all++
		if result.CachedTokens >= skewedLoads()[0].TemplateWords/2 {
			hit++
		}
	}
	return float64(hit) / float64(max(all, 1))
}

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
