// Package faults holds the fault settings of a fake: a value that tests read
// and replace over HTTP while the fake runs.
package faults

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
)

// maxBody bounds the JSON of a fault setting, in bytes.
const maxBody = 64 << 10

// Box holds the current fault settings of type T.
type Box[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{} // closed and replaced on every Set
}

// NewBox returns a box that holds the value.
func NewBox[T any](value T) *Box[T] {
	return &Box[T]{value: value, changed: make(chan struct{})}
}

// Get returns the current settings.
func (b *Box[T]) Get() T {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.value
}

// Set replaces the settings and wakes everybody who waits for a change.
func (b *Box[T]) Set(value T) {
	b.Update(func(current *T) { *current = value })
}

// Update changes the settings in one step.
func (b *Box[T]) Update(change func(*T)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.value)
	close(b.changed)
	b.changed = make(chan struct{})
}

// Wait blocks until the settings satisfy the condition or the context ends.
func (b *Box[T]) Wait(ctx context.Context, condition func(T) bool) error {
	for {
		b.mu.Lock()
		value, changed := b.value, b.changed
		b.mu.Unlock()
		if condition(value) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ServeHTTP answers GET with the settings as JSON. POST replaces them:
// fields that the body leaves out are cleared.
func (b *Box[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var value T
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.Set(value)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b.Get())
}

// SayLeaving says that a fake leaves, if it is to.
func SayLeaving(h http.Header, leaving bool) {
	if leaving {
		h.Set("Server-Leaving", "1")
	}
}

// NameLimit names the requests a second that a fake takes, if it is to.
func NameLimit(h http.Header, limit string) {
	if limit != "" {
		h.Set("Server-Limit", limit)
	}
}
