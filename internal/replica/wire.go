package replica

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/consensus"
	"lynxgate.dev/lynxgate/internal/raftlog"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const (
	// snapshotChunkBytes is the size of the chunks in which a snapshot is sent.
	snapshotChunkBytes = 256 << 10
	// maxSnapshotBytes limits the size of a snapshot that a receiver assembles.
	maxSnapshotBytes = 1 << 30
)

var errSnapshotTooLarge = errors.New("snapshot is too large")

// encodeMessage returns the encoded form of a message: several chunks for a
// snapshot larger than snapshotChunkBytes, otherwise one.
func encodeMessage(m consensus.Message) ([]*rpc.RaftMessage, error) {
	out := &rpc.RaftMessage{
		Kind: uint32(m.Kind), From: raftlog.ServerIDToProto(m.From), To: raftlog.ServerIDToProto(m.To),
		Term: m.Term, LogTerm: m.LogTerm, Index: m.Index, Commit: m.Commit,
		Reject: m.Reject, RejectHint: m.RejectHint, Context: m.Context,
		Entries: raftlog.EntriesToProto(m.Entries), Addr: m.Addr,
	}
	if m.Snapshot == nil {
		return []*rpc.RaftMessage{out}, nil
	}
	data, err := proto.Marshal(raftlog.SnapshotToProto(*m.Snapshot))
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	var chunks []*rpc.RaftMessage
	for len(data) > snapshotChunkBytes {
		chunks = append(chunks, &rpc.RaftMessage{
			Kind: out.Kind, From: out.From, To: out.To, Snapshot: data[:snapshotChunkBytes], SnapshotMore: true,
		})
		data = data[snapshotChunkBytes:]
	}
	out.Snapshot = data
	return append(chunks, out), nil
}

// decoder assembles the messages of one stream from their chunks.
type decoder struct {
	snapshot []byte
}

// decode returns the next complete message, or false if it has more chunks.
func (d *decoder) decode(in *rpc.RaftMessage) (consensus.Message, bool, error) {
	if len(d.snapshot)+len(in.GetSnapshot()) > maxSnapshotBytes {
		return consensus.Message{}, false, errSnapshotTooLarge
	}
	if in.GetSnapshotMore() {
		d.snapshot = append(d.snapshot, in.GetSnapshot()...)
		return consensus.Message{}, false, nil
	}
	m := consensus.Message{
		Kind: consensus.Kind(in.GetKind()),
		From: raftlog.ServerIDFromProto(in.GetFrom()), To: raftlog.ServerIDFromProto(in.GetTo()),
		Term: in.GetTerm(), LogTerm: in.GetLogTerm(), Index: in.GetIndex(), Commit: in.GetCommit(),
		Reject: in.GetReject(), RejectHint: in.GetRejectHint(), Context: in.GetContext(),
		Entries: raftlog.EntriesFromProto(in.GetEntries()), Addr: in.GetAddr(),
	}
	if m.Kind != consensus.KindInstallSnapshot && m.Kind != consensus.KindFound {
		return m, true, validate(m)
	}
	data := append(d.snapshot, in.GetSnapshot()...)
	d.snapshot = nil
	var snapshot rpc.RaftSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return consensus.Message{}, false, fmt.Errorf("decode snapshot: %w", err)
	}
	s := raftlog.SnapshotFromProto(&snapshot)
	m.Snapshot = &s
	return m, true, validate(m)
}

// validate rejects messages that no correct server sends and that the core does
// not check for.
func validate(m consensus.Message) error {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term > m.Term {
			return fmt.Errorf("entry %d of a message does not follow its index", e.Index)
		}
		if e.Kind != consensus.EntryMembership {
			continue
		}
		if err := proto.Unmarshal(e.Data, &rpc.RaftMembership{}); err != nil {
			return fmt.Errorf("decode membership entry: %w", err)
		}
	}
	if m.Snapshot != nil && m.Snapshot.Index < consensus.FoundingIndex {
		return fmt.Errorf("snapshot with index %d", m.Snapshot.Index)
	}
	return nil
}
