package systest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// sampleInterval lies between two looks at an engine.
const sampleInterval = 20 * time.Millisecond

// engineState is what a fake engine says of itself.
type engineState struct {
	State   string `json:"state"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Fence   uint64 `json:"fence"`
}

func stateOf(a *harness.Agent) (engineState, bool) {
	var state engineState
	ok := getJSON("http://"+a.BackendAddr+"/engine/state", &state)
	return state, ok
}

// sampler looks at something again and again until it is ended.
type sampler struct {
	stop    chan struct{}
	stopped sync.WaitGroup

	mu     sync.Mutex
	faults []string
	looks  int
}

// sample calls look, which returns a fault or "", until the test's end.
func sample(t *testing.T, look func() string) *sampler {
	s := &sampler{stop: make(chan struct{})}
	s.stopped.Go(func() {
		for {
			fault := look()
			s.mu.Lock()
			s.looks++
			if fault != "" {
				s.faults = append(s.faults, fault)
			}
			s.mu.Unlock()
			select {
			case <-s.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	t.Cleanup(s.end)
	return s
}

func (s *sampler) end() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	s.stopped.Wait()
}

// check ends the sampling and requires that nothing was wrong.
func (s *sampler) check(t *testing.T, what string) {
	t.Helper()
	s.end()
	require.Positive(t, s.looks)
	require.Empty(t, s.faults, what)
}

// sampleDigest looks for weights at an engine that are no declared version.
func (s *system) sampleDigest(a *harness.Agent) *sampler {
	whole := map[string]string{"": "", "v1": s.digest("v1"), "v2": s.digest("v2")}
	return sample(s.t, func() string {
		state, ok := stateOf(a)
		if !ok || state.State != "live" {
			return ""
		}
		if digest, declared := whole[state.Version]; !declared || digest != state.Digest || digest == "" {
			return fmt.Sprintf("%+v", state)
		}
		return ""
	})
}

// served follows which version an agent says that it serves.
type served struct {
	mu      sync.Mutex
	version string
}

func (s *served) get() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *served) set(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// followServed watches an agent, as entries do, also over its restarts.
func followServed(t *testing.T, a *harness.Agent) *served {
	s := &served{}
	ctx, cancel := context.WithCancel(context.Background())
	var followed sync.WaitGroup
	followed.Go(func() {
		for ctx.Err() == nil {
			s.follow(ctx, a.RPCAddr)
			s.set("")
			time.Sleep(sampleInterval)
		}
	})
	t.Cleanup(func() { cancel(); followed.Wait() })
	return s
}

func (s *served) follow(ctx context.Context, addr string) {
	conn, err := rpcconn.Dial(ctx, addr)
	if err != nil {
		return
	}
	defer conn.Close()
	stream, err := rpc.NewDRPCDispatchClient(conn).Watch(ctx, &rpc.WatchRequest{Entry: "test"})
	if err != nil {
		return
	}
	defer stream.Close()
	for {
		state, err := stream.Recv()
		if err != nil {
			return
		}
		version := ""
		if len(state.Live) > 0 {
			version = state.Live[0].Version
		}
		s.set(version)
	}
}

// TestLateOrderAtEngineWithoutFencing proves that a replica is served only on
// the weights that the engine has, when the engine ignores fencing numbers and
// the agent dies with a slow load in progress and returns to a newer
// assignment.
func TestLateOrderAtEngineWithoutFencing(t *testing.T) {
	s := start(t, size{
		controls: 1, entries: 1, engines: 1, ignoresFencing: true,
		agent: "load_timeout = \"9s\"\n", engine: []string{"-load-time", "5s"},
	})
	engine := s.engines[0]
	whole := s.sampleDigest(engine)
	serving := followServed(t, engine)
	matches := sample(t, func() string {
		before := serving.get()
		state, ok := stateOf(engine)
		if !ok || before == "" || serving.get() != before {
			return ""
		}
		if state.State != "live" || state.Digest != s.digest(before) {
			return fmt.Sprintf("served %s, engine has %+v", before, state)
		}
		return ""
	})
	s.want("v1", 1, 0)
	s.wait("the load order of v1", func() bool {
		state, ok := stateOf(engine)
		return ok && state.State == "loading"
	})
	require.NoError(t, engine.Kill())
	s.want("v2", 1, 0)
	s.restart(engine.Daemon)
	s.wait("v2 to be served", func() bool { return serving.get() == "v2" })
	// The late order has ended long ago; the engine must stay on v2.
	s.waitLive("v2", 1)
	state, ok := stateOf(engine)
	require.True(t, ok)
	require.Equal(t, s.digest("v2"), state.Digest)
	matches.check(t, "served versions that the engine did not have")
	whole.check(t, "weights at the engine that no version has")
}

// TestRollUnderLoad proves that a roll of versions under load mixes, cuts and
// refuses nothing and never goes below min_live.
func TestRollUnderLoad(t *testing.T) {
	const minLive = 3
	s := start(t, size{controls: 1, entries: 2, engines: 4, engine: []string{"-load-time", "700ms"}})
	s.bringLive("v1")
	down := newDowntimes(len(s.engines))
	var samplers []*sampler
	for i, a := range s.engines {
		samplers = append(samplers, sample(t, func() string {
			began := time.Now()
			state, ok := stateOf(a)
			down.note(i, began, ok && state.State == "live")
			return ""
		}), s.sampleDigest(a))
	}
	l := s.replay(drafts("roll", 150, 60*time.Millisecond, 20, "answered-whole"), s.entries...)
	s.want("v2", len(s.engines), minLive)
	s.waitLive("v2", len(s.engines))
	report := l.check()
	require.Equal(t, len(report.Results), report.Counts.Completed)
	for _, sampler := range samplers {
		sampler.check(t, "weights at an engine that no version has")
	}
	require.Positive(t, down.total(), "no load of an engine was seen")
	require.LessOrEqual(t, down.most(), len(s.engines)-minLive, "replicas down at one time")
}

// downtimes are the times for which engines were certainly not live: between
// two looks in a row that found them so.
type downtimes struct {
	mu    sync.Mutex
	last  []time.Time
	spans [][2]time.Time
}

func newDowntimes(engines int) *downtimes { return &downtimes{last: make([]time.Time, engines)} }

// note takes a look at an engine that began at a time.
func (d *downtimes) note(engine int, began time.Time, live bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if live {
		d.last[engine] = time.Time{}
		return
	}
	if since := d.last[engine]; !since.IsZero() {
		d.spans = append(d.spans, [2]time.Time{since, began})
	}
	// The look found the engine down some time after it began.
	d.last[engine] = time.Now()
}

func (d *downtimes) total() int { return len(d.spans) }

// most returns how many engines were down at one time.
func (d *downtimes) most() int {
	most := 0
	for _, at := range d.spans {
		n := 0
		for _, span := range d.spans {
			if !span[0].After(at[0]) && at[0].Before(span[1]) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
