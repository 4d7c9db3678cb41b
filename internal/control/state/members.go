package state

import (
	"bytes"
	"encoding/json"
	"fmt"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
)

// applyAnnounce stores the records that the announcements change, in one
// revision.
func (m *Machine) applyAnnounce(members []inventory.Member) AnnounceResult {
	result := AnnounceResult{Members: make([]MemberResult, len(members))}
	var changes pending
	for i, member := range members {
		result.Members[i] = m.announceOne(member, &changes)
	}
	if len(changes.entries) > 0 {
		m.commit(changes.entries)
	}
	return result
}

// announceOne adds the changes of one announcement. An older incarnation never
// replaces a newer one, and an incarnation that has announced that it is leaving
// stays so.
func (m *Machine) announceOne(member inventory.Member, changes *pending) MemberResult {
	known, ok := m.member(member.VM, changes)
	if ok && member.Incarnation < known.Incarnation {
		return MemberResult{Superseded: true, Incarnation: known.Incarnation}
	}
	if member.State == inventory.MemberLeaving {
		m.left[member.VM] = member.Incarnation
	}
	if member.Incarnation <= m.left[member.VM] {
		member.State = inventory.MemberLeaving
	}
	if !ok || member != known {
		changes.put(inventory.PrefixMember+member.VM, member)
		m.updateAssignmentAddr(member, changes)
	}
	return MemberResult{Incarnation: member.Incarnation}
}

// updateAssignmentAddr copies the member's address and zone to its VM's assignment. The
// fence stays the same, since the wanted versions do.
func (m *Machine) updateAssignmentAddr(member inventory.Member, changes *pending) {
	a, ok := lookup[inventory.Assignment](m, inventory.PrefixAssign+member.VM, changes)
	if !ok || (a.Addr == member.Addr && a.Zone == member.Zone) {
		return
	}
	a.Addr = member.Addr
	a.Zone = member.Zone
	changes.put(inventory.PrefixAssign+member.VM, a)
}

// applyDown marks expired members down, or removes their records if Forget is
// set. Members with another incarnation by now are left unchanged.
func (m *Machine) applyDown(expired []Expired) {
	var changes pending
	for _, e := range expired {
		m.downOne(e, &changes)
	}
	if len(changes.entries) > 0 {
		m.commit(changes.entries)
	}
}

func (m *Machine) downOne(e Expired, changes *pending) {
	known, ok := m.member(e.VM, changes)
	if !ok || known.Incarnation != e.Incarnation {
		return
	}
	if !e.Forget {
		if known.State != inventory.MemberDown {
			known.State = inventory.MemberDown
			changes.put(inventory.PrefixMember+e.VM, known)
		}
		return
	}
	if known.State != inventory.MemberDown {
		return // announced again in the meantime
	}
	delete(m.left, e.VM)
	changes.remove(inventory.PrefixMember + e.VM)
	if m.view.Get(inventory.PrefixAssign+e.VM) != nil {
		changes.remove(inventory.PrefixAssign + e.VM)
	}
}

// applyAssign stores the plan's assignments. The fencing token of a changed
// assignment is the revision that changes it: revisions only rise, so no token is
// used twice, even if a VM's assignment is removed and stored again.
func (m *Machine) applyAssign(c Assign) AssignResult {
	if c.Base != m.view.Revision() {
		return AssignResult{Stale: true, Revision: m.view.Revision()}
	}
	fence := m.view.Revision() + 1
	var changes pending
	for _, vm := range sortedKeys(c.Wants) {
		m.assignOne(vm, c.Wants[vm], fence, &changes)
	}
	if len(changes.entries) > 0 {
		m.commit(changes.entries)
	}
	return AssignResult{Revision: m.view.Revision()}
}

func (m *Machine) assignOne(vm string, wants []inventory.Want, fence uint64, changes *pending) {
	key := inventory.PrefixAssign + vm
	member, ok := m.member(vm, changes)
	if !ok {
		return // no agent to carry it out
	}
	known, ok := lookup[inventory.Assignment](m, key, changes)
	if ok && equalWants(known.Wants, wants) {
		return
	}
	if !ok && len(wants) == 0 {
		return
	}
	changes.put(key, inventory.Assignment{
		VM:    vm,
		Zone:  member.Zone,
		Addr:  member.Addr,
		Fence: fence,
		First: !ok,
		Wants: wants,
	})
}

func equalWants(a, b []inventory.Want) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (m *Machine) member(vm string, changes *pending) (inventory.Member, bool) {
	return lookup[inventory.Member](m, inventory.PrefixMember+vm, changes)
}

// lookup decodes a derived record, with the pending changes applied.
func lookup[R any](m *Machine, key string, changes *pending) (R, bool) {
	var record R
	e := changes.get(key)
	if e == nil {
		e = m.view.Get(key)
	}
	if e == nil || e.Deleted {
		return record, false
	}
	if err := json.Unmarshal(e.Value, &record); err != nil {
		panic(fmt.Sprintf("control state: derived record %s: %v", key, err))
	}
	return record, true
}

// pending collects the changes of one command and keeps the last one of each key.
type pending struct {
	entries []*keyspace.Entry
	byKey   map[string]*keyspace.Entry
}

func (p *pending) get(key string) *keyspace.Entry { return p.byKey[key] }

func (p *pending) put(key string, record any) {
	value, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("control state: encode %s: %v", key, err))
	}
	p.set(keyspace.Entry{Key: key, Value: bytes.Clone(value)})
}

func (p *pending) remove(key string) { p.set(keyspace.Entry{Key: key, Deleted: true}) }

func (p *pending) set(e keyspace.Entry) {
	if known := p.byKey[e.Key]; known != nil {
		*known = e
		return
	}
	if p.byKey == nil {
		p.byKey = make(map[string]*keyspace.Entry)
	}
	p.byKey[e.Key] = &e
	p.entries = append(p.entries, &e)
}
