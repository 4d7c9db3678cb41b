package configfeed

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// DefaultHeartbeat is the longest time between two updates to a subscriber.
const DefaultHeartbeat = 2 * time.Second

// maxPartBytes bounds one message of a large update.
const maxPartBytes = 256 << 10

// SourceConfig says how a Source serves its subscribers.
type SourceConfig struct {
	// Store is served.
	Store *Store
	// Confirmed reports whether the store's view was confirmed with a quorum lately.
	Confirmed func() bool
	// Confirm returns a revision that is no lower than any change accepted
	// before the call began; it asks a quorum.
	Confirm func(context.Context) (uint64, error)
	// Heartbeat is the longest time between two updates; DefaultHeartbeat if 0.
	Heartbeat time.Duration
	// ConfirmTimeout bounds one Confirm; DefaultConfirmTimeout if 0.
	ConfirmTimeout time.Duration
	// Registerer takes the metrics; may be nil.
	Registerer prometheus.Registerer
}

// DefaultConfirmTimeout bounds one call of SourceConfig.Confirm.
const DefaultConfirmTimeout = 3 * time.Second

// Source serves rpc.Feed from a Store. An update is computed when it is sent,
// from what the subscriber holds by then: a slow subscriber gets one larger
// delta or a snapshot later, and nothing is buffered for it.
type Source struct {
	cfg     SourceConfig
	confirm *confirmer
	metrics sourceMetrics
}

// NewSource makes a source; register it with rpc.DRPCRegisterFeed.
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

// Subscribe implements rpc.DRPCFeedServer. It ends with the stream.
func (s *Source) Subscribe(req *rpc.SubscribeRequest, stream rpc.DRPCFeed_SubscribeStream) error {
	s.metrics.subscribers.Inc()
	defer s.metrics.subscribers.Dec()
	ctx := stream.Context()
	heartbeat := time.NewTicker(s.cfg.Heartbeat)
	defer heartbeat.Stop()
	sub := subscription{prefixes: req.Prefixes, have: req.HaveRevision}
	if req.NeedConfirmed {
		sub.unproven = !s.awaitConfirmed(ctx)
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

// awaitConfirmed waits until the store holds all that was accepted before, as
// a quorum says. It reports false when no quorum answers in time.
func (s *Source) awaitConfirmed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ConfirmTimeout)
	defer cancel()
	revision, err := s.confirm.do(ctx)
	if err != nil {
		return false
	}
	return s.cfg.Store.Wait(ctx, revision) == nil
}

// subscription is what a source knows of one subscriber.
type subscription struct {
	prefixes []string
	// have is the revision that the subscriber holds.
	have uint64
	// unproven is true for a subscriber that asked for a confirmed revision
	// and could not have one. It has to subscribe again: the first update with
	// the state of then may still wait in its queue.
	unproven bool
}

// send brings the subscriber to the view in force. A subscriber that is ahead
// of the source learns where the source stands and gets deltas from where the
// subscriber stands, once the source has come that far.
func (s *Source) send(stream rpc.DRPCFeed_SubscribeStream, sub *subscription) error {
	u := s.cfg.Store.since(sub.have)
	sub.have = max(sub.have, u.revision)
	confirmed := s.cfg.Confirmed() && !sub.unproven
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

// splitParts makes the messages of one update, each of bounded size.
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
