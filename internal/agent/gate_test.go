package agent

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// blockingBackend starts a backend server that answers requests once unblock is closed.
func blockingBackend(t *testing.T) (addr string, begun, unblock chan struct{}) {
	begun, unblock = make(chan struct{}, 8), make(chan struct{})
	addr = backendServer(t, func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-unblock
		_, _ = w.Write([]byte("whole"))
	})
	return addr, begun, unblock
}

func (b *testbed) requireRefused(in *rpc.RunRequest, reason outcome.Reason) {
	b.t.Helper()
	frames := b.run(in)
	require.Len(b.t, frames, 1)
	require.Equal(b.t, rpc.FrameKind_FRAME_NOT_RUN, frames[0].Kind)
	require.Equal(b.t, string(reason), frames[0].Reason)
}

func closedChannel(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// During a swap, requests in progress finish on the old version before it is
// drained, and only requests pinned to the served version are admitted.
func TestSwapDrainsOldVersion(t *testing.T) {
	addr, begun, unblock := blockingBackend(t)
	b := newTestbed(t, inventory.KindModel, addr)
	b.requireRefused(request(v1), outcome.VersionNotLive)
	b.agent.gate.serve(v1)
	b.requireRefused(request(v2), outcome.VersionNotLive)

	done := make(chan []*rpc.ResponseFrame, 1)
	go func() { done <- b.run(request(v1)) }()
	<-begun
	b.agent.gate.stop()
	drained := b.agent.gate.drained()
	b.requireRefused(request(v1), outcome.VersionNotLive)
	require.False(t, closedChannel(drained), "drained with a request in progress")

	close(unblock)
	require.Equal(t, rpc.FrameKind_FRAME_END, last(<-done).Kind)
	<-drained
	b.agent.gate.serve(v2)
	b.requireRefused(request(v1), outcome.VersionNotLive)
	require.Equal(t, rpc.FrameKind_FRAME_END, last(b.run(request(v2))).Kind)
	require.Zero(t, b.agent.gate.state().inFlight)
}

// A leaving agent refuses new requests immediately, notifies its watchers and
// waits for the requests in progress. If the wait is cut short, the number of
// remaining requests is reported.
func TestLeaveWaitsForRequestsInProgress(t *testing.T) {
	addr, begun, unblock := blockingBackend(t)
	b := newTestbed(t, inventory.KindModel, addr)
	b.agent.gate.serve(v1)
	done := make(chan []*rpc.ResponseFrame, 1)
	go func() { done <- b.run(request(v1)) }()
	<-begun
	woken := b.agent.watchers.next()

	forced, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorContains(t, b.agent.Leave(forced), "1 requests still in progress")
	require.True(t, closedChannel(woken), "watchers were not notified")
	require.True(t, b.agent.agentState(0).Leaving)
	b.requireRefused(request(v1), outcome.Leaving)

	left := make(chan error, 1)
	go func() { left <- b.agent.Leave(context.Background()) }()
	b.requireRefused(request(v1), outcome.Leaving)
	require.Empty(t, left, "left with a request in progress")
	close(unblock)
	require.Equal(t, rpc.FrameKind_FRAME_END, last(<-done).Kind)
	require.NoError(t, <-left)
}
