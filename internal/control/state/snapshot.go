package state

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/claims"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// snapshotVersion is the first byte of every snapshot.
const snapshotVersion = 1

// maxSectionBytes bounds the body of one section in bytes, so that a damaged length
// can't cause an unbounded allocation.
const maxSectionBytes = 64 << 20

// section is the type of one record of a snapshot. A snapshot is a sequence
// of sections, each a type byte, a length and a body, that can be written and
// read as a stream.
type section uint8

const (
	sectionHeader section = iota + 1
	sectionEntry
	sectionOperation
	sectionTombstone
	sectionLeft
	sectionAudit
	sectionClaims
	sectionEnd
)

// errSnapshot is wrapped by every error of Restore.
var errSnapshot = errors.New("control state: damaged snapshot")

type headerRecord struct {
	Revision       uint64    `json:"revision"`
	Now            time.Time `json:"now"`
	TombstoneFloor uint64    `json:"tombstone_floor"`
}

type leftRecord struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// Snapshot encodes the state. Equal states have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	var buf bytes.Buffer
	w := &sectionWriter{out: &buf}
	buf.WriteByte(snapshotVersion)
	m.writeSections(w)
	if w.err != nil {
		return nil, fmt.Errorf("control state: write snapshot: %w", w.err)
	}
	return buf.Bytes(), nil
}

func (m *Machine) writeSections(w *sectionWriter) {
	w.json(sectionHeader, headerRecord{
		Revision:       m.view.Revision(),
		Now:            m.now,
		TombstoneFloor: m.tombstones.floor,
	})
	for _, e := range m.view.Entries() {
		w.proto(sectionEntry, &rpc.KeyValue{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	for _, key := range m.operations.order {
		w.json(sectionOperation, m.operations.byKey[key])
	}
	for _, t := range m.tombstones.order {
		w.json(sectionTombstone, t)
	}
	for _, vm := range sortedKeys(m.left) {
		w.json(sectionLeft, leftRecord{VM: vm, Incarnation: m.left[vm]})
	}
	for _, r := range m.audit.records {
		w.json(sectionAudit, r)
	}
	w.raw(sectionClaims, m.claims.Snapshot())
	w.raw(sectionEnd, nil)
}

// Restore replaces the state by that of a snapshot. A damaged snapshot leaves the
// state unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	fresh := New(m.publisher)
	if err := fresh.readSections(snapshot); err != nil {
		return err
	}
	m.view = fresh.view
	m.now = fresh.now
	m.operations = fresh.operations
	m.tombstones = fresh.tombstones
	m.left = fresh.left
	m.audit = fresh.audit
	m.claims = fresh.claims
	m.holdsClaims.Store(true)
	m.publishAudit()
	m.publisher.Replace(m.view)
	return nil
}

func (m *Machine) readSections(snapshot []byte) error {
	in := bufio.NewReader(bytes.NewReader(snapshot))
	version, err := in.ReadByte()
	if err != nil || version != snapshotVersion {
		return fmt.Errorf("%w: unsupported version %d", errSnapshot, version)
	}
	var header headerRecord
	var entries []*keyspace.Entry
	for {
		s, body, err := readSection(in)
		if err != nil {
			return err
		}
		switch s {
		case sectionEnd:
			m.view = keyspace.NewView(header.Revision, entries)
			m.now = header.Now
			m.tombstones.floor = header.TombstoneFloor
			return nil
		case sectionHeader:
			err = json.Unmarshal(body, &header)
		case sectionEntry:
			entries, err = readEntry(entries, body)
		default:
			err = m.readRecord(s, body)
		}
		if err != nil {
			return fmt.Errorf("%w: section %d: %w", errSnapshot, s, err)
		}
	}
}

func readEntry(entries []*keyspace.Entry, body []byte) ([]*keyspace.Entry, error) {
	var kv rpc.KeyValue
	if err := proto.Unmarshal(body, &kv); err != nil {
		return nil, err
	}
	return append(entries, &keyspace.Entry{Key: kv.Key, Value: kv.Value, Revision: kv.Revision}), nil
}

// readRecord reads a section other than the header, the entries and the end.
func (m *Machine) readRecord(s section, body []byte) error {
	switch s {
	case sectionOperation:
		var op operation
		if err := json.Unmarshal(body, &op); err != nil {
			return err
		}
		m.operations.put(op)
	case sectionTombstone:
		var t tombstone
		if err := json.Unmarshal(body, &t); err != nil {
			return err
		}
		m.tombstones.byKey[t.Key] = t.Revision
		m.tombstones.order = append(m.tombstones.order, t)
	case sectionLeft:
		var l leftRecord
		if err := json.Unmarshal(body, &l); err != nil {
			return err
		}
		m.left[l.VM] = l.Incarnation
	case sectionAudit:
		var r inventory.AuditRecord
		if err := json.Unmarshal(body, &r); err != nil {
			return err
		}
		m.audit.append(r)
	case sectionClaims:
		table, err := claims.Restore(body)
		if err != nil {
			return err
		}
		m.claims = table
	default:
		return errors.New("unknown section type")
	}
	return nil
}

func readSection(in *bufio.Reader) (section, []byte, error) {
	s, err := in.ReadByte()
	if err != nil {
		return 0, nil, fmt.Errorf("%w: truncated", errSnapshot)
	}
	length, err := binary.ReadUvarint(in)
	if err != nil || length > maxSectionBytes {
		return 0, nil, fmt.Errorf("%w: invalid length of section %d", errSnapshot, s)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(in, body); err != nil {
		return 0, nil, fmt.Errorf("%w: section %d is truncated", errSnapshot, s)
	}
	return section(s), body, nil
}

// sectionWriter writes sections and keeps the first error.
type sectionWriter struct {
	out io.Writer
	err error
}

func (w *sectionWriter) json(s section, record any) {
	body, err := json.Marshal(record)
	if err != nil {
		w.fail(err)
		return
	}
	w.raw(s, body)
}

func (w *sectionWriter) proto(s section, record proto.Message) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		w.fail(err)
		return
	}
	w.raw(s, body)
}

func (w *sectionWriter) raw(s section, body []byte) {
	if w.err != nil {
		return
	}
	head := binary.AppendUvarint([]byte{byte(s)}, uint64(len(body)))
	if _, err := w.out.Write(head); err != nil {
		w.fail(err)
		return
	}
	if _, err := w.out.Write(body); err != nil {
		w.fail(err)
	}
}

func (w *sectionWriter) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
