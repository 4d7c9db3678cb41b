package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/replay"
	"lynxgate.dev/lynxgate/internal/standin/origin"
	"lynxgate.dev/lynxgate/internal/trace"
)

const (
	loadSeed     = 7
	loadRate     = 20.0
	loadDuration = 30 * time.Second
)

// deployment is Folleto Andino, less the services that the demo doesn't run.
func deployment() trace.Deployment {
	d := trace.Deployments()[0]
	var loads []trace.Load
	for _, l := range d.Loads {
		if l.Service == modelService || l.Service == plainService {
			loads = append(loads, l)
		}
	}
	d.Loads = loads
	return d
}

// load is a replay under way against one entry.
type load struct {
	report *replay.Report
	err    error
	done   chan struct{}
}

// startLoad replays a generated trace against one entry.
func (s *system) startLoad(entry *harness.Daemon, seed uint64) *load {
	requests := trace.Generate(trace.Settings{
		Deployment: deployment(), Seed: seed, Rate: loadRate / entryCount, Duration: loadDuration,
	})
	for i := range requests {
		requests[i].ID = fmt.Sprintf("%d-%s", seed, requests[i].ID)
		if key := requests[i].IdempotencyKey; key != "" {
			requests[i].IdempotencyKey = fmt.Sprintf("%d-%s", seed, key)
		}
	}
	keys := map[string]string{}
	for _, o := range deployment().Organisations {
		keys[o.Name] = harness.Key(o.Name)
	}
	digests := map[string][]string{}
	for _, v := range s.origin.Versions {
		digests[modelService] = append(digests[modelService], v.Digest)
	}
	l := &load{done: make(chan struct{})}
	go func() {
		defer close(l.done)
		l.report, l.err = replay.Run(context.Background(), replay.Config{
			Targets: []string{"http://" + entry.CallersAddr},
			Keys:    keys,
			Digests: digests,
		}, requests)
	}()
	return l
}

func (l *load) wait() (*replay.Report, error) {
	<-l.done
	return l.report, l.err
}

// runs asks the plain service how often each idempotency key ran.
func (s *system) runs() (map[string]int, error) {
	return replay.FetchRuns(context.Background(), http.DefaultClient, []string{"http://" + s.plain.BackendAddr})
}

// originCopies returns how many copies of a version the origin and the store
// have sent, by version.
func (s *system) originCopies() (map[string]float64, error) {
	copies := map[string]float64{}
	for _, source := range []*harness.Source{s.origin, s.store} {
		var sent origin.Bytes
		if err := getJSON(source.URL+"/_bytes", &sent); err != nil {
			return nil, err
		}
		for _, v := range s.origin.Versions {
			copies[v.Version] += float64(sent.Weights[v.Model+"@"+v.Version]) / float64(v.Size)
		}
	}
	return copies, nil
}

func getJSON(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
