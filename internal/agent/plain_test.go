package agent_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/agent"
	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// fakeControl stores the last announced revision.
type fakeControl struct {
	rpc.DRPCControlUnimplementedServer
	revision atomic.Uint64
}

func (c *fakeControl) Announce(_ context.Context, req *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	c.revision.Store(req.Revision)
	return &rpc.AnnounceResponse{Status: rpc.Status_STATUS_OK}, nil
}

// fakeFeed provides a configuration whose revision a test advances.
type fakeFeed struct {
	mu      sync.Mutex
	view    *keyspace.View
	changed chan struct{}
}

func (f *fakeFeed) View() *keyspace.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeFeed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeFeed) Unconfirmed() bool { return false }

func (f *fakeFeed) advance(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = keyspace.NewView(revision, nil)
	close(f.changed)
	f.changed = make(chan struct{})
}

// An agent of a plain service announces each new revision immediately, not only
// when its lease is renewed.
func TestPlainAgentAnnouncesNewRevisions(t *testing.T) {
	server := &fakeControl{}
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterControl(mux, server))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	lis := listen(t)
	running.Go(func() { _ = rpcconn.Serve(ctx, lis, mux) })

	config := &fakeFeed{view: keyspace.NewView(1, nil), changed: make(chan struct{})}
	a, err := agent.New(agent.Config{
		VM: "vm-1", Service: "backoffice", Kind: inventory.KindPlain, BackendAddr: listen(t).Addr().String(),
		AnnounceInterval: time.Hour, Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	}, config, controlclient.New(controlclient.Config{Addrs: []string{lis.Addr().String()}}), nil)
	require.NoError(t, err)
	running.Go(func() { _ = a.Serve(ctx) })

	for revision := uint64(1); revision <= 3; revision++ {
		require.Eventually(t, func() bool { return server.revision.Load() == revision }, 30*time.Second, 5*time.Millisecond)
		config.advance(revision + 1)
	}
}

func listen(t *testing.T) net.Listener {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { lis.Close() })
	return lis
}
