package replay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/replay"
	"lynxgate.dev/lynxgate/internal/standin/engine"
	"lynxgate.dev/lynxgate/internal/standin/plain"
	"lynxgate.dev/lynxgate/internal/standin/tokens"
	"lynxgate.dev/lynxgate/internal/trace"
)

// fast replays at once.
const fast = 1e6

// fakes serves a live engine, and a plain service below /services/.
func fakes(t *testing.T) (url, digest string, service *plain.Service) {
	t.Helper()
	e := engine.New(engine.Config{})
	path := filepath.Join(t.TempDir(), "weights")
	require.NoError(t, os.WriteFile(path, []byte("weights"), 0o644))
	service = plain.New(plain.Config{Name: "plain"})
	mux := http.NewServeMux()
	mux.Handle("/", e)
	mux.Handle("/services/", service)
	server := httptest.NewServer(mux)
	t.Cleanup(e.Close)
	t.Cleanup(server.Close)
	response, err := http.Post(server.URL+"/engine/load", "", strings.NewReader(fmt.Sprintf(`{"path":%q}`, path)))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return server.URL, e.Snapshot().Digest, service
}

func committed(t *testing.T, name string) []trace.Request {
	t.Helper()
	file, err := os.Open(filepath.Join("..", "..", "testdata", "traces", name))
	require.NoError(t, err)
	defer file.Close()
	requests, err := trace.Read(file)
	require.NoError(t, err)
	return requests
}

func TestReplayOfBothDeployments(t *testing.T) {
	for _, name := range []string{"folleto-andino.jsonl", "portvaktsbolaget.jsonl"} {
		url, digest, service := fakes(t)
		runsServer := httptest.NewServer(service)
		defer runsServer.Close()
		requests := committed(t, name)
		cfg := replay.Config{
			Targets: []string{url}, Speed: fast,
			Digests: map[string][]string{"copywriter": {digest}, "concierge-llm": {digest}},
		}
		report, err := replay.Run(context.Background(), cfg, requests)
		require.NoError(t, err)
		require.Empty(t, report.Differences)
		require.Equal(t, len(requests), report.Counts.Completed)
		require.Equal(t, int64(len(requests)), report.Total.TotalCount())
		require.NotZero(t, report.FirstToken.TotalCount())

		large := report.By(func(r replay.Result) string { return r.Request.Organisation })[requests[0].Organisation]
		require.Equal(t, large.Counts.Completed, int(large.Times.Total.Count))
		require.Less(t, large.Counts.Completed, len(requests))

		// Nothing stands before the plain service that keeps a request which
		// is sent again from running again.
		runs, err := replay.FetchRuns(context.Background(), http.DefaultClient, []string{runsServer.URL})
		require.NoError(t, err)
		check := report.CheckRuns(runs)
		require.NotZero(t, check.Doubled)
		require.Len(t, report.Differences, check.Doubled)
	}
}

func chat(stream bool) trace.Request {
	return trace.Request{
		ID: "a", Organisation: "o", Service: "s", Method: "POST", Path: trace.PathCompletion,
		Prompt: "p", MaxTokens: 4, Stream: stream, Expect: trace.AnsweredWhole,
	}
}

func event(digest string, from, to int) string {
	return fmt.Sprintf("data: {\"system_fingerprint\":%q,\"choices\":[{\"text\":%q}]}\n\n",
		digest, tokens.Text(digest, "p", from, to))
}

func TestAnswersAreJudged(t *testing.T) {
	const done = "data: [DONE]\n\n"
	notRun := `{"error":{"type":"overloaded","message":"later","outcome":"not_run"}}`
	cases := []struct {
		name    string
		status  int
		body    string
		whole   bool // the request is not streamed
		outcome replay.Outcome
		problem replay.Problem
		told    bool
	}{
		{name: "whole", body: event("d1", 0, 2) + event("d1", 2, 4) + done, outcome: replay.Completed},
		{name: "no end", body: event("d1", 0, 4), outcome: replay.Unknown},
		{name: "nothing", body: "", outcome: replay.Unknown},
		{name: "short", body: event("d1", 0, 3) + done, outcome: replay.Wrong, problem: replay.ProblemShort},
		{name: "too long", body: event("d1", 0, 5) + done, outcome: replay.Wrong, problem: replay.ProblemTokens},
		{name: "repeated", body: event("d1", 0, 2) + event("d1", 0, 2) + done, outcome: replay.Wrong, problem: replay.ProblemTokens},
		{name: "mixed", body: event("d1", 0, 2) + event("d2", 2, 4) + done, outcome: replay.Wrong, problem: replay.ProblemMixed},
		{name: "mixed and cut", body: event("d1", 0, 2) + event("d2", 2, 3), outcome: replay.Wrong, problem: replay.ProblemMixed},
		{name: "partial weights", body: event("d9", 0, 4) + done, outcome: replay.Wrong, problem: replay.ProblemForeign},
		{name: "not JSON", body: "data: {\n\n" + done, outcome: replay.Wrong, problem: replay.ProblemForm},
		{name: "told cut", body: event("d1", 0, 2) + "event: error\ndata: " + strings.Replace(notRun, "not_run", "unknown", 1) + "\n\n", outcome: replay.Unknown, told: true},
		{name: "told not run", status: 502, body: notRun, outcome: replay.NotRun, told: true},
		{name: "refused", status: 429, body: "slow down", outcome: replay.NotRun},
		{name: "bad gateway", status: 502, body: "oops", outcome: replay.Unknown},
		{name: "whole JSON", whole: true, body: strings.TrimPrefix(event("d2", 0, 4), "data: "), outcome: replay.Completed},
		{name: "short JSON", whole: true, body: strings.TrimPrefix(event("d2", 0, 3), "data: "), outcome: replay.Wrong, problem: replay.ProblemShort},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, "Bearer secret", r.Header.Get("Authorization"))
				w.Header().Set("Retry-After", "3")
				w.WriteHeader(max(c.status, http.StatusOK))
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			cfg := replay.Config{
				Targets: []string{server.URL}, Keys: map[string]string{"o": "secret"},
				Digests: map[string][]string{"s": {"d1", "d2"}},
			}
			report, err := replay.Run(context.Background(), cfg, []trace.Request{chat(!c.whole)})
			require.NoError(t, err)
			result := report.Results[0]
			require.Equal(t, c.outcome, result.Outcome, result.Detail)
			require.Equal(t, c.problem, result.Problem)
			require.Equal(t, c.told, result.Told)
			require.Equal(t, c.status > 0, result.RetryAfter == 3*time.Second)
			require.Equal(t, c.outcome != replay.Completed, len(report.Differences) == 1)
		})
	}
}

func TestPlainAnswersAndRuns(t *testing.T) {
	url, _, service := fakes(t)
	request := func(id string, expect trace.Expectation) trace.Request {
		return trace.Request{
			ID: id, Organisation: "o", Service: "plain", Method: "POST", Path: "/services/plain/x",
			Body: id, IdempotencyKey: "key-" + id, Expect: expect,
		}
	}
	client := replay.NewClient() // keeps the connection that the service then ends
	run := func(target string, r trace.Request) *replay.Report {
		cfg := replay.Config{Targets: []string{target}, Client: client}
		report, err := replay.Run(context.Background(), cfg, []trace.Request{r})
		require.NoError(t, err)
		return report
	}
	warm := run(url, request("a", trace.AtMostOnce))
	require.Equal(t, 1, warm.Counts.Completed)

	service.SetFaults(plain.Faults{DieAfterRun: 1})
	died := run(url, request("b", trace.AtMostOnce))
	require.Equal(t, 1, died.Counts.Unknown)
	require.Empty(t, died.Differences)
	require.Equal(t, replay.RunCheck{}, died.CheckRuns(service.Runs().IdempotencyKeys), "the replayer repeats nothing")

	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader("of somebody else"))
		service.ServeHTTP(w, r)
	}))
	defer other.Close()
	crossed := run(other.URL, request("d", trace.AtMostOnce))
	require.Equal(t, replay.ProblemBodyDigest, crossed.Results[0].Problem)

	unreachable := run("http://127.0.0.1:1", request("c", trace.AnsweredWholeOrNotRun))
	require.Equal(t, 1, unreachable.Counts.NotRun)
	require.Empty(t, unreachable.Differences)

	require.Equal(t, replay.RunCheck{Doubled: 1}, warm.CheckRuns(map[string]int{"key-a": 2}))
	require.Equal(t, replay.RunCheck{Lost: 1}, warm.CheckRuns(nil))
	require.Equal(t, replay.RunCheck{WronglyNotRun: 1}, unreachable.CheckRuns(map[string]int{"key-c": 1}))
	require.Equal(t, replay.ProblemWronglyNotRun, unreachable.Differences[0].Problem)
}

func TestStoppedReplayCountsUnsent(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	report, err := replay.Run(ctx, replay.Config{Targets: []string{"http://127.0.0.1:1"}}, []trace.Request{chat(true)})
	require.NoError(t, err)
	require.Equal(t, replay.Counts{Unsent: 1}, report.Counts)
}

func TestLoadKeys(t *testing.T) {
	dir := t.TempDir()
	for name, content := range map[string]string{"keys.toml": "hallvakt = \"k1\"", "keys.json": `{"hallvakt":"k1"}`} {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		keys, err := replay.LoadKeys(path)
		require.NoError(t, err)
		require.Equal(t, map[string]string{"hallvakt": "k1"}, keys)
	}
	_, err := replay.LoadKeys(filepath.Join(dir, "absent"))
	require.Error(t, err)
}
