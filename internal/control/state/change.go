package state

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
)

// applyChange decides on an operator's request and records the result under its
// operation id. A repeated request gets the recorded result.
func (m *Machine) applyChange(c Change) inventory.ChangeResult {
	req := c.Request
	digest := requestDigest(req)
	if done, ok := m.operations.get(req.Operator, req.OperationID); ok {
		return m.repeat(done, digest)
	}
	result := m.decideChange(req, c.Limits)
	m.operations.put(operation{
		Operator: req.Operator,
		ID:       req.OperationID,
		Digest:   digest,
		Result:   result,
		Time:     m.now,
	})
	m.operations.prune(c.Limits, m.now)
	return result
}

// repeat answers a request whose operation id was used before: with the recorded
// result for the same request, with a conflict for a different one.
func (m *Machine) repeat(done operation, digest string) inventory.ChangeResult {
	if done.Digest != digest {
		return inventory.ChangeResult{
			Verdict:  inventory.VerdictConflict,
			Revision: m.view.Revision(),
			Problems: []string{fmt.Sprintf("operation id %q stands for another change", done.ID)},
		}
	}
	result := done.Result
	result.Repeated = true
	return result
}

func (m *Machine) decideChange(req inventory.ChangeRequest, limits Limits) inventory.ChangeResult {
	if problems := checkRequest(req); len(problems) > 0 {
		return m.invalid(problems)
	}
	if problem := m.findConflict(req); problem != "" {
		return m.conflict(problem)
	}
	if problems := m.validate(req.Changes); len(problems) > 0 {
		return m.invalid(problems)
	}
	entries := make([]*keyspace.Entry, len(req.Changes))
	for i, c := range req.Changes {
		entries[i] = &keyspace.Entry{Key: c.Key, Value: c.Value, Deleted: c.Value == nil}
	}
	revision := m.commit(entries)
	m.tombstones.record(entries, limits.Tombstones)
	m.audit.append(inventory.AuditRecord{
		Revision:    revision,
		Time:        m.now,
		Operator:    req.Operator,
		OperationID: req.OperationID,
		Changes:     req.Changes,
	})
	m.audit.prune(limits, m.now)
	m.publishAudit()
	return inventory.ChangeResult{Verdict: inventory.VerdictAccepted, Revision: revision}
}

// findConflict returns why the request's base revision conflicts with the key
// space, or "".
func (m *Machine) findConflict(req inventory.ChangeRequest) string {
	if req.BaseRevision > m.view.Revision() {
		return fmt.Sprintf("base revision %d is above the one in force", req.BaseRevision)
	}
	for _, c := range req.Changes {
		if changed := m.lastChanged(c.Key); changed > req.BaseRevision {
			return fmt.Sprintf("%s changed after revision %d", c.Key, req.BaseRevision)
		}
	}
	return ""
}

// lastChanged returns the latest revision at which key may have changed.
func (m *Machine) lastChanged(key string) uint64 {
	if e := m.view.Get(key); e != nil {
		return e.Revision
	}
	return m.tombstones.lastDeleted(key)
}

func (m *Machine) invalid(problems []string) inventory.ChangeResult {
	return inventory.ChangeResult{
		Verdict:  inventory.VerdictInvalid,
		Revision: m.view.Revision(),
		Problems: problems,
	}
}

func (m *Machine) conflict(problem string) inventory.ChangeResult {
	return inventory.ChangeResult{
		Verdict:  inventory.VerdictConflict,
		Revision: m.view.Revision(),
		Problems: []string{problem},
	}
}

// checkRequest reports the required fields that a request lacks.
func checkRequest(req inventory.ChangeRequest) []string {
	var problems []string
	if req.OperationID == "" {
		problems = append(problems, "operation id is missing")
	}
	if req.Operator == "" {
		problems = append(problems, "operator is missing")
	}
	return problems
}

// requestDigest returns a digest of the base revision and the changes of a
// request.
func requestDigest(req inventory.ChangeRequest) string {
	h := sha256.New()
	var n [8]byte
	writeUint := func(v uint64) {
		binary.BigEndian.PutUint64(n[:], v)
		h.Write(n[:])
	}
	writeUint(req.BaseRevision)
	for _, c := range req.Changes {
		writeUint(uint64(len(c.Key)))
		h.Write([]byte(c.Key))
		if c.Value == nil {
			writeUint(^uint64(0))
			continue
		}
		writeUint(uint64(len(c.Value)))
		h.Write(c.Value)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}
