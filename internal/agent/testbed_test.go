package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// waitTimeout limits how long the tests wait for a condition; it is generous because it only matters on failure.
const waitTimeout = 20 * time.Second

type staticFeed struct{ view *keyspace.View }

func (f staticFeed) View() *keyspace.View     { return f.view }
func (f staticFeed) Changed() <-chan struct{} { return nil }
func (f staticFeed) Unconfirmed() bool        { return false }

// testbed is an agent served over loopback without its control loop; the tests
// operate the gate directly.
type testbed struct {
	t     *testing.T
	agent *Agent
	pool  *rpcconn.Pool
	addr  string
}

var (
	v1 = orders.Ref{Model: "m", Version: "v1"}
	v2 = orders.Ref{Model: "m", Version: "v2"}
)

func newTestbed(t *testing.T, kind inventory.ServiceKind, backendAddr string) *testbed {
	t.Helper()
	t.Parallel()
	control := controlclient.New(controlclient.Config{})
	a, err := New(Config{
		VM: "vm-1", Service: "s", Kind: kind, BackendAddr: backendAddr,
		Logger: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	}, staticFeed{&keyspace.View{}}, control, nil)
	require.NoError(t, err)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterDispatch(mux, a))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = rpcconn.Serve(ctx, lis, mux)
	}()
	b := &testbed{t: t, agent: a, pool: rpcconn.NewPool(), addr: lis.Addr().String()}
	t.Cleanup(func() {
		cancel()
		<-served
		_ = b.pool.Close()
	})
	return b
}

// backendServer serves handler and returns its address. It reads the request
// body first, because net/http does not notice that a client has closed the
// connection before the body has been read.
func backendServer(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// request returns a request pinned to ref, with a body as requests to engines
// have.
func request(ref orders.Ref, headers ...*rpc.Header) *rpc.RunRequest {
	return &rpc.RunRequest{
		RequestId: "r-1", Organisation: "o", Service: "s", Model: ref.Model, Version: ref.Version,
		Method: http.MethodPost, Path: "/jobs", Headers: headers, Body: []byte("{}"),
		DeadlineMs: waitTimeout.Milliseconds(),
	}
}

// open sends a request and returns the stream of its response frames.
func (b *testbed) open(ctx context.Context, in *rpc.RunRequest) rpc.DRPCDispatch_RunClient {
	b.t.Helper()
	conn := b.pool.Get(ctx, b.addr)
	b.t.Cleanup(func() { _ = conn.Close() })
	stream, err := rpc.NewDRPCDispatchClient(conn).Run(ctx, in)
	require.NoError(b.t, err)
	return stream
}

// run sends a request and returns all response frames.
func (b *testbed) run(in *rpc.RunRequest) []*rpc.ResponseFrame {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	stream := b.open(ctx, in)
	var out []*rpc.ResponseFrame
	for {
		f, err := stream.Recv()
		if err != nil {
			require.ErrorIs(b.t, err, io.EOF)
			return out
		}
		out = append(out, f)
	}
}

// last returns the last frame, which contains the outcome of the request.
func last(frames []*rpc.ResponseFrame) *rpc.ResponseFrame { return frames[len(frames)-1] }
