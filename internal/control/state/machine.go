package state

import (
	"fmt"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/claims"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
)

// Publisher receives every new revision. Its methods are called on the goroutine
// that applies the log.
type Publisher interface {
	// Advance publishes a view and the changes from the previous view to it.
	Advance(view *keyspace.View, changes []*keyspace.Entry)
	// Replace publishes a restored view, which need not follow from the previous
	// one.
	Replace(view *keyspace.View)
}

// Limits bound the history of changes that the machine keeps. The leader writes
// them into the log with every change, so that servers with different settings
// files cannot diverge.
type Limits struct {
	// OperationWindow is how long the result of an operation id is kept.
	OperationWindow time.Duration `json:"operation_window"`
	// Operations is the maximum number of results kept.
	Operations int `json:"operations"`
	// AuditWindow is how long audit records are kept.
	AuditWindow time.Duration `json:"audit_window"`
	// AuditRecords is the maximum number of audit records kept.
	AuditRecords int `json:"audit_records"`
	// AuditBytes is the maximum size of the audit records kept, in bytes.
	AuditBytes int `json:"audit_bytes"`
	// Tombstones is the maximum number of deleted declared keys kept.
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

// Machine is the replicated state machine. Apply, Snapshot and Restore must be
// called from one goroutine; Audit and HoldsClaims may be called from any.
type Machine struct {
	publisher Publisher

	view       *keyspace.View
	now        time.Time
	operations operations
	tombstones tombstones
	// left is the last incarnation that announced that it is leaving, by VM.
	left      map[string]uint64
	audit     auditTrail
	claims    *claims.Table
	published atomic.Pointer[[]inventory.AuditRecord]
	// holdsClaims is true if the claims table may have entries.
	holdsClaims atomic.Bool
}

// New returns an empty machine at revision 0.
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

// Apply applies one log entry and returns the result of its command. It panics
// if the entry can't be decoded: skipping it would let this server's state
// diverge from the others'.
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
		panic(fmt.Sprintf("control state: log entry %d: unhandled command %T", index, c))
	}
}

// Audit returns the audit records, oldest first. The caller must not modify them.
func (m *Machine) Audit() []inventory.AuditRecord { return *m.published.Load() }

// HoldsClaims reports whether there may be claims to expire.
func (m *Machine) HoldsClaims() bool { return m.holdsClaims.Load() }

// advanceTime sets the machine's time to t, unless t is earlier because the
// leader's clock is behind its predecessor's.
func (m *Machine) advanceTime(t time.Time) {
	if t.After(m.now) {
		m.now = t
	}
}

// commit applies the changes as one new revision and publishes it.
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
