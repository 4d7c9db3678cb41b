// Package admintest provides an in-memory admin.Backend for tests of the
// operators' API, its client and the command-line tool. It implements operation
// ids, base revisions and validation as the interface demands, and can inject
// failures.
package admintest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/inventory"
)

// Backend is a single-server backend. It is safe for concurrent use.
type Backend struct {
	mu        sync.Mutex
	revision  uint64
	values    map[string][]byte
	revisions map[string]uint64
	results   map[string]inventory.ChangeResult
	audit     []inventory.AuditRecord
	servers   []admin.Server
	status    admin.Status
	failures  []Failure
	now       time.Time
}

// Failure is the injected failure of one call.
type Failure struct {
	Err error
	// After is true when the call takes effect before it fails.
	After bool
}

// New returns a backend with the inventory at revision 1.
func New(inv inventory.Inventory) *Backend {
	b := &Backend{
		revision:  1,
		values:    inv.Records(),
		revisions: map[string]uint64{},
		results:   map[string]inventory.ChangeResult{},
		servers:   []admin.Server{{Name: "control-1", Addr: "10.0.0.1:7100", Leader: true}},
		status:    admin.Status{Server: "control-1", Leader: "control-1", Quorum: true},
		now:       time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
	}
	for key := range b.values {
		b.revisions[key] = 1
	}
	return b
}

// Fail makes the next calls of Apply, Get and Status fail, one call per failure.
func (b *Backend) Fail(failures ...Failure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = append(b.failures, failures...)
}

// SetStatus sets the result of Status, except for its revision.
func (b *Backend) SetStatus(status admin.Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status = status
}

// Put sets a key without a change request, like the derived keys of a control
// server.
func (b *Backend) Put(key, value string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision++
	b.values[key] = []byte(value)
	b.revisions[key] = b.revision
}

// AuditTrail returns all audit records.
func (b *Backend) AuditTrail() []inventory.AuditRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.audit)
}

// nextFailure removes and returns the failure of this call, if there is one.
func (b *Backend) nextFailure() Failure {
	if len(b.failures) == 0 {
		return Failure{}
	}
	failure := b.failures[0]
	b.failures = b.failures[1:]
	return failure
}

// Apply implements admin.Backend.
func (b *Backend) Apply(ctx context.Context, req inventory.ChangeRequest) (inventory.ChangeResult, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	failure := b.nextFailure()
	if failure.Err != nil && !failure.After {
		return inventory.ChangeResult{}, failure.Err
	}
	result := b.apply(req)
	return result, failure.Err
}

func (b *Backend) apply(req inventory.ChangeRequest) inventory.ChangeResult {
	if first, done := b.results[req.OperationID]; done {
		first.Repeated = true
		return first
	}
	for key, revision := range b.revisions {
		if inventory.IsDeclared(key) && revision > req.BaseRevision {
			return inventory.ChangeResult{Verdict: inventory.VerdictConflict, Revision: b.revision}
		}
	}
	if problems := inventory.ValidateChange(b.values, req.Changes); len(problems) > 0 {
		return inventory.ChangeResult{Verdict: inventory.VerdictInvalid, Revision: b.revision, Problems: problems}
	}
	b.revision++
	b.values = inventory.ApplyChanges(b.values, req.Changes)
	for _, change := range req.Changes {
		b.revisions[change.Key] = b.revision
	}
	b.audit = append(b.audit, inventory.AuditRecord{
		Revision: b.revision, Time: b.now, Operator: req.Operator, OperationID: req.OperationID, Changes: req.Changes,
	})
	result := inventory.ChangeResult{Verdict: inventory.VerdictAccepted, Revision: b.revision}
	b.results[req.OperationID] = result
	return result
}

// Get implements admin.Backend.
func (b *Backend) Get(ctx context.Context, prefix string) (admin.Snapshot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if failure := b.nextFailure(); failure.Err != nil {
		return admin.Snapshot{}, failure.Err
	}
	snapshot := admin.Snapshot{Revision: b.revision}
	for key, value := range b.values {
		if strings.HasPrefix(key, prefix) {
			snapshot.Keys = append(snapshot.Keys, admin.KeyValue{Key: key, Value: value, Revision: b.revisions[key]})
		}
	}
	slices.SortFunc(snapshot.Keys, func(x, y admin.KeyValue) int { return strings.Compare(x.Key, y.Key) })
	return snapshot, nil
}

// Status implements admin.Backend.
func (b *Backend) Status(context.Context) (admin.Status, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if failure := b.nextFailure(); failure.Err != nil {
		return admin.Status{}, failure.Err
	}
	status := b.status
	status.Revision = b.revision
	return status, nil
}

// Audit implements admin.Backend.
func (b *Backend) Audit(_ context.Context, query admin.AuditQuery) ([]inventory.AuditRecord, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var records []inventory.AuditRecord
	for _, record := range b.audit {
		if record.Revision > query.Since && len(records) < query.Limit && query.Selects(record) {
			records = append(records, record)
		}
	}
	return records, nil
}

// Members implements admin.Backend.
func (b *Backend) Members(context.Context) ([]admin.Server, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.servers), nil
}

// AddServer implements admin.Backend.
func (b *Backend) AddServer(_ context.Context, name, addr string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers = append(b.servers, admin.Server{Name: name, Addr: addr, Learner: true})
	return nil
}

// RemoveServer implements admin.Backend.
func (b *Backend) RemoveServer(_ context.Context, name string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.servers) == 1 && b.servers[0].Name == name {
		return admin.ErrInvalid
	}
	b.servers = slices.DeleteFunc(b.servers, func(s admin.Server) bool { return s.Name == name })
	return nil
}
