package raftlog

import (
	"lynxgate.dev/lynxgate/internal/consensus"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// EntriesToProto returns the encoded form of entries, as used on disk and
// between servers.
func EntriesToProto(entries []consensus.Entry) []*rpc.RaftEntry {
	out := make([]*rpc.RaftEntry, len(entries))
	for i, e := range entries {
		out[i] = &rpc.RaftEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	}
	return out
}

// EntriesFromProto is the inverse of EntriesToProto.
func EntriesFromProto(in []*rpc.RaftEntry) []consensus.Entry {
	var out []consensus.Entry
	for _, e := range in {
		out = append(out, consensus.Entry{
			Index: e.GetIndex(), Term: e.GetTerm(), Kind: consensus.EntryKind(e.GetKind()), Data: e.GetData(),
		})
	}
	return out
}

// SnapshotToProto returns the encoded form of a snapshot.
func SnapshotToProto(s consensus.Snapshot) *rpc.RaftSnapshot {
	return &rpc.RaftSnapshot{Index: s.Index, Term: s.Term, Membership: s.Membership.ToProto(), Data: s.Data}
}

// SnapshotFromProto is the inverse of SnapshotToProto.
func SnapshotFromProto(in *rpc.RaftSnapshot) consensus.Snapshot {
	return consensus.Snapshot{
		Index: in.GetIndex(), Term: in.GetTerm(),
		Membership: consensus.MembershipFromProto(in.GetMembership()), Data: in.GetData(),
	}
}

// ServerIDToProto returns the encoded form of a server ID.
func ServerIDToProto(id consensus.ServerID) *rpc.RaftServerID {
	return &rpc.RaftServerID{Name: id.Name, Incarnation: id.Incarnation}
}

// ServerIDFromProto is the inverse of ServerIDToProto.
func ServerIDFromProto(in *rpc.RaftServerID) consensus.ServerID {
	return consensus.ServerID{Name: in.GetName(), Incarnation: in.GetIncarnation()}
}
