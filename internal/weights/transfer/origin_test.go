package transfer

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTemporaryOriginOutage(t *testing.T) {
	origin := newFakeOrigin(t)
	data := weightsOf(1, testChunks)
	ref := origin.publish(t, "v1", data)
	var served, refused atomic.Int32
	origin.setRefuse(func(w http.ResponseWriter, _ *http.Request) bool {
		if served.Add(1) < 10 || refused.Load() > 20 {
			return false
		}
		refused.Add(1)
		panic(http.ErrAbortHandler) // closes the connection
	})
	nodes := startNodes(t, 4, nil)
	want(nodes, nodes, ref)
	requireStaged(t, nodes, "v1", data)
	require.Positive(t, refused.Load())
}

func TestStoreReplacesFailedOriginWithinItsRateLimit(t *testing.T) {
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
	require.LessOrEqual(t, early, 1, "requests before Retry-After had passed")
	require.Equal(t, int64(len(data)), weightStore.sent.Load())
}
