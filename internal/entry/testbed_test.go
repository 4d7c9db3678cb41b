package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/frames"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/routing"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// waitLimit bounds every wait for a condition, with a wide margin.
const waitLimit = 30 * time.Second

// runFunc answers one dispatched request.
type runFunc func(in *rpc.RunRequest, w *frames.Writer, send func(*rpc.ResponseFrame) error, ctx context.Context) error

// fakeAgent is an agent that answers with a test's function and records the
// requests.
type fakeAgent struct {
	rpc.DRPCDispatchUnimplementedServer
	vm, service, version string
	run                  runFunc
	addr                 string
	stop                 func()

	mu   sync.Mutex
	seen []*rpc.RunRequest
}

func (a *fakeAgent) Run(in *rpc.RunRequest, stream rpc.DRPCDispatch_RunStream) error {
	a.mu.Lock()
	a.seen = append(a.seen, in)
	a.mu.Unlock()
	return a.run(in, frames.NewWriter(in.RequestId), stream.Send, stream.Context())
}

func (a *fakeAgent) requests() []*rpc.RunRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seen[:len(a.seen):len(a.seen)]
}

func (a *fakeAgent) Watch(_ *rpc.WatchRequest, stream rpc.DRPCDispatch_WatchStream) error {
	state := &rpc.AgentState{Vm: a.vm, Incarnation: 1, Seq: 1, Service: a.service, ReportedLoad: -1, Concurrency: 64}
	if a.version != "" {
		state.Live = []*rpc.LiveVersion{{Model: "m", Version: a.version}}
	}
	for {
		if err := stream.Send(state); err != nil {
			return err
		}
		state.Seq++
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(time.Second):
		}
	}
}

// fakeControl returns the verdict and the statuses that a test sets, or the
// stored answer of a completed key, and records the requests.
type fakeControl struct {
	rpc.DRPCControlUnimplementedServer
	mu                        sync.Mutex
	claims                    []*rpc.ClaimRequest
	settled                   []*rpc.SettleRequest
	stored                    map[string]*rpc.StoredAnswer
	verdict                   rpc.ClaimVerdict
	claimStatus, settleStatus rpc.Status
}

func (c *fakeControl) Announce(context.Context, *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	return &rpc.AnnounceResponse{LeaseMs: 30_000}, nil
}

func (c *fakeControl) Claim(_ context.Context, in *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims = append(c.claims, in)
	if answer, ok := c.stored[in.Organisation+"/"+in.Key]; ok {
		return &rpc.ClaimResponse{Verdict: rpc.ClaimVerdict_CLAIM_COMPLETED, Answer: answer}, nil
	}
	return &rpc.ClaimResponse{Status: c.claimStatus, Verdict: c.verdict, Token: 7, RetryAfterMs: 1500}, nil
}

func (c *fakeControl) Settle(_ context.Context, in *rpc.SettleRequest) (*rpc.SettleResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settleStatus == rpc.Status_STATUS_OK {
		c.settled = append(c.settled, in)
		if in.Outcome == rpc.SettleOutcome_SETTLE_COMPLETED {
			c.stored[in.Organisation+"/"+in.Key] = in.Answer
		}
	}
	return &rpc.SettleResponse{Status: c.settleStatus}, nil
}

type staticFeed struct{ view *keyspace.View }

func (f staticFeed) View() *keyspace.View     { return f.view }
func (f staticFeed) Changed() <-chan struct{} { return nil }
func (f staticFeed) Unconfirmed() bool        { return false }

// testbed is an entry that serves on loopback, with fake agents and a fake
// control server.
type testbed struct {
	t       *testing.T
	entry   *Entry
	control *fakeControl
	url     string
	client  *http.Client
}

// newTestbed starts an entry. Agents with a version serve the model service
// "chat", those without the plain service "office".
func newTestbed(t *testing.T, cfg Config, agents ...*fakeAgent) *testbed {
	t.Helper()
	t.Parallel()
	records := map[string]any{
		"service/chat": inventory.Service{Name: "chat", Kind: inventory.KindModel, Model: "m"},
		"service/office": inventory.Service{Name: "office", Kind: inventory.KindPlain, Paths: []inventory.PathRule{
			{Prefix: "/jobs", AtMostOnce: true}, {Prefix: "/read", Idempotent: true},
		}},
	}
	for _, name := range []string{"o1", "o2"} {
		sum := sha256.Sum256([]byte("key-" + name))
		records["organisation/"+name] = inventory.Organisation{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}}
	}
	for i, a := range agents {
		a.vm, a.service = fmt.Sprintf("vm-%d", i), "office"
		if a.version != "" {
			a.service = "chat"
		}
		a.addr, a.stop = serveRPC(t, func(mux *drpcmux.Mux) error { return rpc.DRPCRegisterDispatch(mux, a) })
		records["member/"+a.vm] = inventory.Member{VM: a.vm, Addr: a.addr, Service: a.service, Incarnation: 1, State: inventory.MemberUp}
	}
	b := &testbed{t: t, control: &fakeControl{stored: map[string]*rpc.StoredAnswer{}}, client: &http.Client{Transport: &http.Transport{}}}
	controlAddr, _ := serveRPC(t, func(mux *drpcmux.Mux) error { return rpc.DRPCRegisterControl(mux, b.control) })
	b.start(cfg, viewOf(t, records), controlAddr)
	for _, a := range agents {
		b.awaitReport(a, agents)
	}
	b.entry.router.updateCapacity()
	return b
}

func viewOf(t *testing.T, records map[string]any) *keyspace.View {
	var entries []*keyspace.Entry
	for key, record := range records {
		value, err := json.Marshal(record)
		require.NoError(t, err)
		entries = append(entries, &keyspace.Entry{Key: key, Value: value, Revision: 1})
	}
	return keyspace.NewView(1, entries)
}

func (b *testbed) start(cfg Config, view *keyspace.View, controlAddr string) {
	cfg.Name = "entry-1"
	cfg.Logger, cfg.Registerer = zerolog.Nop(), prometheus.NewRegistry()
	cfg.MaxBodyBytes = max(cfg.MaxBodyBytes, 1<<10)
	cfg.MaxHeaderBytes = max(cfg.MaxHeaderBytes, 4<<10)
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = 100
	}
	cfg.DefaultDeadline = waitLimit
	control := controlclient.New(controlclient.Config{Addrs: []string{controlAddr}})
	b.entry = New(cfg, staticFeed{view}, control)
	lis := listen(b.t)
	b.url = "http://" + lis.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- b.entry.serveOn(ctx, lis) }()
	b.t.Cleanup(func() {
		b.client.CloseIdleConnections()
		cancel()
		require.NoError(b.t, <-served)
		_ = control.Close()
	})
}

// awaitReport waits until the entry has received a state of the agent.
func (b *testbed) awaitReport(a *fakeAgent, all []*fakeAgent) {
	b.t.Helper()
	var others []string
	for _, other := range all {
		if other != a {
			others = append(others, other.vm)
		}
	}
	require.Eventually(b.t, func() bool {
		request := routing.Request{Service: a.service, Excluded: others}
		if a.version != "" {
			request.Model = "m"
		}
		return b.entry.router.table.View().Capacity(time.Now(), request).Servers == 1
	}, waitLimit, time.Millisecond)
}

// serveRPC serves on a free loopback port until stop or the test's end.
func serveRPC(t *testing.T, register func(*drpcmux.Mux) error) (addr string, stop func()) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, register(mux))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = rpcconn.Serve(ctx, lis, mux)
	}()
	stop = func() {
		cancel()
		<-served
	}
	t.Cleanup(stop)
	return lis.Addr().String(), stop
}

func listen(t *testing.T) net.Listener {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return lis
}

// result is a caller's view of an answer.
type result struct {
	status int
	header http.Header
	body   string
	// broken is true if the connection was closed before the end of the answer.
	broken bool
	kind   string
	reason outcome.Reason
}

// call sends a request as organisation o1 unless headers say otherwise.
func (b *testbed) call(path, body string, headers ...string) result {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	resp, err := b.send(ctx, path, body, headers...)
	require.NoError(b.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := result{status: resp.StatusCode, header: resp.Header, body: string(data), broken: err != nil}
	var stated struct {
		Error struct {
			Type    outcome.Reason
			Outcome string
		}
	}
	_ = json.Unmarshal(data, &stated)
	r.kind, r.reason = stated.Error.Outcome, stated.Error.Type
	return r
}

func (b *testbed) send(ctx context.Context, path, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+path, bytes.NewReader([]byte(body)))
	require.NoError(b.t, err)
	req.Header.Set("Authorization", "Bearer key-o1")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return b.client.Do(req)
}
