package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/standstill"
)

var headers = Headers{
	RequestID: "X-Id", DeadlineMs: "X-Wait", Key: "X-Key", Organisation: "X-Org", ExpectServer: "X-Expect",
	ExpectVersion: "X-Expect-Weights", NotRun: "X-Not-Run", Signature: "X-Signed", ServerID: "X-Server",
	Load: "X-Load", Limit: "X-Limit", Leaving: "X-Leaving", Model: "X-Of-Model", Version: "X-Weights", Tokens: "X-Tokens", PromptParts: "X-Parts", LengthHint: "X-Hint", ResumeAfter: "Last-Event-ID", Priority: "X-Rank",
}

// backend is a fake backend server that answers each request with a handler.
type backend struct {
	*httptest.Server
	id string
	mu sync.Mutex
	// seen are the requests received.
	seen []*http.Request
}

func newBackend(t testing.TB, id string, serve func(w http.ResponseWriter, r *http.Request)) *backend {
	b := &backend{id: id}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.seen = append(b.seen, r)
		b.mu.Unlock()
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		w.Header().Set(headers.ServerID, id)
		serve(w, r)
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *backend) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}

func good(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headers.Signature, "signed")
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headers.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func cut(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// events writes the events after the last one that the caller has. If stop is not 0, it aborts
// in the middle of the event after that.
func events(stop int) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.Signature, "signed")
		w.Header().Set(headers.Version, "7")
		last, _ := strconv.Atoi(r.Header.Get(headers.ResumeAfter))
		for i := last + 1; i <= 5; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			if i == stop {
				fmt.Fprintf(w, "id: %d\nda", i+1)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

const wholeStream = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n"

// entry is a Gateway with an HTTP server. Its backends belong to the services plain and engine.
type entry struct {
	*Gateway
	*httptest.Server
	logs *logBuffer
}

// logBuffer holds log lines; calls may still write some while a test reads.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// regionOf is the region of a zone: the first backend of an entry is at home, the others are abroad.
func regionOf(zone string) string { return map[string]string{"z": "home", "": "abroad"}[zone] }

func newEntry(t testing.TB, backends ...*backend) *entry {
	return newEntryOf(t, func(*Config) {}, backends...)
}

// newEntryOf returns an entry whose configuration is changed by a function.
func newEntryOf(t testing.TB, change func(*Config), backends ...*backend) *entry {
	var logs logBuffer
	cfg := Config{
		Headers: headers, Balance: balance.Config{Zone: "z", RegionOf: regionOf, VersionBound: 8 * time.Second, Logger: zerolog.Nop()},
		RetryShare: 0.2, RetryFloor: 100, RetryWindow: 10 * time.Second,
		Logger: zerolog.New(&logs), Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	change(&cfg)
	g := New(cfg)
	server := httptest.NewUnstartedServer(g)
	server.Config.ErrorLog = nil
	server.Start()
	t.Cleanup(server.Close)
	if backends == nil {
		return &entry{g, server, &logs}
	}
	config := &fleet.Config{
		Version: 3,
		Services: []fleet.Service{
			{Name: "plain", MaxConns: 64},
			{Name: "engine", MaxConns: 64, Engine: &fleet.Engine{Slots: 4, Stride: 1, Step: time.Millisecond, ReadPerSecond: 1e4, UsualPrompt: 100, UsualAnswer: 10, Models: []string{"m"}}},
		},
		Organisations: []fleet.Organisation{{Name: "org", Keys: []string{"key"}}},
		Limits:        fleet.Limits{BodyBytes: 1000},
	}
	route := func(name, service string, kind fleet.Kind, attempts int, resumable bool) {
		config.Routes = append(config.Routes, fleet.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
			Targets: []fleet.Target{{Service: service, Weight: 1}}, MaxAttempts: attempts, Resumable: resumable,
		})
	}
	route("unsafe", "plain", fleet.KindUnsafe, 2, false)
	route("safe", "plain", fleet.KindSafe, 2, false)
	route("stream", "engine", fleet.KindStream, 2, true)
	route("once", "engine", fleet.KindStream, 2, false)
	route("thrice", "engine", fleet.KindStream, 3, true)
	servers := map[string][]*fleet.BackendServer{}
	for i, b := range backends {
		for _, service := range []string{"plain", "engine"} {
			servers[service] = append(servers[service], &fleet.BackendServer{
				// The order of the backends is the order of preference.
				ID: b.id, Service: service, Addr: strings.TrimPrefix(b.URL, "http://"), Zone: map[bool]string{true: "z"}[i == 0],
				Slots: 4, SeenAt: time.Now(), Models: []fleet.Loaded{{Model: "m", Version: 7}},
			})
		}
	}
	// A server has one record, that of its last service, so each test uses one service.
	g.SetView(&follow.View{Table: fleet.NewTable(config), Servers: servers})
	return &entry{g, server, &logs}
}

type got struct {
	status int
	body   string
	head   http.Header
	err    error
}

func (e *entry) ask(t testing.TB, method, path string, change ...func(*http.Request)) got {
	t.Helper()
	req, err := http.NewRequest(method, e.URL+path, strings.NewReader("body"))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(headers.RequestID, "id-1")
	req.Header.Set(headers.Key, "key")
	req.Header.Set(headers.Model, "m")
	req.Header.Set(headers.DeadlineMs, "2000")
	for _, c := range change {
		c(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return got{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return got{resp.StatusCode, string(body), resp.Header, err}
}

func TestRequestIsRefusedWithoutAConfiguration(t *testing.T) {
	e := newEntry(t)
	a := e.ask(t, "POST", "/unsafe/1")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.NotEmpty(t, a.head.Get("Retry-After"))
	_, ready := e.Ready()
	assert.False(t, ready)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	b := newBackend(t, "b-1", good)
	e := newEntry(t, b)
	a := e.ask(t, "POST", "/unsafe/a%2Fb?q=1;2", func(r *http.Request) {
		r.Header.Set(headers.Organisation, "forged")
		r.Header.Set(headers.Priority, "0")
		r.Header.Set("X-Extra", "kept")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "dropped")
	})
	assert.Equal(t, "POST /unsafe/a%2Fb?q=1;2 body", a.body)
	assert.Equal(t, "signed", a.head.Get(headers.Signature))
	r := b.requests()[0]
	assert.Equal(t, "h", r.Host)
	assert.Equal(t, "org", r.Header.Get(headers.Organisation))
	assert.Equal(t, "b-1", r.Header.Get(headers.ExpectServer))
	assert.Equal(t, "kept", r.Header.Get("X-Extra"))
	assert.Empty(t, r.Header.Get("X-Hop"))
	assert.Empty(t, r.Header.Get(headers.Key), "the key is a secret")
	assert.Empty(t, r.Header.Get(headers.Priority))
	left, err := strconv.Atoi(r.Header.Get(headers.DeadlineMs))
	assert.NoError(t, err)
	assert.InDelta(t, 1950, left, 50)
}

func TestStatusTellsWhetherTheRequestMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		serve  func(http.ResponseWriter, *http.Request)
		status int
		sends  int
	}{
		"refused by the servers":         {"/unsafe/1", notRun, http.StatusServiceUnavailable, 2},
		"cut, may have run":              {"/unsafe/1", cut, http.StatusBadGateway, 1},
		"cut stream, may have run":       {"/once/1", cut, http.StatusBadGateway, 1},
		"cut twice, idempotent":          {"/safe/1", cut, http.StatusBadGateway, 2},
		"not signed":                     {"/unsafe/1", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }, http.StatusBadGateway, 1},
		"denied, not signed":             {"/unsafe/1", http.NotFound, http.StatusBadGateway, 1},
		"denied, not signed, idempotent": {"/safe/1", http.NotFound, http.StatusBadGateway, 2},
		"redirected, not signed":         {"/unsafe/1", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(302) }, http.StatusBadGateway, 1},
		"denied by the server": {"/unsafe/1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.Signature, "signed")
			w.WriteHeader(404)
		}, 404, 1},
		"its own failure": {"/unsafe/1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.Signature, "signed")
			w.WriteHeader(500)
		}, 500, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b1, b2 := newBackend(t, "b-1", c.serve), newBackend(t, "b-2", c.serve)
			e := newEntry(t, b1, b2)
			a := e.ask(t, "POST", c.path)
			assert.Equal(t, c.status, a.status)
			assert.Equal(t, c.status == http.StatusServiceUnavailable, a.head.Get("Retry-After") != "")
			assert.Equal(t, c.sends, len(b1.requests())+len(b2.requests()))
		})
	}
}

func TestIdempotentRequestIsRetriedAtAnotherServer(t *testing.T) {
	for name, first := range map[string]func(http.ResponseWriter, *http.Request){
		"cut": cut, "not run": notRun, "failed": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) },
		"other address": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.ServerID, "someone-else")
			w.WriteHeader(http.StatusMisdirectedRequest)
		},
		"silent": func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(3 * time.Second):
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t, newBackend(t, "b-1", first), newBackend(t, "b-2", good))
			a := e.ask(t, "POST", "/safe/1")
			assert.Equal(t, "POST /safe/1 body", a.body)
		})
	}
}

func TestBrokenStreamIsResumedAtAnotherServer(t *testing.T) {
	for stop := 1; stop <= 4; stop++ {
		b1, b2 := newBackend(t, "b-1", events(stop)), newBackend(t, "b-2", events(0))
		e := newEntry(t, b1, b2)
		a := e.ask(t, "POST", "/stream/1")
		require.NoError(t, a.err)
		assert.Equal(t, wholeStream, a.body)
		require.Len(t, b2.requests(), 1)
		assert.Equal(t, strconv.Itoa(stop), b2.requests()[0].Header.Get(headers.ResumeAfter))
		assert.Equal(t, "7", b2.requests()[0].Header.Get(headers.ExpectVersion), "one version of the weights writes the whole answer")
	}
}

func TestWaitingRequestIsCancelledBeforeItsWeightsExpire(t *testing.T) {
	standstill.Run(t, testWaitingRequestIsCancelledBeforeItsWeightsExpire)
}

func testWaitingRequestIsCancelledBeforeItsWeightsExpire(t testing.TB) {
	const bound = 8 * time.Second
	// Version 8 was announced so long ago that version 7 expires in 1.2 s. The request is still
	// sent to the server in the entry's zone, which does not begin to answer.
	over := time.Now().Add(1200 * time.Millisecond)
	taken := make(chan time.Time, 1)
	waits := newBackend(t, "1", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the context ends on a closed connection only after this
		<-r.Context().Done()
		taken <- time.Now()
	})
	e := newEntry(t, waits, newBackend(t, "2", events(0)))
	view := *e.view.Load()
	servers := view.Servers["engine"]
	servers[1].Models = []fleet.Loaded{{Model: "m", Version: 8}}
	view.Servers = map[string][]*fleet.BackendServer{"engine": servers}
	view.Versions = map[string]ledger.Version{"m": ledger.Version{}.Next(8, over.Add(-bound))}
	e.SetView(&view)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { // the agent's reports keep the server from counting as silent
		for ctx.Err() == nil {
			e.balancer.Reported(time.Now(), balance.Report{Addr: servers[0].Addr, Models: []fleet.Loaded{{Model: "m", Version: 7}}})
			time.Sleep(50 * time.Millisecond)
		}
	}()
	answer := e.ask(t, http.MethodPost, "/stream/x")
	require.NoError(t, answer.err)
	assert.Equal(t, wholeStream, answer.body)
	require.NotEmpty(t, waits.requests(), "the server in the entry's zone is tried first")
	assert.True(t, (<-taken).Before(over), "cancelled in time")
	assert.Contains(t, e.logs.String(), "weights are over")
}

func TestFailedRunsCountOnce(t *testing.T) {
	scripts := []func(http.ResponseWriter, *http.Request){
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		events(2), events(0),
	}
	var arrivals atomic.Int64
	next := func(w http.ResponseWriter, r *http.Request) { scripts[arrivals.Add(1)-1](w, r) }
	e := newEntry(t, newBackend(t, "1", next), newBackend(t, "2", next), newBackend(t, "3", next))
	answer := e.ask(t, http.MethodPost, "/thrice/x")
	require.NoError(t, answer.err)
	assert.Equal(t, wholeStream, answer.body)
}

func TestStreamThatCannotBeResumedIsAborted(t *testing.T) {
	e := newEntry(t, newBackend(t, "b-1", events(2)), newBackend(t, "b-2", notRun))
	a := e.ask(t, "POST", "/stream/1")
	assert.Error(t, a.err)
	e = newEntry(t, newBackend(t, "b-1", events(2)), newBackend(t, "b-2", events(0)))
	a = e.ask(t, "POST", "/once/1")
	assert.Error(t, a.err, "a stream that must not be resumed")
	assert.Equal(t, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", a.body)
}

func TestRequestIsCancelledWhenItsCallerLeaves(t *testing.T) {
	standstill.Run(t, testRequestIsCancelledWhenItsCallerLeaves)
}

func testRequestIsCancelledWhenItsCallerLeaves(t testing.TB) {
	left := make(chan struct{})
	b := newBackend(t, "b-1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-r.Context().Done()
		close(left)
	})
	e := newEntry(t, b)
	req, err := http.NewRequest("POST", e.URL+"/unsafe/1", strings.NewReader("body"))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(headers.Key, "key")
	c := &http.Client{Timeout: 100 * time.Millisecond}
	_, err = c.Do(req)
	require.Error(t, err)
	select {
	case <-left:
	case <-time.After(time.Second):
		t.Fatal("the backend server still runs the request a second after its caller left")
	}
}

func TestRequestEndsAtItsDeadline(t *testing.T) {
	standstill.Run(t, testRequestEndsAtItsDeadline)
}

func testRequestEndsAtItsDeadline(t testing.TB) {
	e := newEntry(t, newBackend(t, "b-1", func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	}))
	began := time.Now()
	a := e.ask(t, "POST", "/unsafe/1", func(r *http.Request) { r.Header.Set(headers.DeadlineMs, "300") })
	assert.Equal(t, http.StatusGatewayTimeout, a.status)
	assert.WithinDuration(t, began.Add(300*time.Millisecond), time.Now(), 200*time.Millisecond)
}

func TestRetriesAreLimitedByTheBudget(t *testing.T) {
	e := newEntry(t, newBackend(t, "b-1", notRun), newBackend(t, "b-2", notRun))
	e.cfg.RetryFloor = 10 // 7 of these are used, plus a share of the requests
	for range 20 {
		e.ask(t, "POST", "/safe/1")
	}
	requests, repeats := e.budget("plain").Counts(e.monotonic(time.Now()))
	assert.Equal(t, 20, requests)
	assert.LessOrEqual(t, repeats, 7+int(0.2*20))
}

func TestWholeEvents(t *testing.T) {
	for text, want := range map[string]int{
		"": 0, "id: 1\n": 0, "id: 1\n\n": 7, "id: 1\n\nid: 2": 7, "a\n\nb\n\n": 6, "a\r\n\r\nb": 5,
	} {
		assert.Equal(t, want, wholeEvents([]byte(text)), "%q", text)
	}
	id, ok := lastEventID([]byte("id: 1\ndata: x\n\nid: 22\ndata: y\n\ndata: z\n\n"))
	assert.True(t, ok)
	assert.Equal(t, "22", id)
	_, ok = lastEventID([]byte("data: x\n\n"))
	assert.False(t, ok)
}
