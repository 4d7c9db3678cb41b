package configfeed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/keyspace"
)

// TestLargeUpdatesAreSplit sends a snapshot of several megabytes.
func TestLargeUpdatesAreSplit(t *testing.T) {
	var newest atomic.Uint64
	s := startSource(t, &newest)
	var entries []*keyspace.Entry
	for i := range 2000 {
		entries = append(entries, &keyspace.Entry{Key: fmt.Sprintf("k/%05d", i), Value: make([]byte, 3000), Revision: 1})
	}
	s.store.Replace(keyspace.NewView(1, entries))
	parts := splitParts(s.store.since(0), nil)
	require.Greater(t, len(parts), 10)
	newest.Store(1)
	client, err := NewClient(ClientConfig{Name: "f", Upstreams: []string{s.addr}})
	require.NoError(t, err)
	defer background(func(ctx context.Context) { _ = client.Run(ctx) })()
	<-client.Ready()
	require.Equal(t, 2000, client.View().Len())
}

func TestInvalidFloorFileIsAnError(t *testing.T) {
	f := floorFile{path: filepath.Join(t.TempDir(), "floor")}
	require.NoError(t, f.save(7))
	got, err := f.load()
	require.NoError(t, err)
	require.EqualValues(t, 7, got)
	require.NoError(t, os.WriteFile(f.path, []byte("x"), floorMode))
	_, err = NewClient(ClientConfig{Upstreams: []string{"127.0.0.1:1"}, FloorPath: f.path})
	require.Error(t, err, "ignoring it could let the revision decrease")
}

func TestRendezvousOrderSpreads(t *testing.T) {
	addrs := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	first := map[string]int{}
	for i := range 400 {
		name := fmt.Sprint("vm", i)
		order := RendezvousOrder(name, addrs)
		require.ElementsMatch(t, addrs, order)
		first[order[0]]++
		if order[0] != addrs[3] {
			require.Equal(t, order[0], RendezvousOrder(name, addrs[:3])[0], "only processes of the removed address change")
		}
	}
	for _, addr := range addrs {
		require.InDelta(t, 100, first[addr], 40)
	}
}

// TestInboxMerges merges updates in random groups and checks that the result leads
// to the same view.
func TestInboxMerges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newInbox()
		view := viewAt(3)
		sent := uint64(3)
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			next := sent + uint64(rapid.IntRange(0, 3).Draw(t, "revisions"))
			u := wholeUpdate{revision: next}
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				u.snapshot = true
				u.changes = viewAt(next).Entries()
			} else {
				for r := sent + 1; r <= next; r++ {
					u.changes = append(u.changes, entryOf(r))
				}
			}
			sent = next
			b.put(u)
			if rapid.Bool().Draw(t, "take") {
				continue
			}
			<-b.ready
			got, err := b.take()
			require.NoError(t, err)
			if got.snapshot {
				view = keyspace.NewView(got.revision, got.changes)
			} else {
				view = view.Apply(got.revision, got.changes)
			}
			require.Equal(t, next, view.Revision())
			require.Empty(t, keyspace.Diff(viewAt(next), view))
		}
	})
}
