package consensus

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Member is one server of the cluster.
type Member struct {
	ID   ServerID
	Addr string
	// Learner members receive the log but neither vote nor count in quorums.
	Learner bool
	// PromoteWhenReady learners become voters once they are caught up.
	PromoteWhenReady bool
}

// Membership is the list of members, sorted by name. It is immutable.
type Membership []Member

// Find returns the member with exactly this identity.
func (m Membership) Find(id ServerID) (Member, bool) {
	for _, member := range m {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// FindName returns the member with this name, whatever its incarnation.
func (m Membership) FindName(name string) (Member, bool) {
	for _, member := range m {
		if member.ID.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether exactly this identity is a voter.
func (m Membership) IsVoter(id ServerID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// Voters returns the identities of all voters.
func (m Membership) Voters() []ServerID {
	var ids []ServerID
	for _, member := range m {
		if !member.Learner {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// Quorum returns the size of a majority of the voters.
func (m Membership) Quorum() int { return len(m.Voters())/2 + 1 }

// with returns a copy in which member replaces the one of the same name.
func (m Membership) with(member Member) Membership {
	next := m.without(member.ID.Name)
	next = append(next, member)
	slices.SortFunc(next, func(a, b Member) int {
		if a.ID.Name < b.ID.Name {
			return -1
		}
		return 1
	})
	return next
}

// without returns a copy without the member of this name.
func (m Membership) without(name string) Membership {
	next := make(Membership, 0, len(m)+1)
	for _, member := range m {
		if member.ID.Name != name {
			next = append(next, member)
		}
	}
	return next
}

// votersChanged counts the identities that are a voter in only one of the two.
func votersChanged(from, to Membership) int {
	changed := 0
	for _, id := range from.Voters() {
		if !to.IsVoter(id) {
			changed++
		}
	}
	for _, id := range to.Voters() {
		if !from.IsVoter(id) {
			changed++
		}
	}
	return changed
}

// ToProto returns the wire form.
func (m Membership) ToProto() *rpc.RaftMembership {
	out := &rpc.RaftMembership{}
	for _, member := range m {
		out.Members = append(out.Members, &rpc.RaftMember{
			Id:               &rpc.RaftServerID{Name: member.ID.Name, Incarnation: member.ID.Incarnation},
			Addr:             member.Addr,
			Learner:          member.Learner,
			PromoteWhenReady: member.PromoteWhenReady,
		})
	}
	return out
}

// MembershipFromProto is the inverse of ToProto.
func MembershipFromProto(in *rpc.RaftMembership) Membership {
	var m Membership
	for _, member := range in.GetMembers() {
		m = append(m, Member{
			ID:               ServerID{Name: member.GetId().GetName(), Incarnation: member.GetId().GetIncarnation()},
			Addr:             member.GetAddr(),
			Learner:          member.GetLearner(),
			PromoteWhenReady: member.GetPromoteWhenReady(),
		})
	}
	return m
}

func encodeMembership(m Membership) []byte {
	data, err := proto.Marshal(m.ToProto())
	if err != nil {
		panic(fmt.Sprintf("consensus: encode membership: %v", err))
	}
	return data
}

// decodeMembership panics on invalid data: membership entries are encoded by
// servers of this cluster and protected by checksums.
func decodeMembership(e Entry) Membership {
	var in rpc.RaftMembership
	if err := proto.Unmarshal(e.Data, &in); err != nil {
		panic(fmt.Sprintf("consensus: decode membership of entry %d: %v", e.Index, err))
	}
	return MembershipFromProto(&in)
}
