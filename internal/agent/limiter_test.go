package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/standin/plain"
)

func TestAgentEnforcesBackendServerLimit(t *testing.T) {
	service := plain.New(plain.Config{Faults: plain.Faults{Limit: "0.5"}})
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	b := newTestbed(t, inventory.KindPlain, strings.TrimPrefix(server.URL, "http://"))
	b.agent.gate.serve(v1)
	require.Equal(t, rpc.FrameKind_FRAME_END, last(b.run(request(v1))).Kind)
	for range 5 {
		got := last(b.run(request(v1)))
		require.Equal(t, rpc.FrameKind_FRAME_NOT_RUN, got.Kind)
		require.Equal(t, string(outcome.Overloaded), got.Reason)
		assert.InDelta(t, 2000, got.RetryAfterMs, 500)
	}
	assert.EqualValues(t, 1, service.Runs().Total)
}

func TestRefusalDoesNotLiftLimit(t *testing.T) {
	var l limiter
	now := time.Unix(1000, 0)
	answer := func(status int, limit ...string) *http.Response {
		return &http.Response{StatusCode: status, Header: http.Header{headerLimit: limit}}
	}
	l.observeLimit(now, now.Add(-time.Second), answer(http.StatusOK, "1"))
	l.observeLimit(now.Add(2*time.Second), now.Add(time.Second), answer(http.StatusServiceUnavailable))
	assert.True(t, l.limit.InForce)
	l.observeLimit(now.Add(2*time.Second), now.Add(time.Second), answer(http.StatusOK))
	assert.False(t, l.limit.InForce)
}

func TestAgentHonoursEngineBackoff(t *testing.T) {
	var asked atomic.Int64
	addr := backendServer(t, func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.Header().Set("Retry-After", "2.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	b := newTestbed(t, inventory.KindModel, addr)
	b.agent.gate.serve(v1)
	for i := range 4 {
		got := last(b.run(request(v1)))
		require.Equal(t, rpc.FrameKind_FRAME_NOT_RUN, got.Kind)
		require.Equal(t, string([]outcome.Reason{outcome.BackendRefused, outcome.Overloaded}[min(i, 1)]), got.Reason)
		assert.InDelta(t, 2500, got.RetryAfterMs, 400)
	}
	assert.EqualValues(t, 1, asked.Load())
}

func TestNoRequestsToLeavingBackendServer(t *testing.T) {
	service := plain.New(plain.Config{Faults: plain.Faults{Leaving: true}})
	server := httptest.NewServer(service)
	b := newTestbed(t, inventory.KindPlain, strings.TrimPrefix(server.URL, "http://"))
	b.agent.gate.serve(v1)
	require.Equal(t, rpc.FrameKind_FRAME_END, last(b.run(request(v1))).Kind)
	for range 3 {
		require.Equal(t, string(outcome.Leaving), last(b.run(request(v1))).Reason)
	}
	assert.EqualValues(t, 1, service.Runs().Total)
	assert.False(t, b.agent.gate.state().leaving, "the agent itself does not leave")
	server.Close()
	b.agent.setPlainUp(false)
	assert.False(t, b.agent.gate.state().backendLeaving, "the next incarnation starts without the signal")
}
