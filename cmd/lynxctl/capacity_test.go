package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const entryMetrics1 = `
# TYPE lynxgate_gateway_agents_unavailable gauge
lynxgate_gateway_agents_unavailable 1
# TYPE lynxgate_gateway_reservations_total counter
lynxgate_gateway_reservations_total{result="granted"} 90
lynxgate_gateway_reservations_total{result="full"} 30
lynxgate_gateway_reservations_total{result="no answer"} 2
# TYPE lynxgate_gateway_ranked_requests_total counter
lynxgate_gateway_ranked_requests_total{service="drafts",rank="0",got="in time"} 40
lynxgate_gateway_ranked_requests_total{service="drafts",rank="0",got="left"} 5
lynxgate_gateway_ranked_requests_total{service="drafts",rank="10",got="refused"} 4
lynxgate_gateway_ranked_requests_total{service="drafts",rank="2",got="in time"} 20
lynxgate_gateway_ranked_requests_total{service="drafts",rank="2",got="late"} 5
lynxgate_gateway_ranked_requests_total{service="drafts",rank="2",got="refused"} 14
lynxgate_gateway_ranked_requests_total{service="drafts",rank="2",got="failed"} 1
# TYPE lynxgate_gateway_sized_requests_total counter
lynxgate_gateway_sized_requests_total{service="drafts",prompt="0.5 to 1.5",got="in time"} 60
lynxgate_gateway_sized_requests_total{service="proofs",prompt="0.5 to 1.5",got="in time"} 7
lynxgate_gateway_sized_requests_total{service="proofs",prompt="below 0.5",got="in time"} 2
`

const entryMetrics2 = `
# TYPE lynxgate_gateway_agents_unavailable gauge
lynxgate_gateway_agents_unavailable 0
# TYPE lynxgate_gateway_ranked_requests_total counter
lynxgate_gateway_ranked_requests_total{service="drafts",rank="0",got="in time"} 10
`

const agentMetrics = `
# TYPE lynxgate_reservations_open gauge
lynxgate_reservations_open 4
# TYPE lynxgate_reservations_slots gauge
lynxgate_reservations_slots 12
# TYPE lynxgate_reservations_running gauge
lynxgate_reservations_running 3
# TYPE lynxgate_reservations_pace gauge
lynxgate_reservations_pace 2.5
# TYPE lynxgate_reservations_decided_total counter
lynxgate_reservations_decided_total{rank="0",result="granted"} 25
lynxgate_reservations_decided_total{rank="1",result="granted"} 20
lynxgate_reservations_decided_total{rank="1",result="rank"} 6
# TYPE lynxgate_reservations_predicted_wait_seconds histogram
lynxgate_reservations_predicted_wait_seconds_bucket{le="0.05"} 40
lynxgate_reservations_predicted_wait_seconds_bucket{le="+Inf"} 45
lynxgate_reservations_predicted_wait_seconds_sum 0.9
lynxgate_reservations_predicted_wait_seconds_count 45
`

// metricsFile writes metrics to a file.
func metricsFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against sums over the wrong daemons, ranks in the order of their digits, and requests that are counted in
// both metrics.
func TestCapacitySumsByNameServiceAndRank(t *testing.T) {
	one, two, agent := metricsFile(t, "entry-1.prom", entryMetrics1), metricsFile(t, "entry-2.prom", entryMetrics2), metricsFile(t, "agent-1.prom", agentMetrics)
	status, stdout, stderr := runWith(nil, "capacity", "entry-1="+one, two, "zone-a="+agent, "zone-a="+agent)
	require.Equal(t, exitOK, status, stderr)
	var lines []string
	for line := range strings.Lines(stdout) {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	assert.Equal(t, []string{
		"REQUESTS TO SERVICE RANK ASKED IN TIME LATE REFUSED FAILED LEFT IN TIME SHARE SERVED SHARE",
		"entry-1 drafts 0 45 40 0 0 0 5 1.000 1.000",
		"entry-1 drafts 2 40 20 5 14 1 0 0.500 0.625",
		"entry-1 drafts 10 4 0 0 4 0 0 0.000 0.000",
		"entry-2 drafts 0 10 10 0 0 0 0 1.000 1.000",
		"entry-1 proofs - 9 9 0 0 0 0 1.000 1.000",
		"all drafts 0 55 50 0 0 0 5 1.000 1.000",
		"all drafts 2 40 20 5 14 1 0 0.500 0.625",
		"all drafts 10 4 0 0 4 0 0 0.000 0.000",
		"all proofs - 9 9 0 0 0 0 1.000 1.000",
		"",
		"ENTRIES DAEMONS AGENTS UNAVAILABLE GRANTED FULL SLOW RANK LOADING VERSION UNKNOWN NO ANSWER",
		"entry-1 1 1 90 30 0 0 0 0 0 2",
		"entry-2 1 0 0 0 0 0 0 0 0 0",
		"",
		"AGENTS DAEMONS SLOTS RUNNING OPEN PACE MEAN WAIT GRANTED FULL SLOW RANK LOADING VERSION UNKNOWN",
		"zone-a 2 24 6 8 2.50 20 ms 90 0 0 12 0 0 0",
	}, lines)

	status, stdout, _ = runWith(nil, "capacity", "-o", "json", one, agent)
	require.Equal(t, exitOK, status)
	var out capacityOutput
	require.NoError(t, json.Unmarshal([]byte(stdout), &out))
	assert.Equal(t, "10", out.Totals[2].Rank)
	assert.InDelta(t, 0.5, out.Totals[1].InTimeShare, 1e-9)
	assert.InDelta(t, 20, out.Agents[0].MeanWaitMs, 1e-9)
	assert.Equal(t, "agent-1", out.Agents[0].Name)
}

// Guards against one daemon that cannot be read hiding the others.
func TestCapacityReadsURLsAndReportsThoseThatFail(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/metrics" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(entryMetrics2))
	}))
	defer server.Close()
	status, stdout, stderr := runWith(nil, "capacity", server.URL+"/other", "zone-b="+server.URL+"/metrics", server.URL+"/metrics", "http://localhost:1/metrics", "missing.prom")
	assert.Equal(t, exitFailed, status)
	assert.Regexp(t, `(?m)^zone-b +drafts +0 +10 `, stdout)
	assert.Regexp(t, `(?m)^127\.0\.0\.1:\d+ +drafts +0 +10 `, stdout)
	assert.Regexp(t, `(?m)^all +drafts +0 +20 `, stdout)
	for _, text := range []string{"/other: status 404", "must name IP:port", "missing.prom: "} {
		assert.Contains(t, stderr, text)
	}
	status, _, _ = runWith(nil, "capacity")
	assert.Equal(t, exitBadInput, status)
}
