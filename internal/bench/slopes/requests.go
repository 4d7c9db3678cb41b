package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/inventory"
)

const (
	modelName    = "tiny"
	modelService = "drafts"

	// tokenTime is the target's time between two tokens.
	tokenTime = 57 * time.Millisecond
	// streamWindow is measured after streamRamp has passed.
	streamWindow = 5 * time.Second
	streamRamp   = 2 * time.Second
	// requestWindow is measured at each rate of short requests.
	requestWindow = 4 * time.Second
)

// requestRates are rates of short requests, per second.
var requestRates = []int{25, 50}

// measureRequests measures one entry before one agent with an engine.
func measureRequests(cfg config, r *results) error {
	if len(cfg.streams) == 0 {
		return nil
	}
	f, err := startFleet(cfg, "requests", 1)
	if err != nil {
		return err
	}
	defer f.KillAll()
	if err := f.startPath(); err != nil {
		return err
	}
	c := newCaller(f.entries[0])
	idle, err := f.idle(streamWindow)
	if err != nil {
		return err
	}
	r.Streams = append(r.Streams, pathResult{Use: idle})
	for _, n := range cfg.streams {
		if err := f.measureStreams(r, c, n); err != nil {
			return fmt.Errorf("%d streams: %w", n, err)
		}
	}
	r.Requests = append(r.Requests, pathResult{Use: idle})
	for _, rate := range requestRates {
		if err := f.measureRate(r, c, rate); err != nil {
			return fmt.Errorf("%d requests a second: %w", rate, err)
		}
	}
	return nil
}

// startPath starts an origin, an entry and an agent beside an engine, and
// brings a model live.
func (f *fleet) startPath() error {
	source, err := f.StartSource("origin", "origin", "-model", modelName, "-versions", "v1", "-size", "65536", "-chunk-size", "65536")
	if err != nil {
		return err
	}
	place := places()[0]
	d, err := f.StartEntry("entry-1", place, f.control, "")
	if err != nil {
		return err
	}
	f.entries, f.kinds[d] = []*harness.Daemon{d}, entry
	a, err := f.StartAgent(harness.AgentSpec{
		Name: "vm-1", Place: place, Service: modelService, Kind: "model", Control: f.control, Feeds: f.entries,
		// An engine that checks fencing numbers takes its first order at once.
		Extra:   "checks_fencing = true\n",
		Backend: []string{"-check-fencing", "-concurrency", "2000", "-token-time", tokenTime.String(), "-prefill-words", "100000"},
	})
	if err != nil {
		return err
	}
	f.agents, f.kinds[a.Daemon] = []*harness.Agent{a}, agent
	v := source.Versions[0]
	err = f.apply(inventory.Inventory{
		VMs:      []inventory.VM{{Name: "vm-1", Zone: place.Zone}},
		Services: []inventory.Service{{Name: modelService, Kind: inventory.KindModel, Model: modelName}},
		Models:   []inventory.ModelVersion{{Model: modelName, Version: v.Version, Manifest: v.Manifest, Origin: source.URL}},
		Rules:    []inventory.Rule{{Name: "drafts", Service: modelService, Version: v.Version, Copies: 1}},
	})
	if err != nil {
		return err
	}
	operator := f.Operator(f.control)
	return harness.Wait(settleTimeout, "the model to be live", func() bool { return operator.Live(modelName, v.Version) == 1 })
}

// measureStreams measures n answers streamed at once.
func (f *fleet) measureStreams(r *results, c *caller, n int) error {
	ctx, cancel := context.WithCancel(context.Background())
	var open sync.WaitGroup
	defer open.Wait()
	defer cancel()
	length := int((streamRamp + streamWindow + 20*time.Second) / tokenTime)
	for range n {
		open.Go(func() { c.stream(ctx, length) })
		time.Sleep(streamRamp / 2 / time.Duration(n))
	}
	time.Sleep(streamRamp / 2)
	failed, tokens := c.failed.Load(), c.tokens.Load()
	use, err := f.idle(streamWindow)
	if err != nil {
		return err
	}
	if lost := c.failed.Load() - failed; lost > 0 {
		return fmt.Errorf("%d streams failed: %v", lost, c.lastError.Load())
	}
	rate := float64(c.tokens.Load()-tokens) / use[entry].Seconds
	r.Streams = append(r.Streams, pathResult{Streams: float64(n), PerSecond: rate, Use: use})
	fmt.Printf("  %d streams, %.0f tokens/s: entry %.1f%%, agent %.1f%% of a core\n", n, rate, percent(use[entry]), percent(use[agent]))
	return nil
}

// measureRate measures short requests at a rate.
func (f *fleet) measureRate(r *results, c *caller, rate int) error {
	ctx, cancel := context.WithCancel(context.Background())
	var open sync.WaitGroup
	defer open.Wait()
	defer cancel()
	open.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for ctx.Err() == nil {
			<-ticker.C
			open.Go(func() { c.stream(ctx, 1) })
		}
	})
	time.Sleep(time.Second)
	failed, answers := c.failed.Load(), c.answers.Load()
	use, err := f.idle(requestWindow)
	if err != nil {
		return err
	}
	if lost := c.failed.Load() - failed; lost > 0 {
		return fmt.Errorf("%d requests failed: %v", lost, c.lastError.Load())
	}
	perSecond := float64(c.answers.Load()-answers) / use[entry].Seconds
	r.Requests = append(r.Requests, pathResult{PerSecond: perSecond, Use: use})
	fmt.Printf("  %.0f requests/s: entry %.1f%%, agent %.1f%% of a core\n", perSecond, percent(use[entry]), percent(use[agent]))
	return nil
}

// caller sends completion requests to one entry and counts what comes back.
type caller struct {
	url                     string
	client                  *http.Client
	tokens, answers, failed atomic.Int64
	lastError               atomic.Value
}

func newCaller(d *harness.Daemon) *caller {
	return &caller{
		url:    "http://" + d.CallersAddr + "/v1/completions",
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}},
	}
}

// stream asks for a streamed answer of so many tokens and reads it until it
// ends or ctx is done.
func (c *caller) stream(ctx context.Context, tokens int) {
	err := c.receive(ctx, tokens)
	switch {
	case err == nil:
		c.answers.Add(1)
	case ctx.Err() == nil:
		c.failed.Add(1)
		c.lastError.Store(err.Error())
	}
}

func (c *caller) receive(ctx context.Context, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"a line for the spring brochure","max_tokens":%d,"stream":true}`, modelService, tokens)
	return harness.Complete(ctx, c.client, c.url, organisation, []byte(body), func() { c.tokens.Add(1) })
}
