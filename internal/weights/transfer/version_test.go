package transfer

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

// roundTripper answers requests to the origin.
type roundTripper func(r *http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Fails if a fetcher whose files take long to open fetches from the origin before
// it has applied the queued updates of peers that fetched its chunks meanwhile.
func TestQueuedUpdatesAreAppliedBeforeOriginFetches(t *testing.T) {
	publisher := newFakeOrigin(t)
	ref := publisher.publish(t, "v1", weightsOf(1, testChunks))
	var requests atomic.Int32
	n := startNode(t, "vm-00", "zone-0", t.TempDir(), nodeOptions{config: func(c *Config) {
		c.Swarm.OriginDeadline = patience
		c.HTTP = &http.Client{Transport: roundTripper(func(*http.Request) (*http.Response, error) {
			requests.Add(1)
			return nil, errors.New("unexpected request to the origin")
		})}
	}})
	peers := []Peer{{VM: "vm-01"}, {VM: "vm-02"}, {VM: "vm-03"}}
	v := newVersion(n.Manager, Wanted{Ref: ref, Peers: peers})
	v.hub = newHub()
	v.fetches = map[uint64]func(){}
	var err error
	v.files, err = n.store.OpenVersion(v.id, publisher.files["/m/v1/manifest.json"])
	require.NoError(t, err)
	defer v.files.Close()
	all := swarm.NewBits(testChunks)
	for i := range testChunks {
		all.Set(i)
	}
	for _, p := range peers {
		l := &link{manager: n.Manager, peer: p, stop: func() {}, downloads: map[uint64]*download{}}
		v.links[p.VM] = l
		v.onHaves(l, &rpc.HaveUpdate{Reset_: true}) // sent before the peer knew the manifest
		v.posted <- func() {
			v.onHaves(l, &rpc.HaveUpdate{Reset_: true, Bitmap: all.Bytes(testChunks), SeenBitmap: all.Bytes(testChunks)})
		}
	}
	v.posted <- v.cancel
	require.Error(t, v.fetchAll(v.files.Manifest()))
	v.running.Wait()
	require.Zero(t, requests.Load(), "chunks were fetched from the origin that peers had reported")
}
