package transfer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Fails if a member that is down from the start keeps the others from staging.
// Each member is down once, since each chunk has a different designated fetcher.
func TestMemberDownFromTheStart(t *testing.T) {
	for dead := range 3 {
		origin := newFakeOrigin(t)
		data := weightsOf(1, 16)
		ref := origin.publish(t, "v1", data)
		nodes := startNodes(t, 3, nil)
		nodes[dead].kill()
		live := append(append([]*node{}, nodes[:dead]...), nodes[dead+1:]...)
		want(live, nodes, ref)
		requireStaged(t, live, "v1", data)
	}
}

func TestTwoVersionsInFlightShareChunks(t *testing.T) {
	origin := newFakeOrigin(t)
	old := weightsOf(1, testChunks)
	renewed := bytes.Clone(old)
	copy(renewed[10*testChunk:], weightsOf(2, 12)) // 12 chunks differ, one of them in part
	ref1, ref2 := origin.publish(t, "v1", old), origin.publish(t, "v2", renewed)
	nodes := startNodes(t, 3, timely(3, nil))
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

func TestVersionWantedAgainResumes(t *testing.T) {
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
		want(nodes, nodes) // removed at once
	}
	want(nodes, nodes, ref)
	require.Eventually(t, func() bool { return nodes[0].progressOf("v1").Held >= 5 }, patience, time.Millisecond)
	want(nodes, nodes)
	require.Empty(t, nodes[0].Status())
	open.Store(true)
	want(nodes, nodes, ref)
	requireStaged(t, nodes, "v1", data)
	require.LessOrEqual(t, origin.sent.Load(), int64(len(data)+8*testChunk), "chunks were fetched again after the version was wanted again")
}

// partition is a network that can be partitioned between zones.
type partition struct {
	mu    sync.Mutex
	cut   bool              // true during the partition
	zones map[string]string // by address; the origin has none
	conns map[net.Conn]bool // between zones
}

func (p *partition) dial(zone string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.zones[addr] == zone {
			return conn, nil
		}
		if p.cut {
			conn.Close()
			return nil, errors.New("network partition")
		}
		p.conns[conn] = true
		return conn, nil
	}
}

func (p *partition) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for conn := range p.conns {
		conn.Close()
	}
	clear(p.conns)
}

func TestZonePartitionedDuringTransfer(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	network := &partition{zones: map[string]string{}, conns: map[net.Conn]bool{}}
	opts := map[int]nodeOptions{}
	for i := range 8 {
		zone := fmt.Sprintf("zone-%d", i%2)
		opts[i] = nodeOptions{config: func(c *Config) {
			c.Dial = network.dial(zone)
			if zone == "zone-1" { // the origin is on the side of zone-0
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
		http.NotFound(w, r) // the zone must fetch its missing chunks from peers
		return true
	})
	network.set(false)
	requireStaged(t, nodes, "v1", data)
}

func TestMembersAddedAfterTheManifest(t *testing.T) {
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

func TestMembersJoinDuringTransfer(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	nodes := startNodes(t, 12, timely(12, nil))
	want(nodes[:3], nodes[:3], ref)
	require.Eventually(t, func() bool { return nodes[0].progressOf("v1").Held > 10 }, patience, time.Millisecond)
	want(nodes, nodes, ref)
	requireStaged(t, nodes, "v1", data)
	require.LessOrEqual(t, origin.sent.Load(), int64(len(data)+16*testChunk))
}
