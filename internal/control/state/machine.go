package state

import (
	"fmt"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/claims"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
)

// Publisher receives every new revision, on the applying goroutine.
type Publisher interface {
	// Advance publishes a view and the changes that led to it from the one before.
	Advance(view *keyspace.View, changes []*keyspace.Entry)
	// Replace publishes a view that does not follow from the one before.
	Replace(view *keyspace.View)
}

// Limits bound what the machine remembers of changes. The leader writes them
// into the log with every change, so that servers with different settings
// files cannot diverge.
type Limits struct {
	// OperationWindow is how long the result of an operation id is kept.
	OperationWindow time.Duration `json:"operation_window"`
	// Operations is the most results kept.
	Operations int `json:"operations"`
	// AuditWindow is how long audit records are kept.
	AuditWindow time.Duration `json:"audit_window"`
	// AuditRecords is the most audit records kept.
	AuditRecords int `json:"audit_records"`
	// AuditBytes is the most bytes of changed values kept in audit records.
	AuditBytes int `json:"audit_bytes"`
	// Tombstones is the most deleted declared keys remembered.
	Tombstones int `json:"tombstones"`
}

// DefaultLimits fit 520 changes a day: the results of operations are kept for
// two days and the audit trail for 30 days.
var DefaultLimits = Limits{
	OperationWindow: 48 * time.Hour,
	Operations:      4096,
	AuditWindow:     30 * 24 * time.Hour,
	AuditRecords:    20_000,
	AuditBytes:      8 << 20,
	Tombstones:      4096,
}

// Machine is the replicated state machine. Apply, Snapshot and Restore are
// for one goroutine; Audit may be called from any.
type Machine struct {
	publisher Publisher

	view       *keyspace.View
	now        time.Time
	operations operations
	tombstones tombstones
	// left holds the incarnations that announced their leaving, by VM.
	left      map[string]uint64
	audit     auditTrail
	claims    *claims.Table
	published atomic.Pointer[[]inventory.AuditRecord]
	// holdsClaims is true while the table of claims may not be empty.
	holdsClaims atomic.Bool
}

// New makes an empty machine at revision 0.
func New(publisher Publisher) *Machine {
	m := &Machine{publisher: publisher}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.view = keyspace.NewView(0, nil)
	m.now = time.Time{}
	m.operations = newOperations()
	m.tombstones = newTombstones()
	m.left = make(map[string]uint64)
	m.audit = auditTrail{}
	m.claims = claims.NewTable()
	m.publishAudit()
}

// Apply carries out one log entry and returns the result of its command. An
// entry that can't be decoded is a broken invariant: going on would let this
// server's state differ from the others'.
func (m *Machine) Apply(index uint64, data []byte) any {
	c, err := Decode(data)
	if err != nil {
		panic(fmt.Sprintf("control state: log entry %d: %v", index, err))
	}
	switch c := c.(type) {
	case Change:
		m.advanceTime(c.Time)
		return m.applyChange(c)
	case Announce:
		m.advanceTime(c.Time)
		return m.applyAnnounce(c.Members)
	case Down:
		m.advanceTime(c.Time)
		m.applyDown(c.Members)
		return nil
	case Assign:
		m.advanceTime(c.Time)
		return m.applyAssign(c)
	case Claim:
		m.holdsClaims.Store(true)
		return m.claims.Claim(c.Claim)
	case Settle:
		return m.claims.Settle(c.Settle)
	case Expire:
		m.claims.Expire(c.Now)
		m.holdsClaims.Store(m.claims.Stats().Claims > 0)
		return nil
	default:
		panic(fmt.Sprintf("control state: log entry %d: no step for %T", index, c))
	}
}

// Audit returns the audit records kept, oldest first; not to be changed.
func (m *Machine) Audit() []inventory.AuditRecord { return *m.published.Load() }

// HoldsClaims reports whether there may be claims to expire.
func (m *Machine) HoldsClaims() bool { return m.holdsClaims.Load() }

// advanceTime moves the machine's time forward; a leader whose clock is behind
// its predecessor's does not move it back.
func (m *Machine) advanceTime(t time.Time) {
	if t.After(m.now) {
		m.now = t
	}
}

// commit makes one revision out of the changes.
func (m *Machine) commit(changes []*keyspace.Entry) uint64 {
	revision := m.view.Revision() + 1
	for _, e := range changes {
		e.Revision = revision
	}
	m.view = m.view.Apply(revision, changes)
	m.publisher.Advance(m.view, changes)
	return revision
}

func (m *Machine) publishAudit() {
	records := m.audit.records
	m.published.Store(&records)
}
