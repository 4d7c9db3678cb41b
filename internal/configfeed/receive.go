package configfeed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// maxUpdateKeys bounds the number of keys in one update, and so the memory that a
// faulty source can use.
const maxUpdateKeys = 200_000

// wholeUpdate is an update joined from all its parts.
type wholeUpdate struct {
	revision  uint64
	snapshot  bool
	confirmed bool
	changes   []*keyspace.Entry
}

// inbox holds the updates received and not yet handled, merged into one update, so
// that a client that is slow for a while (for example because of its disk) handles
// many revisions at once instead of falling further behind. Its size is bounded by
// the number of keys.
type inbox struct {
	// ready has an element while there is an update or an error to take.
	ready chan struct{}

	mu      sync.Mutex
	pending *wholeUpdate
	byKey   map[string]*keyspace.Entry
	err     error
}

func newInbox() *inbox { return &inbox{ready: make(chan struct{}, 1)} }

// put merges an update into the pending one.
func (b *inbox) put(u wholeUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == nil || u.snapshot {
		b.pending = &wholeUpdate{snapshot: u.snapshot}
		b.byKey = make(map[string]*keyspace.Entry, len(u.changes))
	}
	b.pending.revision = u.revision
	b.pending.confirmed = u.confirmed
	for _, e := range u.changes {
		if e.Deleted && b.pending.snapshot {
			delete(b.byKey, e.Key)
			continue
		}
		b.byKey[e.Key] = e
	}
	b.wake()
}

// fail records the error that ended the stream.
func (b *inbox) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	b.wake()
}

func (b *inbox) wake() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the pending update, nil if there is none, and the error
// that ended the stream.
func (b *inbox) take() (*wholeUpdate, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.pending
	if u != nil {
		u.changes = slices.Collect(maps.Values(b.byKey))
	}
	b.pending = nil
	b.byKey = nil
	return u, b.err
}

// receive reads a stream into an inbox until the stream fails or ctx is done.
func receive(ctx context.Context, stream rpc.DRPCFeed_SubscribeClient, metrics clientMetrics) *inbox {
	b := newInbox()
	go func() {
		for ctx.Err() == nil {
			u, err := receiveUpdate(stream, metrics)
			if err != nil {
				b.fail(err)
				return
			}
			b.put(u)
		}
	}()
	return b
}

// receiveUpdate reads the parts of one update.
func receiveUpdate(stream rpc.DRPCFeed_SubscribeClient, metrics clientMetrics) (wholeUpdate, error) {
	var u wholeUpdate
	for {
		part, err := stream.Recv()
		if err != nil {
			return u, fmt.Errorf("receive: %w", err)
		}
		metrics.count(part)
		u.revision = part.Revision
		u.snapshot = part.Snapshot
		u.confirmed = part.Confirmed
		for _, kv := range part.Changes {
			u.changes = append(u.changes, &keyspace.Entry{
				Key:      kv.Key,
				Value:    kv.Value,
				Revision: kv.Revision,
				Deleted:  kv.Deleted,
			})
		}
		if !part.More {
			return u, nil
		}
		if len(u.changes) > maxUpdateKeys {
			return u, fmt.Errorf("receive: update of more than %d keys", maxUpdateKeys)
		}
	}
}
