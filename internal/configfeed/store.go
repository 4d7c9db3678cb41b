package configfeed

import (
	"context"
	"sync"
	"sync/atomic"

	"lynxgate.dev/lynxgate/internal/keyspace"
)

// Bounds of the history that a Store keeps for deltas.
const (
	// maxHistoryDeltas is the maximum number of deltas kept.
	maxHistoryDeltas = 1024
	// maxHistoryBytes is the maximum total size of the deltas kept.
	maxHistoryBytes = 4 << 20
)

// Store holds the configuration of one process: the view in force and a
// bounded history for its subscribers. One goroutine writes; any may read.
type Store struct {
	view atomic.Pointer[keyspace.View]

	mu sync.Mutex
	// history is nil until a Source serves the store, since deltas are needed for
	// subscribers only.
	history *keyspace.History
	changed chan struct{}
}

// NewStore returns a store with an empty view at revision 0.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.view.Store(keyspace.NewView(0, nil))
	return s
}

// View returns the view in force. The returned view is immutable.
func (s *Store) View() *keyspace.View { return s.view.Load() }

// Revision returns the revision in force.
func (s *Store) Revision() uint64 { return s.View().Revision() }

// Changed returns a channel that is closed when the next view comes into force.
// Get the channel before reading the view, and keep it until it is closed: a loop
// that gets a new one for each of its events misses the views between them.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// keepHistory starts to record deltas.
func (s *Store) keepHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history == nil {
		s.history = keyspace.NewHistory(maxHistoryDeltas, maxHistoryBytes)
	}
}

// Advance puts into force a view that differs from the previous one by changes.
func (s *Store) Advance(view *keyspace.View, changes []*keyspace.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history != nil {
		s.history.Append(keyspace.Delta{From: s.Revision(), To: view.Revision(), Changes: changes})
	}
	s.publish(view)
}

// Replace puts into force a view without known changes from the previous one.
func (s *Store) Replace(view *keyspace.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history != nil {
		s.history.Reset()
	}
	s.publish(view)
}

func (s *Store) publish(view *keyspace.View) {
	s.view.Store(view)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Wait waits until the revision in force is at least revision.
func (s *Store) Wait(ctx context.Context, revision uint64) error {
	for {
		changed := s.Changed()
		if s.Revision() >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// update is a delta or snapshot that brings a subscriber to a revision.
type update struct {
	revision uint64
	snapshot bool
	changes  []*keyspace.Entry
}

// since returns the update for a subscriber at revision have: a delta if the
// history reaches back that far, a snapshot otherwise. It requires keepHistory.
func (s *Store) since(have uint64) update {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.View()
	if have >= view.Revision() {
		return update{revision: view.Revision()}
	}
	if changes, ok := s.history.Since(have); ok && have > 0 {
		return update{revision: view.Revision(), changes: changes}
	}
	return update{revision: view.Revision(), snapshot: true, changes: view.Entries()}
}
