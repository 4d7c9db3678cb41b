package state

import (
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
)

// operation is a decided request with its result.
type operation struct {
	Operator string                 `json:"operator"`
	ID       string                 `json:"id"`
	Digest   string                 `json:"digest"`
	Result   inventory.ChangeResult `json:"result"`
	Time     time.Time              `json:"time"`
}

// operationKey identifies a request. Operators choose ids independently, so equal
// ids of two operators are different requests.
type operationKey struct{ operator, id string }

// operations keeps decided requests, oldest decision first.
type operations struct {
	byKey map[operationKey]operation
	order []operationKey
}

func newOperations() operations {
	return operations{byKey: make(map[operationKey]operation)}
}

func (o *operations) get(operator, id string) (operation, bool) {
	done, ok := o.byKey[operationKey{operator, id}]
	return done, ok
}

func (o *operations) put(op operation) {
	key := operationKey{op.Operator, op.ID}
	o.byKey[key] = op
	o.order = append(o.order, key)
}

// prune drops operations past the window or above the limit. A repeat of an
// accepted request whose result was dropped conflicts with the change that the
// request itself made, so it is never applied twice.
func (o *operations) prune(limits Limits, now time.Time) {
	oldest := now.Add(-limits.OperationWindow)
	for len(o.order) > 0 {
		first := o.byKey[o.order[0]]
		if len(o.order) <= limits.Operations && !first.Time.Before(oldest) {
			return
		}
		delete(o.byKey, o.order[0])
		o.order = o.order[1:]
	}
}

// tombstone is a deleted declared key and the revision that deleted it.
type tombstone struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// tombstones keeps the revisions at which declared keys were deleted, so that a
// request based on an earlier revision is a conflict. floor is the highest
// revision of a dropped tombstone: an absent key may have been deleted at floor or
// before.
type tombstones struct {
	byKey map[string]uint64
	order []tombstone
	floor uint64
}

func newTombstones() tombstones {
	return tombstones{byKey: make(map[string]uint64)}
}

func (t *tombstones) lastDeleted(key string) uint64 {
	if revision, ok := t.byKey[key]; ok {
		return revision
	}
	return t.floor
}

func (t *tombstones) record(changes []*keyspace.Entry, limit int) {
	for _, e := range changes {
		if e.Deleted {
			t.byKey[e.Key] = e.Revision
			t.order = append(t.order, tombstone{Key: e.Key, Revision: e.Revision})
		}
	}
	for len(t.order) > limit {
		t.dropOldest()
	}
}

func (t *tombstones) dropOldest() {
	first := t.order[0]
	t.order = t.order[1:]
	if t.byKey[first.Key] != first.Revision {
		return // deleted again since
	}
	delete(t.byKey, first.Key)
	t.floor = max(t.floor, first.Revision)
}

// auditTrail keeps audit records, oldest first. Records are only appended and
// dropped from the front, so a published slice never changes.
type auditTrail struct {
	records []inventory.AuditRecord
	bytes   int
}

func (a *auditTrail) append(r inventory.AuditRecord) {
	a.records = append(a.records, r)
	a.bytes += auditSize(r)
}

func (a *auditTrail) prune(limits Limits, now time.Time) {
	oldest := now.Add(-limits.AuditWindow)
	for len(a.records) > 0 {
		full := len(a.records) > limits.AuditRecords || a.bytes > limits.AuditBytes
		if !full && !a.records[0].Time.Before(oldest) {
			return
		}
		a.bytes -= auditSize(a.records[0])
		a.records = a.records[1:]
	}
}

func auditSize(r inventory.AuditRecord) int {
	n := len(r.Operator) + len(r.OperationID)
	for _, c := range r.Changes {
		n += len(c.Key) + len(c.Value)
	}
	return n
}
