package configfeed

import (
	"context"
	"fmt"

	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// maxUpdateKeys bounds one update in keys; a source that sends more is broken.
const maxUpdateKeys = 200_000

// wholeUpdate is an update with all its parts.
type wholeUpdate struct {
	revision  uint64
	snapshot  bool
	confirmed bool
	changes   []*keyspace.Entry
}

// received is what the receiving goroutine hands over.
type received struct {
	update wholeUpdate
	err    error
}

// receive reads a stream in a goroutine of its own, one update ahead at most,
// until it fails or ctx ends.
func receive(ctx context.Context, stream rpc.DRPCFeed_SubscribeClient, metrics clientMetrics) <-chan received {
	out := make(chan received)
	go func() {
		for {
			u, err := receiveWhole(stream, metrics)
			select {
			case out <- received{update: u, err: err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return out
}

// receiveWhole reads the parts of one update.
func receiveWhole(stream rpc.DRPCFeed_SubscribeClient, metrics clientMetrics) (wholeUpdate, error) {
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
