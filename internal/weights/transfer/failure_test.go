package transfer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/store"
)

// spoiler changes what a node sends to its peers.
type spoiler struct {
	rpc.DRPCWeightsServer
	// piece is called in place of the stream's Send.
	piece func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error
	// have is called before each have update is sent.
	have func(u *rpc.HaveUpdate)
}

func (s *spoiler) Exchange(stream rpc.DRPCWeights_ExchangeStream) error {
	if s.piece != nil {
		stream = &spoiledExchange{DRPCWeights_ExchangeStream: stream, spoiler: s}
	}
	return s.DRPCWeightsServer.Exchange(stream)
}

func (s *spoiler) Haves(req *rpc.HavesRequest, stream rpc.DRPCWeights_HavesStream) error {
	if s.have != nil {
		stream = &spoiledHaves{DRPCWeights_HavesStream: stream, spoiler: s}
	}
	return s.DRPCWeightsServer.Haves(req, stream)
}

type spoiledExchange struct {
	rpc.DRPCWeights_ExchangeStream
	spoiler *spoiler
}

func (s *spoiledExchange) Send(p *rpc.ChunkPiece) error {
	return s.spoiler.piece(s.DRPCWeights_ExchangeStream, p)
}

type spoiledHaves struct {
	rpc.DRPCWeights_HavesStream
	spoiler *spoiler
}

func (s *spoiledHaves) Send(u *rpc.HaveUpdate) error {
	s.spoiler.have(u)
	return s.DRPCWeights_HavesStream.Send(u)
}

func spoilPieces(piece func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error) nodeOptions {
	return nodeOptions{serve: func(inner rpc.DRPCWeightsServer) rpc.DRPCWeightsServer {
		return &spoiler{DRPCWeightsServer: inner, piece: piece}
	}}
}

// isChunk tells chunks from manifests, which the spoilers let through.
func isChunk(p *rpc.ChunkPiece) bool { return len(p.GetData()) > 0 && p.GetData()[0] != '{' }

// A third of the nodes spoil what they send, each in another way; all nodes
// stage the whole all the same, and never other bytes.
func TestSpoiledPeers(t *testing.T) {
	halt := func(stream rpc.DRPCWeights_ExchangeStream) error {
		<-stream.Context().Done()
		return context.Canceled
	}
	cases := map[string]func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error{
		"corrupt": func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
			if isChunk(p) {
				p.Data = bytes.Clone(p.Data)
				p.Data[len(p.Data)-1] ^= 1
			}
			return stream.Send(p)
		},
		"too long": func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
			if isChunk(p) {
				p.Data = append(bytes.Clone(p.Data), 0)
			}
			return stream.Send(p)
		},
		"stalled": func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
			if isChunk(p) {
				return halt(stream)
			}
			return stream.Send(p)
		},
		"stalled in mid-chunk": func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
			if isChunk(p) {
				_ = stream.Send(&rpc.ChunkPiece{Id: p.Id, Data: p.Data[:len(p.Data)/2]})
				return halt(stream)
			}
			return stream.Send(p)
		},
		"broken off in mid-chunk": func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
			if isChunk(p) {
				_ = stream.Send(&rpc.ChunkPiece{Id: p.Id, Data: p.Data[:len(p.Data)/2]})
				_ = stream.Close()
				return context.Canceled
			}
			return stream.Send(p)
		},
	}
	for name, piece := range cases {
		t.Run(name, func(t *testing.T) {
			origin := newFakeOrigin(t)
			data := weightsOf(1, testChunks)
			ref := origin.publish(t, "v1", data)
			nodes := startNodes(t, 6, map[int]nodeOptions{1: spoilPieces(piece), 4: spoilPieces(piece)})
			want(nodes, nodes, ref)
			requireStaged(t, nodes, "v1", data)
		})
	}
}

func TestPeerThatClaimsAllAndHoldsNothing(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	lie := nodeOptions{
		// Its own fetches are kept from it, so that it holds nothing.
		config: func(c *Config) { c.MaxBytes = 1 },
		serve: func(inner rpc.DRPCWeightsServer) rpc.DRPCWeightsServer {
			return &spoiler{DRPCWeightsServer: inner, have: func(u *rpc.HaveUpdate) {
				u.Reset_ = true
				u.Bitmap = bytes.Repeat([]byte{0xff}, testChunks/8)
				u.SeenBitmap = u.Bitmap
			}}
		},
	}
	nodes := startNodes(t, 4, map[int]nodeOptions{2: lie})
	want(nodes, nodes, ref)
	requireStaged(t, []*node{nodes[0], nodes[1], nodes[3]}, "v1", data)
	require.False(t, nodes[2].progressOf("v1").Staged)
	require.Contains(t, nodes[2].progressOf("v1").Err, store.ErrFull.Error())
}

func TestPeersKilledInTheBurst(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	var nodes []*node
	var kill sync.Once
	killed := make(chan struct{})
	opts := spoilPieces(func(stream rpc.DRPCWeights_ExchangeStream, p *rpc.ChunkPiece) error {
		if isChunk(p) {
			_ = stream.Send(&rpc.ChunkPiece{Id: p.Id, Data: p.Data[:10]})
			kill.Do(func() {
				go func() {
					nodes[0].kill()
					close(killed)
				}()
			})
			return errors.New("killed")
		}
		return stream.Send(p)
	})
	nodes = startNodes(t, 6, map[int]nodeOptions{0: opts})
	want(nodes, nodes, ref)
	requireStaged(t, nodes[1:], "v1", data)
	kill.Do(func() { close(killed) })
	<-killed
}

// Every VM takes its turn at being dead from the start: one of them is the
// first feeder of any given chunk and of the manifest.
func TestDesignatedFetcherDead(t *testing.T) {
	for dead := range 3 {
		origin := newFakeOrigin(t)
		data := weightsOf(1, 16)
		ref := origin.publish(t, "v1", data)
		nodes := startNodes(t, 3, nil)
		nodes[dead].kill()
		living := append(append([]*node{}, nodes[:dead]...), nodes[dead+1:]...)
		want(living, nodes, ref)
		requireStaged(t, living, "v1", data)
	}
}

func TestOriginGoneForAWhile(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	var served, refused atomic.Int32
	origin.setRefuse(func(w http.ResponseWriter, _ *http.Request) bool {
		if served.Add(1) < 10 || refused.Load() > 20 {
			return false
		}
		refused.Add(1)
		panic(http.ErrAbortHandler) // the connection breaks
	})
	nodes := startNodes(t, 4, nil)
	want(nodes, nodes, ref)
	requireStaged(t, nodes, "v1", data)
	require.Positive(t, refused.Load())
}

func TestStoreStandsInAndItsRateIsKept(t *testing.T) {
	origin, weightStore := newFakeOrigin(t), newFakeOrigin(t)
	data := weightsOf(1, 24)
	ref := origin.publish(t, "v1", data)
	weightStore.publish(t, "v1", data)
	ref.Store = weightStore.URL
	origin.setRefuse(func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
	var mu sync.Mutex
	var free time.Time
	early, limited := 0, 0
	weightStore.setRefuse(func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasSuffix(r.URL.Path, "manifest.json") {
			return false
		}
		if now := time.Now(); now.Before(free) {
			early++
		} else if limited < 4 {
			limited++
			free = now.Add(300 * time.Millisecond)
		} else {
			return false
		}
		w.Header().Set("Retry-After", "0.3")
		w.WriteHeader(map[bool]int{true: 429, false: 503}[limited%2 == 0])
		return true
	})
	nodes := startNodes(t, 1, map[int]nodeOptions{0: {config: func(c *Config) { c.Swarm.OriginStreams = 1 }}})
	want(nodes, nodes, ref)
	requireStaged(t, nodes, "v1", data)
	require.Equal(t, 4, limited)
	require.LessOrEqual(t, early, 1, "asked again before Retry-After had passed")
	require.Equal(t, int64(len(data)), weightStore.sent.Load())
}

// A restart after any number of chunks resumes: what was held is not fetched
// again.
func TestRestartResumes(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	dir := t.TempDir()
	var allowed atomic.Int64
	origin.setRefuse(func(w http.ResponseWriter, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "weights") && allowed.Add(-1) < 0 {
			http.Error(w, "gone", http.StatusNotFound)
			return true
		}
		return false
	})
	held := 0
	for held < testChunks {
		// The origin sends nothing at first: what is held now was kept.
		allowed.Store(0)
		n := startNode(t, "vm-00", "zone-0", dir, nodeOptions{})
		want([]*node{n}, []*node{n}, ref)
		require.Eventually(t, func() bool {
			p := n.progressOf("v1")
			return p.Total == testChunks && p.Held >= held
		}, patience, time.Millisecond, "held %d before the restart", held)
		allowed.Store(20)
		require.Eventually(t, func() bool { return n.progressOf("v1").Held > held }, patience, time.Millisecond)
		n.kill()
		held = n.progressOf("v1").Held
	}
	n := startNode(t, "vm-00", "zone-0", dir, nodeOptions{})
	want([]*node{n}, []*node{n}, ref)
	requireStaged(t, []*node{n}, "v1", data)
}

func TestScratchFolderWiped(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	nodes := startNodes(t, 2, nil)
	want(nodes, nodes, ref)
	requireStaged(t, nodes, "v1", data)
	path := nodes[0].progressOf("v1").Path
	require.NoError(t, os.RemoveAll(nodes[0].cfg.Dir))
	require.Eventually(t, func() bool { return !nodes[0].progressOf("v1").Staged }, patience, time.Millisecond,
		"a file that is gone must not be called staged")
	requireStaged(t, nodes, "v1", data)
	require.FileExists(t, path)
	require.Equal(t, int64(len(data)), origin.sent.Load(), "the peer has it, the origin need not send it")
}

func TestScratchFolderFull(t *testing.T) {
	origin := newFakeOrigin(t)
	first, second := weightsOf(1, 8), weightsOf(2, 8)
	ref1, ref2 := origin.publish(t, "v1", first), origin.publish(t, "v2", second)
	small := nodeOptions{config: func(c *Config) { c.MaxBytes = 12 * testChunk }}
	nodes := startNodes(t, 1, map[int]nodeOptions{0: small})
	want(nodes, nodes, ref1, ref2)
	one := func() (string, string) {
		a, b := nodes[0].progressOf("v1"), nodes[0].progressOf("v2")
		switch {
		case a.Staged && strings.Contains(b.Err, store.ErrFull.Error()):
			return "v1", "v2"
		case b.Staged && strings.Contains(a.Err, store.ErrFull.Error()):
			return "v2", "v1"
		}
		return "", ""
	}
	require.Eventually(t, func() bool { kept, _ := one(); return kept != "" }, patience, time.Millisecond)
	_, other := one()
	refs := map[string][]byte{"v1": first, "v2": second}
	if other == "v1" {
		want(nodes, nodes, ref1)
	} else {
		want(nodes, nodes, ref2)
	}
	requireStaged(t, nodes, other, refs[other]) // room is made once the first is not wanted
}

func TestTwoVersionsInFlightShareChunks(t *testing.T) {
	origin := newFakeOrigin(t)
	old := weightsOf(1, testChunks)
	renewed := bytes.Clone(old)
	copy(renewed[10*testChunk:], weightsOf(2, 12)) // 12 chunks differ, one of them in part
	ref1, ref2 := origin.publish(t, "v1", old), origin.publish(t, "v2", renewed)
	nodes := startNodes(t, 3, nil)
	want(nodes, nodes, ref1)
	requireStaged(t, nodes, "v1", old)
	before := origin.sent.Load()
	want(nodes, nodes, ref1, ref2)
	requireStaged(t, nodes, "v2", renewed)
	requireStaged(t, nodes, "v1", old)
	require.LessOrEqual(t, origin.sent.Load()-before, int64(12*testChunk), "shared chunks were fetched again")

	ref3, ref4 := origin.publish(t, "v3", weightsOf(3, testChunks)), origin.publish(t, "v4", weightsOf(4, testChunks))
	want(nodes, nodes, ref3, ref4) // both at once
	requireStaged(t, nodes, "v3", weightsOf(3, testChunks))
	requireStaged(t, nodes, "v4", weightsOf(4, testChunks))
}

func TestVersionWithdrawnAndPutBack(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	var open atomic.Bool
	var passed atomic.Int64
	origin.setRefuse(func(w http.ResponseWriter, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "weights") && !open.Load() && passed.Add(1) > 20 {
			http.Error(w, "wait", http.StatusNotFound)
			return true
		}
		return false
	})
	nodes := startNodes(t, 3, nil)
	for range 5 {
		want(nodes, nodes, ref)
		want(nodes, nodes) // withdrawn at once
	}
	want(nodes, nodes, ref)
	require.Eventually(t, func() bool { return nodes[0].progressOf("v1").Held >= 5 }, patience, time.Millisecond)
	want(nodes, nodes)
	require.Empty(t, nodes[0].Status())
	open.Store(true)
	want(nodes, nodes, ref)
	requireStaged(t, nodes, "v1", data)
	require.LessOrEqual(t, origin.sent.Load(), int64(len(data)+8*testChunk), "the burst started over")
}

// cutter is a network that can be cut between zones.
type cutter struct {
	mu    sync.Mutex
	cut   bool
	zones map[string]string // by address; the origin has none
	conns map[net.Conn]bool // between zones
}

func (c *cutter) dial(zone string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.zones[addr] == zone {
			return conn, nil
		}
		if c.cut {
			conn.Close()
			return nil, errors.New("cut off")
		}
		c.conns[conn] = true
		return conn, nil
	}
}

func (c *cutter) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	for conn := range c.conns {
		conn.Close()
	}
	clear(c.conns)
}

func TestZoneCutOffHalfWay(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	network := &cutter{zones: map[string]string{}, conns: map[net.Conn]bool{}}
	opts := map[int]nodeOptions{}
	for i := range 8 {
		zone := fmt.Sprintf("zone-%d", i%2)
		opts[i] = nodeOptions{config: func(c *Config) {
			c.Dial = network.dial(zone)
			if zone == "zone-1" { // the origin is on zone 0's side
				c.HTTP = &http.Client{Transport: &http.Transport{
					DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return network.dial(zone)(ctx, addr) },
				}}
			}
		}}
	}
	var served atomic.Int64
	origin.setRefuse(func(_ http.ResponseWriter, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "weights") && served.Add(1) == testChunks/2 {
			network.set(true)
		}
		return false
	})
	nodes := startNodes(t, 8, opts)
	network.mu.Lock()
	for _, n := range nodes {
		network.zones[n.peer.Addr] = n.peer.Zone
	}
	network.mu.Unlock()
	want(nodes, nodes, ref)
	requireStaged(t, []*node{nodes[0], nodes[2], nodes[4], nodes[6]}, "v1", data)
	for i := 1; i < 8; i += 2 {
		require.False(t, nodes[i].progressOf("v1").Staged)
	}
	origin.setRefuse(func(w http.ResponseWriter, r *http.Request) bool {
		http.NotFound(w, r) // what the zone lacks must come from peers
		return true
	})
	network.set(false)
	requireStaged(t, nodes, "v1", data)
}

func TestPeersLearnedLater(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	nodes := startNodes(t, 2, nil)
	want(nodes[:1], nodes[:1], ref)
	requireStaged(t, nodes[:1], "v1", data)
	origin.setRefuse(func(w http.ResponseWriter, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "manifest.json") {
			return false
		}
		http.NotFound(w, r)
		return true
	})
	want(nodes[1:], nodes[1:], ref)
	require.Eventually(t, func() bool { return nodes[1].progressOf("v1").Total > 0 }, patience, time.Millisecond)
	require.Zero(t, nodes[1].progressOf("v1").Held)
	want(nodes, nodes, ref)
	requireStaged(t, nodes, "v1", data)
}

func TestManyJoinInMidBurst(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	nodes := startNodes(t, 12, nil)
	want(nodes[:3], nodes[:3], ref)
	require.Eventually(t, func() bool { return nodes[0].progressOf("v1").Held > 10 }, patience, time.Millisecond)
	want(nodes, nodes, ref)
	requireStaged(t, nodes, "v1", data)
	require.LessOrEqual(t, origin.sent.Load(), int64(len(data)+16*testChunk))
}

// A model many times the memory bound must not be held in memory.
func TestMemoryIsBounded(t *testing.T) {
	const size, chunk, bound = 96 << 20, 1 << 20, 4 << 20
	origin := newFakeOrigin(t)
	data := make([]byte, size)
	for i := 0; i < size; i += chunk {
		data[i] = byte(i / chunk)
	}
	m, err := manifest.Build("m", "v1", bytes.NewReader(data), chunk)
	require.NoError(t, err)
	encoded, err := m.Encode()
	require.NoError(t, err)
	ref := origin.publish(t, "v1", data[:1])
	origin.files["/m/v1/manifest.json"], origin.files["/m/v1/weights"] = encoded, data
	ref.Manifest = manifest.Sum(encoded).String()
	nodes := startNodes(t, 2, map[int]nodeOptions{
		0: {config: func(c *Config) { c.MemoryBytes = bound }},
		1: {config: func(c *Config) { c.MemoryBytes = bound }},
	})
	before := liveHeap()
	want(nodes, nodes, ref)
	most := uint64(0)
	require.Eventually(t, func() bool {
		most = max(most, liveHeap())
		return nodes[0].progressOf("v1").Staged && nodes[1].progressOf("v1").Staged
	}, patience, time.Millisecond)
	require.Less(t, most-min(most, before), uint64(6*bound), "two nodes, their bounds, and room for the rest")
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
