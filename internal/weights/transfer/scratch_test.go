package transfer

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/store"
)

// Fails if chunks held before a restart are fetched again. The restarts come
// after different numbers of chunks.
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
		// The origin sends nothing at first, so all chunks held were stored earlier.
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
	nodes := startNodes(t, 2, timely(2, nil))
	want(nodes, nodes, ref)
	requireStaged(t, nodes, "v1", data)
	path := nodes[0].progressOf("v1").Path
	require.NoError(t, os.RemoveAll(nodes[0].cfg.Dir))
	require.Eventually(t, func() bool { return !nodes[0].progressOf("v1").Staged }, patience, time.Millisecond,
		"a deleted file must not be reported as staged")
	requireStaged(t, nodes, "v1", data)
	require.FileExists(t, path)
	require.Equal(t, int64(len(data)), origin.sent.Load(), "the peer holds all chunks, so the origin must not send any")
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
	requireStaged(t, nodes, other, refs[other]) // disk space is freed once the first is not wanted
}

// Fails if the live heap grows with the size of the model instead of staying near
// the memory bound.
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
	require.Less(t, most-min(most, before), uint64(6*bound), "live heap exceeds the bounds of two nodes plus a margin")
}

// Fails if a cancelled fetch releases its share of the memory bound while a read still
// uses its buffer.
func TestCancelledFetchesCountAgainstTheMemoryBound(t *testing.T) {
	const chunks, bound = 16, 4 * testChunk
	origin := newFakeOrigin(t)
	data := weightsOf(1, chunks)
	ref := origin.publish(t, "v1", data)
	slow := &slowReads{stuck: make(chan struct{})}
	nodes := startNodes(t, 1, map[int]nodeOptions{0: {config: func(c *Config) {
		c.MemoryBytes = bound
		c.HTTP = &http.Client{Transport: slow}
	}}})
	release := sync.OnceFunc(func() { close(slow.stuck) })
	t.Cleanup(release)
	want(nodes, nodes, ref)
	time.Sleep(8 * testConfig("", "", "").Swarm.ProgressTimeout)
	require.NotZero(t, slow.most.Load())
	require.LessOrEqual(t, slow.most.Load(), int64(bound/testChunk), "too many fetches with a buffer at once")
	release()
	requireStaged(t, nodes, "v1", data)
}

// slowReads is an http.RoundTripper. Reads of its responses with chunks block until
// stuck is closed, even after the request was cancelled.
type slowReads struct {
	stuck     chan struct{}
	now, most atomic.Int64
}

func (s *slowReads) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil || !strings.HasSuffix(r.URL.Path, "weights") {
		return resp, err
	}
	resp.Body = &slowBody{ReadCloser: resp.Body, reads: s}
	return resp, nil
}

type slowBody struct {
	io.ReadCloser
	reads *slowReads
}

func (b *slowBody) Read(p []byte) (int, error) {
	b.reads.most.Store(max(b.reads.most.Load(), b.reads.now.Add(1)))
	defer b.reads.now.Add(-1)
	<-b.reads.stuck
	return b.ReadCloser.Read(p)
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
