package systest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/replay"
	"lynxgate.dev/lynxgate/internal/standin/origin"
	"lynxgate.dev/lynxgate/internal/standin/plain"
	"lynxgate.dev/lynxgate/internal/trace"
)

// callLimit bounds one call of a test, far beyond every deadline used.
const callLimit = 90 * time.Second

// freshClient opens a connection of its own for each call, so that net/http
// never repeats one by itself.
var freshClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   callLimit,
}

// reply is what a caller got.
type reply struct {
	// status is 0 when no answer came.
	status int
	body   string
	err    error
	header http.Header
	// kind, outcome and message are those of an error body.
	kind, outcome, message string
}

func (r reply) String() string {
	return fmt.Sprintf("%d %s %s %v", r.status, r.outcome, r.body, r.err)
}

type callOption func(*http.Request)

func header(name, value string) callOption {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

func idempotencyKey(key string) callOption { return header("Idempotency-Key", key) }

func deadline(d time.Duration) callOption {
	return header("X-Deadline-Ms", strconv.FormatInt(d.Milliseconds(), 10))
}

// post sends one request to an entry.
func post(entry *harness.Daemon, path, body string, options ...callOption) reply {
	return postTo("http://"+entry.CallersAddr+path, body, options...)
}

func postTo(url, body string, options ...callOption) reply {
	req, err := http.NewRequest(http.MethodPost, url, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return reply{err: err}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+harness.Key(organisation))
	for _, option := range options {
		option(req)
	}
	resp, err := freshClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, body: string(data), err: err, header: resp.Header}
	var body2 struct {
		Error struct{ Type, Message, Outcome string } `json:"error"`
	}
	if json.Unmarshal(data, &body2) == nil {
		r.kind, r.outcome, r.message = body2.Error.Type, body2.Error.Outcome, body2.Error.Message
	}
	return r
}

// complete asks the model for a short answer.
func (s *system) complete(entry *harness.Daemon, prompt string) reply {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":2}`, modelService, prompt)
	return post(entry, trace.PathCompletion, body, deadline(10*time.Second))
}

// job sends an at-most-once request to the plain service.
func job(entry *harness.Daemon, key string, options ...callOption) reply {
	options = append([]callOption{idempotencyKey(key)}, options...)
	return post(entry, "/services/"+plainService+"/jobs", "job "+key, options...)
}

// getJSON reads JSON; false if it can't be had now.
func getJSON(url string, into any) bool {
	client := http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(into) == nil
}

// runs returns what ran at one plain service.
func (s *system) runs(a *harness.Agent) plain.Runs {
	s.t.Helper()
	var runs plain.Runs
	s.wait("the runs of "+a.Name, func() bool { return getJSON("http://"+a.BackendAddr+"/_runs", &runs) })
	return runs
}

// runsOf returns how often a key ran, over all plain services.
func (s *system) runsOf(key string) int {
	s.t.Helper()
	sum := 0
	for _, a := range s.plains {
		sum += s.runs(a).IdempotencyKeys[key]
	}
	return sum
}

// setFaults replaces the faults of a fake.
func (s *system) setFaults(url string, faults any) {
	s.t.Helper()
	data, err := json.Marshal(faults)
	require.NoError(s.t, err)
	resp, err := http.Post(url+"/_faults", "application/json", bytes.NewReader(data))
	require.NoError(s.t, err)
	resp.Body.Close()
	require.Equal(s.t, http.StatusOK, resp.StatusCode)
}

// originBytes returns the weights bytes of a version that the origin sent.
func (s *system) originBytes(version string) int64 {
	s.t.Helper()
	var sent origin.Bytes
	s.wait("the bytes of the origin", func() bool { return getJSON(s.origin.URL+"/_bytes", &sent) })
	return sent.Weights[model+"@"+version]
}

// digest returns the digest of a version's weights.
func (s *system) digest(version string) string {
	for _, v := range s.origin.Versions {
		if v.Version == version {
			return v.Digest
		}
	}
	panic("no version " + version)
}

// metric returns the sum of a metric of a daemon over the series that have
// all the label texts; false if it can't be had now.
func metric(d *harness.Daemon, name string, labels ...string) (float64, bool) {
	data, ok := metricsText(d)
	if !ok {
		return 0, false
	}
	sum := 0.0
	for _, line := range strings.Split(data, "\n") {
		rest, ok := strings.CutPrefix(line, name)
		if !ok || (rest[0] != ' ' && rest[0] != '{') || !containsAll(rest, labels) {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndex(line, " ")+1:], 64)
		if err == nil {
			sum += value
		}
	}
	return sum, true
}

// metricsText returns all metrics of a daemon; false if they can't be had now.
func metricsText(d *harness.Daemon) (string, bool) {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + d.HTTPAddr + "/metrics")
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err == nil && resp.StatusCode == http.StatusOK
}

func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// waitInFlight waits until an agent has requests in progress.
func (s *system) waitInFlight(a *harness.Agent) {
	s.t.Helper()
	s.wait("requests in progress at "+a.Name, func() bool {
		n, ok := metric(a.Daemon, "lynxgate_agent_requests_in_flight")
		return ok && n > 0
	})
}

// load is a replay under way.
type load struct {
	s      *system
	report *replay.Report
	err    error
	done   chan struct{}
}

// drafts are requests for the model, one every interval.
func drafts(label string, count int, every time.Duration, tokens int, expect trace.Expectation) []trace.Request {
	requests := make([]trace.Request, count)
	for i := range requests {
		requests[i] = trace.Request{
			ID: fmt.Sprintf("%s-%d", label, i), OffsetMS: int64(i) * every.Milliseconds(),
			Organisation: organisation, Service: modelService, Method: http.MethodPost,
			Path: trace.PathChat, Prompt: fmt.Sprintf("%s brochure %d", label, i), MaxTokens: tokens,
			Stream: i%4 != 3, DeadlineMS: (40 * time.Second).Milliseconds(), Expect: expect,
		}
	}
	return requests
}

// replay sends the requests to entries in turn.
func (s *system) replay(requests []trace.Request, entries ...*harness.Daemon) *load {
	cfg := replay.Config{Keys: map[string]string{organisation: harness.Key(organisation)}, Digests: map[string][]string{}}
	for _, e := range entries {
		cfg.Targets = append(cfg.Targets, "http://"+e.CallersAddr)
	}
	if s.origin != nil {
		cfg.Digests[modelService] = []string{s.digest("v1"), s.digest("v2")}
	}
	l := &load{s: s, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		l.report, l.err = replay.Run(context.Background(), cfg, requests)
	}()
	return l
}

// check waits for the end and requires that every request ended as expected.
func (l *load) check() *replay.Report {
	l.s.t.Helper()
	<-l.done
	require.NoError(l.s.t, l.err)
	l.s.t.Logf("load: %s", l.report.Summary())
	require.Empty(l.s.t, l.report.Differences)
	return l.report
}
