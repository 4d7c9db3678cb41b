package claims

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

// snapshotVersion is the first byte of every snapshot.
const snapshotVersion = 2

// errCorrupt is wrapped by every error of Restore.
var errCorrupt = errors.New("claims: corrupt snapshot")

// Snapshot encodes the table. Equal tables have equal snapshots.
func (t *Table) Snapshot() []byte {
	ids := make([]digest, 0, len(t.records))
	for id := range t.records {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b digest) int { return bytes.Compare(a[:], b[:]) })

	buf := make([]byte, 0, 96*len(ids)+t.answerBytes+32)
	buf = append(buf, snapshotVersion)
	buf = binary.AppendVarint(buf, int64(t.now))
	buf = binary.AppendVarint(buf, int64(t.lastEvent))
	buf = binary.AppendUvarint(buf, t.lastToken)
	buf = binary.AppendUvarint(buf, uint64(len(ids)))
	for _, id := range ids {
		buf = t.appendRecord(buf, id, t.records[id])
	}
	return buf
}

func (t *Table) appendRecord(buf []byte, id digest, rec record) []byte {
	buf = append(buf, id[:]...)
	buf = append(buf, rec.attempt[:]...)
	buf = append(buf, rec.body[:]...)
	buf = append(buf, byte(rec.state))
	buf = binary.AppendUvarint(buf, rec.token)
	buf = binary.AppendVarint(buf, int64(rec.due))
	buf = binary.AppendVarint(buf, int64(rec.window))
	buf = appendBytes(buf, []byte(t.orgs.names[rec.org]))
	if rec.answer == nil {
		return append(buf, 0)
	}
	buf = append(buf, 1)
	buf = binary.AppendUvarint(buf, uint64(rec.answer.Status))
	buf = appendBytes(buf, []byte(rec.answer.ContentType))
	return appendBytes(buf, rec.answer.Body)
}

func appendBytes(buf, b []byte) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(b)))
	return append(buf, b...)
}

// Restore decodes a table. The snapshot's bytes are not kept.
func Restore(snapshot []byte) (*Table, error) {
	r := reader{rest: snapshot}
	if v := r.byte(); v != snapshotVersion {
		return nil, fmt.Errorf("%w: version %d", errCorrupt, v)
	}
	t := NewTable()
	t.now = Millis(r.varint())
	t.lastEvent = Millis(r.varint())
	t.lastToken = r.uvarint()
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		r.record(t)
	}
	if r.failed || len(r.rest) > 0 {
		return nil, fmt.Errorf("%w: wrong length", errCorrupt)
	}
	return t, nil
}

// reader decodes a snapshot; after a failure it returns zero values.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) record(t *Table) {
	var id digest
	var rec record
	copy(id[:], r.take(len(id)))
	copy(rec.attempt[:], r.take(len(rec.attempt)))
	copy(rec.body[:], r.take(len(rec.body)))
	rec.state = state(r.byte())
	rec.token = r.uvarint()
	rec.due = Millis(r.varint())
	rec.window = time.Duration(r.varint())
	org := string(r.bytes())
	if r.byte() == 1 {
		rec.answer = &Answer{Status: uint32(r.uvarint()), ContentType: string(r.bytes())}
		rec.answer.Body = bytes.Clone(r.bytes())
	}
	_, duplicate := t.records[id]
	if r.failed || duplicate || rec.state > stateReleased {
		r.failed = true
		return
	}
	rec.org = t.orgs.id(org)
	t.orgs.add(rec.org)
	if rec.answer != nil {
		t.answerBytes += rec.answer.size()
	}
	t.put(id, rec)
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.rest) {
		r.failed = true
		r.rest = nil
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) byte() byte {
	b := r.take(1)
	if b == nil {
		return 0
	}
	return b[0]
}

func (r *reader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.failed = true
		return nil
	}
	return r.take(int(n))
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.rest)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}
