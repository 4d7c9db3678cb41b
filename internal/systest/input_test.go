package systest

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/trace"
)

// TestBadInput proves that an entry refuses what it can't take with the right
// status and a JSON error that names the cause, and dispatches nothing.
func TestBadInput(t *testing.T) {
	s := start(t, size{controls: 1, entries: 1, engines: 1, plains: 1, entry: "max_body_bytes = 4096\nmax_header_bytes = 4096\n"})
	s.bringLive("v1")
	entry := s.entries[0]
	const jobs = "/services/" + plainService + "/jobs"
	s.wait("the plain service to be served", func() bool { return job(entry, "used").status == http.StatusOK })
	ran := s.runs(s.plains[0]).Total
	dispatched, ok := metric(s.engines[0].Daemon, "lynxgate_agent_requests_total")
	require.True(t, ok)

	bearer := func(key string) callOption { return header("Authorization", "Bearer "+key) }
	prompt := `{"model":"` + modelService + `","prompt":"x"}`
	tests := []struct {
		name, path, body string
		options          []callOption
		status           int
		names            string
	}{
		{"malformed JSON", trace.PathChat, `{"model":`, nil, 400, "body"},
		{"unknown model", trace.PathChat, `{"model":"nobody"}`, nil, 404, "nobody"},
		{"plain service as model", trace.PathChat, `{"model":"` + plainService + `"}`, nil, 404, plainService},
		{"unknown service", "/services/nobody/jobs", "x", nil, 404, "nobody"},
		{"unknown path", "/elsewhere", "x", nil, 404, "/elsewhere"},
		{"no key", trace.PathChat, prompt, []callOption{func(r *http.Request) { r.Header.Del("Authorization") }}, 401, "Authorization"},
		{"foreign key", jobs, "x", []callOption{bearer("nobody's"), idempotencyKey("k")}, 401, "Authorization"},
		{"operator's key", jobs, "x", []callOption{bearer(harness.Key("ops")), idempotencyKey("k")}, 401, "Authorization"},
		{"body over the limit", jobs, strings.Repeat("x", 4097), []callOption{idempotencyKey("k")}, 413, "4096"},
		{"header past its limit", jobs, "x", []callOption{idempotencyKey("k"), header("X-Long", strings.Repeat("x", 4097))}, 431, "4096"},
		{"no Idempotency-Key", jobs, "x", nil, 400, "Idempotency-Key"},
		{"Idempotency-Key too long", jobs, "x", []callOption{idempotencyKey(strings.Repeat("k", 300))}, 400, "Idempotency-Key"},
		{"key reused with another body", jobs, "other body", []callOption{idempotencyKey("used")}, 422, "key"},
		{"deadline that is no number", trace.PathChat, prompt, []callOption{header("X-Deadline-Ms", "soon")}, 400, "X-Deadline-Ms"},
		{"deadline of zero", trace.PathChat, prompt, []callOption{header("X-Deadline-Ms", "0")}, 400, "X-Deadline-Ms"},
		{"negative max_tokens", trace.PathChat, `{"model":"` + modelService + `","max_tokens":-1}`, nil, 400, "max_tokens"},
	}
	for _, test := range tests {
		r := post(entry, test.path, test.body, test.options...)
		require.NoError(t, r.err, test.name)
		require.Equal(t, test.status, r.status, "%s: %s", test.name, r)
		require.Equal(t, "not_run", r.outcome, "%s: %s", test.name, r)
		require.NotEmpty(t, r.kind, test.name)
		require.Contains(t, r.message, test.names, test.name)
		require.Equal(t, "application/json", r.header.Get("Content-Type"), test.name)
	}
	wrongMethod, err := http.Get("http://" + entry.CallersAddr + trace.PathChat)
	require.NoError(t, err)
	wrongMethod.Body.Close()
	require.Equal(t, http.StatusBadRequest, wrongMethod.StatusCode)

	foreign := job(entry, "used", bearer(harness.Key(stranger)))
	require.Equal(t, http.StatusOK, foreign.status, "another organisation's key of the same name is its own")
	require.Empty(t, foreign.header.Get("Idempotent-Replayed"))
	require.Equal(t, ran+1, s.runs(s.plains[0]).Total, "only the other organisation's job ran")
	after, ok := metric(s.engines[0].Daemon, "lynxgate_agent_requests_total")
	require.True(t, ok)
	require.Equal(t, dispatched, after, "a refused request was dispatched")
}
