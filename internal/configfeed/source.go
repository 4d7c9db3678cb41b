package configfeed

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// DefaultHeartbeat is the default of SourceConfig.Heartbeat.
const DefaultHeartbeat = 2 * time.Second

// maxPartBytes is the size from which an update is continued in another message.
const maxPartBytes = 256 << 10

// SourceConfig sets how a Source serves its subscribers.
type SourceConfig struct {
	// Store to serve.
	Store *Store
	// Confirmed reports whether the store's view was recently confirmed with a quorum.
	Confirmed func() bool
	// Confirm reads from a quorum a revision no lower than that of any change
	// accepted before the call.
	Confirm func(context.Context) (uint64, error)
	// Heartbeat is the maximum time between two updates to a subscriber;
	// DefaultHeartbeat if 0.
	Heartbeat time.Duration
	// ConfirmTimeout bounds one Confirm; DefaultConfirmTimeout if 0.
	ConfirmTimeout time.Duration
	// Registerer registers the metrics; may be nil.
	Registerer prometheus.Registerer
}

// DefaultConfirmTimeout is the default of SourceConfig.ConfirmTimeout.
const DefaultConfirmTimeout = 3 * time.Second

// Source serves rpc.Feed from a Store. An update is computed when it is sent, from
// the revision that the subscriber then has: a slow subscriber later gets a larger
// delta or a snapshot, and nothing is buffered for it.
type Source struct {
	cfg     SourceConfig
	confirm *confirmer
	metrics sourceMetrics
}

// NewSource returns a source; register it with rpc.DRPCRegisterFeed.
func NewSource(cfg SourceConfig) *Source {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	if cfg.ConfirmTimeout == 0 {
		cfg.ConfirmTimeout = DefaultConfirmTimeout
	}
	cfg.Store.keepHistory()
	return &Source{
		cfg:     cfg,
		confirm: newConfirmer(cfg.Confirm, cfg.ConfirmTimeout),
		metrics: newSourceMetrics(cfg.Registerer),
	}
}

// Subscribe implements rpc.DRPCFeedServer. It returns when the stream ends.
func (s *Source) Subscribe(req *rpc.SubscribeRequest, stream rpc.DRPCFeed_SubscribeStream) error {
	s.metrics.subscribers.Inc()
	defer s.metrics.subscribers.Dec()
	ctx := stream.Context()
	heartbeat := time.NewTicker(s.cfg.Heartbeat)
	defer heartbeat.Stop()
	sub := subscription{prefixes: req.Prefixes, have: req.HaveRevision}
	if req.NeedConfirmed {
		sub.confirmFailed = !s.awaitConfirmed(ctx)
	}
	for {
		changed := s.cfg.Store.Changed()
		if err := s.send(stream, &sub); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitConfirmed waits until the store has all changes accepted by a quorum before
// the call. It returns false if that is not so within ConfirmTimeout.
func (s *Source) awaitConfirmed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ConfirmTimeout)
	defer cancel()
	revision, err := s.confirm.do(ctx)
	if err != nil {
		return false
	}
	return s.cfg.Store.Wait(ctx, revision) == nil
}

// subscription is the state of one subscriber at a source.
type subscription struct {
	prefixes []string
	// have is the revision that the subscriber has.
	have uint64
	// confirmFailed is true if the subscriber requested a confirmed revision and
	// awaitConfirmed failed. All its updates are then sent as unconfirmed, and it
	// has to subscribe again: the first update, with an older state, may still be
	// in its receive queue.
	confirmFailed bool
}

// send updates the subscriber to the view in force. A subscriber ahead of the
// source gets empty updates with the revision of the source, and deltas once the
// source has passed the revision of the subscriber.
func (s *Source) send(stream rpc.DRPCFeed_SubscribeStream, sub *subscription) error {
	u := s.cfg.Store.since(sub.have)
	sub.have = max(sub.have, u.revision)
	confirmed := s.cfg.Confirmed() && !sub.confirmFailed
	parts := splitParts(u, sub.prefixes)
	for i, part := range parts {
		part.Confirmed = confirmed
		part.More = i < len(parts)-1
		if err := stream.Send(part); err != nil {
			return err
		}
		s.metrics.count(part)
	}
	return nil
}

// splitParts splits an update into messages of bounded size.
func splitParts(u update, prefixes []string) []*rpc.FeedUpdate {
	part := &rpc.FeedUpdate{Revision: u.revision, Snapshot: u.snapshot}
	parts := []*rpc.FeedUpdate{part}
	bytes := 0
	for _, e := range u.changes {
		if !keyspace.Matches(e.Key, prefixes) {
			continue
		}
		if bytes > maxPartBytes {
			part = &rpc.FeedUpdate{Revision: u.revision, Snapshot: u.snapshot}
			parts = append(parts, part)
			bytes = 0
		}
		part.Changes = append(part.Changes, &rpc.KeyValue{
			Key:      e.Key,
			Value:    e.Value,
			Revision: e.Revision,
			Deleted:  e.Deleted,
		})
		bytes += len(e.Key) + len(e.Value)
	}
	return parts
}
