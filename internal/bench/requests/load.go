package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/replay"
	"lynxgate.dev/lynxgate/internal/trace"
)

// Short requests, for everything but routing.
const (
	shortTokens   = 20
	shortDeadline = time.Second
)

// topics are the words of prompts.
var topics = []string{"laundry", "key", "repair", "parking", "leak", "door", "spread", "panel", "promo", "caption"}

// shortLoad is the load of short streams.
func shortLoad() trace.Load {
	return trace.Load{
		Service: pacedService, Share: 1, Method: http.MethodPost, Path: trace.PathCompletion,
		Deadline: shortDeadline, TemplateWords: 2, PromptWords: [2]int{2, 6},
		MaxTokens: [2]int{shortTokens, shortTokens}, Streamed: 1,
	}
}

// shares returns organisations with the share of requests of each.
func shares(small, large float64) []trace.OrganisationLoad {
	var out []trace.OrganisationLoad
	for _, name := range smallNames() {
		out = append(out, trace.OrganisationLoad{Name: name, Share: small})
	}
	if large > 0 {
		out = append(out, trace.OrganisationLoad{Name: largeOrganisation, Share: large})
	}
	return out
}

// offered describes one open-loop load.
type offered struct {
	// name makes the ids and keys of requests differ between loads.
	name          string
	rate          float64
	duration      time.Duration
	organisations []trace.OrganisationLoad
	loads         []trace.Load
	targets       []*harness.Daemon
	// seed of the trace; loads with the same one are the same.
	seed uint64
}

func (o offered) requests() []trace.Request {
	requests := trace.Generate(trace.Settings{
		Deployment: trace.Deployment{Name: o.name, Organisations: o.organisations, Loads: o.loads, Topics: topics},
		Seed:       o.seed, Rate: o.rate, Duration: o.duration, Expect: trace.AnsweredWholeOrTold,
	})
	for i := range requests {
		requests[i].ID = o.name + "-" + requests[i].ID
		if key := requests[i].IdempotencyKey; key != "" {
			requests[i].IdempotencyKey = o.name + "-" + key
		}
	}
	return requests
}

// replay sends the load and returns what became of it.
func (s *system) replay(o offered) (*replay.Report, error) {
	keys := map[string]string{largeOrganisation: harness.Key(largeOrganisation)}
	for _, name := range smallNames() {
		keys[name] = harness.Key(name)
	}
	var targets []string
	for _, d := range o.targets {
		targets = append(targets, "http://"+d.CallersAddr)
	}
	digests := []string{s.origin.Versions[0].Digest}
	return replay.Run(context.Background(), replay.Config{
		Targets: targets, Keys: keys,
		Digests: map[string][]string{pacedService: digests, fastService: digests},
	}, o.requests())
}

// useful counts the answers that were whole and in time.
func useful(r *replay.Report) float64 { return float64(r.Counts.Completed - r.Counts.Late) }

// tally is the report in one line.
func tally(r *replay.Report) string {
	c := r.Counts
	return fmt.Sprintf("completed %d (late %d), not run %d, unknown %d, wrong %d", c.Completed, c.Late, c.NotRun, c.Unknown, c.Wrong)
}

// measureCapacity finds how many short requests the paced engines complete in
// a second when they are asked directly and all their slots are in use.
func (s *system) measureCapacity() float64 {
	if s.capacity > 0 {
		return s.capacity
	}
	var wg sync.WaitGroup
	done := make([]int64, engines)
	for i, a := range s.paced {
		c := newCaller(replay.NewClient(), "http://"+a.BackendAddr, pacedService, shortTokens, true)
		wg.Go(func() {
			took, _ := c.closedLoop(concurrency, loopDuration)
			done[i] = took.TotalCount()
		})
	}
	wg.Wait()
	for _, n := range done {
		s.capacity += float64(n) / loopDuration.Seconds()
	}
	note("capacity of the engines %.0f short requests a second", s.capacity)
	return s.capacity
}
