package transfer

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

const (
	testChunk  = 4 << 10
	testChunks = 64
	patience   = 30 * time.Second
)

// weightsOf returns pseudo-random weights of the given number of chunks, the last
// of them shorter.
func weightsOf(seed uint64, chunks int) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	data := make([]byte, chunks*testChunk-100)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

// fakeOrigin serves versions and counts what it sends.
type fakeOrigin struct {
	*httptest.Server
	files map[string][]byte // by path
	sent  atomic.Int64      // bytes of weights
	// refuse, if set, handles a request itself if it returns true.
	refuse atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]
}

func newFakeOrigin(t *testing.T) *fakeOrigin {
	o := &fakeOrigin{files: map[string][]byte{}}
	o.Server = httptest.NewServer(o)
	t.Cleanup(o.Close)
	return o
}

func (o *fakeOrigin) setRefuse(f func(w http.ResponseWriter, r *http.Request) bool) {
	if f == nil {
		o.refuse.Store(nil)
		return
	}
	o.refuse.Store(&f)
}

func (o *fakeOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if refuse := o.refuse.Load(); refuse != nil && (*refuse)(w, r) {
		return
	}
	data, ok := o.files[r.URL.Path]
	if !ok {
		http.NotFound(w, r)
		return
	}
	counted := &countingWriter{ResponseWriter: w, sent: &o.sent}
	if strings.HasSuffix(r.URL.Path, "manifest.json") {
		counted.sent = new(atomic.Int64)
	}
	http.ServeContent(counted, r, "", time.Time{}, bytes.NewReader(data))
}

type countingWriter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.sent.Add(int64(n))
	return n, err
}

// publish puts a version on the origin and returns its reference.
func (o *fakeOrigin) publish(t *testing.T, version string, data []byte) inventory.ModelVersion {
	m, err := manifest.Build("m", version, bytes.NewReader(data), testChunk)
	require.NoError(t, err)
	encoded, err := m.Encode()
	require.NoError(t, err)
	o.files["/m/"+version+"/manifest.json"] = encoded
	o.files["/m/"+version+"/weights"] = data
	return inventory.ModelVersion{Model: "m", Version: version, Manifest: manifest.Sum(encoded).String(), Origin: o.URL}
}

// node is a Manager behind a real listener.
type node struct {
	*Manager
	peer   Peer
	cancel context.CancelFunc
	done   chan struct{}
}

// nodeOptions change one node of a test.
type nodeOptions struct {
	config func(*Config)
	// serve wraps the server that answers the node's peers.
	serve func(rpc.DRPCWeightsServer) rpc.DRPCWeightsServer
}

func testConfig(vm, zone, dir string) Config {
	return Config{
		VM: vm, Zone: zone, Dir: dir, Logger: zerolog.Nop(),
		Swarm: swarm.Config{
			OriginDeadline: 300 * time.Millisecond, DeadlineChunks: 1,
			ProgressTimeout: 300 * time.Millisecond, AsideFor: 2 * time.Second,
		},
	}
}

func startNode(t *testing.T, vm, zone, dir string, opts nodeOptions) *node {
	cfg := testConfig(vm, zone, dir)
	if opts.config != nil {
		opts.config(&cfg)
	}
	m, err := New(cfg)
	require.NoError(t, err)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var server rpc.DRPCWeightsServer = m
	if opts.serve != nil {
		server = opts.serve(m)
	}
	mux := drpcmux.New()
	require.NoError(t, rpc.DRPCRegisterWeights(mux, server))
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Manager: m, peer: Peer{VM: vm, Zone: zone, Addr: lis.Addr().String()}, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		_ = drpcserver.New(mux).Serve(ctx, lis)
	}()
	t.Cleanup(n.kill)
	return n
}

// kill stops the node; its scratch folder stays. It may be called again.
func (n *node) kill() {
	n.cancel()
	_ = n.Close()
	<-n.done
}

func startNodes(t *testing.T, count int, opts map[int]nodeOptions) []*node {
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = startNode(t, fmt.Sprintf("vm-%02d", i), fmt.Sprintf("zone-%d", i%2), t.TempDir(), opts[i])
	}
	return nodes
}

func peersOf(nodes []*node) []Peer {
	peers := make([]Peer, len(nodes))
	for i, n := range nodes {
		peers[i] = n.peer
	}
	return peers
}

// want gives all nodes the same wanted versions.
func want(nodes []*node, members []*node, refs ...inventory.ModelVersion) {
	var wanted []Wanted
	for _, ref := range refs {
		wanted = append(wanted, Wanted{Ref: ref, Peers: peersOf(members)})
	}
	for _, n := range nodes {
		n.SetWanted(wanted)
	}
}

func (n *node) progressOf(version string) Progress {
	for _, p := range n.Status() {
		if p.Version == version {
			return p
		}
	}
	return Progress{}
}

// requireStaged waits until all nodes have staged exactly data.
func requireStaged(t *testing.T, nodes []*node, version string, data []byte) {
	t.Helper()
	for _, n := range nodes {
		require.Eventually(t, func() bool { return n.progressOf(version).Staged }, patience, 5*time.Millisecond,
			"%s: %+v", n.peer.VM, n.progressOf(version))
		got, err := os.ReadFile(n.progressOf(version).Path)
		require.NoError(t, err)
		require.True(t, bytes.Equal(data, got), "%s staged other bytes", n.peer.VM)
	}
}
