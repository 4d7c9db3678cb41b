package consensus

import (
	"reflect"
	"slices"
)

// Bootstrap and joining.
//
// A blank server (no snapshot, no entries) never votes and never campaigns. A
// server that is not a member by the committed memberships it knows, such as a
// blank one, sends join requests to the servers in its settings until it is added.
//
// The initial voter with the lowest name coordinates the bootstrap. While it is
// blank it collects the identities of the others, from join requests whose sender is
// blank and which repeat a nonce drawn since the coordinator's start. When it
// has all of them it creates the bootstrap snapshot, which lists all
// identities, and sends it to each. It campaigns only when every initial voter
// has confirmed that the bootstrap snapshot is durable. The others campaign
// only after they have seen a later term. So:
//   - a wiped server can not bootstrap a second cluster: every other initial
//     voter would have to be blank, too;
//   - from the first election on each initial voter knows the identities that
//     count, and a wiped server has another one.
//
// If a server sends a join request with the name of a member but another incarnation,
// the leader replaces the member: one change removes the old incarnation and
// adds the new one as a learner, a second one makes it a voter again once it
// has caught up.

// joinState is the state for bootstrap and joining.
type joinState struct {
	// nonce is sent to servers that ask to join; join requests that do not repeat it are stale.
	nonce uint64
	// nonces holds the latest nonce received from each server, by name.
	nonces map[string]uint64
	// requests holds the servers that asked to join with the current nonce, by name.
	requests map[string]joinRequest
	// acked holds, on the coordinator, the voters that confirmed the bootstrap snapshot.
	acked map[ServerID]bool
}

// joinRequest is the last join request of a server.
type joinRequest struct {
	member Member
	blank  bool
}

func (j *joinState) init(c *Core) {
	j.nonce = c.rand.Uint64()
	j.nonces = map[string]uint64{}
	j.requests = map[string]joinRequest{}
	j.acked = map[ServerID]bool{}
}

// invalidateRequests invalidates all join requests received so far: their senders may be gone.
func (j *joinState) invalidateRequests(c *Core) {
	j.nonce = c.rand.Uint64()
	clear(j.requests)
}

// blank reports whether this server has no state of a cluster.
func (c *Core) blank() bool { return c.log.lastIndex() == 0 }

// bootstrapComplete reports whether this server knows that every initial voter
// has the bootstrap snapshot.
func (c *Core) bootstrapComplete() bool {
	if c.blank() {
		return false
	}
	if c.log.lastIndex() > BootstrapIndex || c.hard.CurrentTerm > BootstrapTerm {
		return true
	}
	members, _ := c.log.membership()
	for _, id := range members.Voters() {
		if id != c.id && !c.join.acked[id] {
			return false
		}
	}
	return c.isBootstrapCoordinator()
}

func (c *Core) isBootstrapCoordinator() bool {
	if c.cfg.JoinOnly && c.blank() {
		return false
	}
	return slices.Contains(c.cfg.Peers, c.id.Name) && slices.Min(c.cfg.Peers) == c.id.Name
}

// tickJoin sends join requests while this server is not a member, and continues a bootstrap.
func (c *Core) tickJoin() {
	interval := c.cfg.HeartbeatTicks
	if !c.blank() {
		interval = c.cfg.ElectionTicks
	}
	if c.now%uint64(interval) != 0 {
		return
	}
	// A change that is not committed may be lost with its leader.
	_, member := c.log.membershipAt(c.log.commit).Find(c.id)
	bootstrapping := c.isBootstrapCoordinator() && !c.bootstrapComplete()
	if member && !bootstrapping && !c.mayHaveBeenRemoved() {
		return
	}
	if c.blank() && bootstrapping {
		c.tryBootstrap()
	}
	c.sendJoinRequest()
	c.sendBootstrapSnapshot()
}

// mayHaveBeenRemoved reports whether this server may have been removed while it was
// unreachable: it knows no leader. A leader ignores the join request of a member.
func (c *Core) mayHaveBeenRemoved() bool {
	return c.cfg.RemoveLearnerTicks > 0 && c.role != Leader && c.leader.IsZero()
}

func (c *Core) sendJoinRequest() {
	for _, name := range c.joinTargets() {
		c.send(Message{
			Kind: KindJoinRequest, To: ServerID{Name: name}, Addr: c.cfg.Addr,
			Context: c.join.nonces[name], Commit: c.log.lastIndex(),
		})
	}
}

// joinTargets returns the servers in the settings and those that have sent a
// nonce, which may include a leader that is not in the settings.
func (c *Core) joinTargets() []string {
	names := slices.Clone(c.cfg.Peers)
	for name := range c.join.nonces {
		names = append(names, name)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == c.id.Name })
}

// sendBootstrapSnapshot sends the snapshot to the voters that have not confirmed it.
func (c *Core) sendBootstrapSnapshot() {
	if c.blank() || !c.isBootstrapCoordinator() || c.bootstrapComplete() {
		return
	}
	for _, id := range c.log.snapshot.Membership.Voters() {
		if id == c.id || c.join.acked[id] {
			continue
		}
		snapshot := c.log.snapshot
		c.send(Message{Kind: KindBootstrap, To: id, Snapshot: &snapshot})
	}
}

// handleJoinRequest handles a request to join; a follower forwards it to the leader.
func (c *Core) handleJoinRequest(m Message) {
	if m.To.Name != c.id.Name || m.From.Name == c.id.Name || m.From.Incarnation == 0 {
		return
	}
	forwarded := m.Index > 0
	if !c.leader.IsZero() && c.role != Leader && c.leader.Name != m.From.Name && !forwarded {
		// From is kept, so that the leader replies to the sender, whose
		// settings may not name the leader.
		m.To = ServerID{Name: c.leader.Name}
		m.Index++
		c.messages = append(c.messages, m)
		return
	}
	if m.Context != c.join.nonce {
		c.send(Message{Kind: KindJoinNonce, To: m.From, Context: c.join.nonce, Addr: c.cfg.Addr})
		return
	}
	c.join.requests[m.From.Name] = joinRequest{member: Member{ID: m.From, Addr: m.Addr}, blank: m.Commit == 0}
	if c.role == Leader {
		c.replaceIncarnation(m.From, m.Addr)
		c.autoAddServer(m.From, m.Addr)
	}
}

func (c *Core) handleJoinNonce(m Message) {
	c.join.nonces[m.From.Name] = m.Context
}

// tryBootstrap creates the bootstrap snapshot once all initial voters have asked to join.
func (c *Core) tryBootstrap() {
	members := Membership{}.with(Member{ID: c.id, Addr: c.cfg.Addr})
	for _, name := range c.cfg.Peers {
		if name == c.id.Name {
			continue
		}
		request, ok := c.join.requests[name]
		if !ok || !request.blank {
			return
		}
		members = members.with(request.member)
	}
	c.installBootstrapSnapshot(Snapshot{Index: BootstrapIndex, Term: BootstrapTerm, Membership: members})
}

func (c *Core) installBootstrapSnapshot(snapshot Snapshot) {
	c.hard = HardState{CurrentTerm: BootstrapTerm}
	c.log.restore(snapshot)
	c.newSnapshot = &snapshot
}

func (c *Core) handleFound(m Message) {
	s := m.Snapshot
	if s == nil || !s.Membership.IsVoter(c.id) {
		return
	}
	// After a crash the term may be durable without the snapshot.
	if c.blank() && c.hard.CurrentTerm <= BootstrapTerm {
		c.installBootstrapSnapshot(*s)
	}
	current := c.log.snapshot
	if current.Index == BootstrapIndex && reflect.DeepEqual(current.Membership, s.Membership) {
		c.send(Message{Kind: KindBootstrapReply, To: m.From})
	}
}

func (c *Core) handleFoundReply(m Message) {
	if c.blank() || !c.isBootstrapCoordinator() {
		return
	}
	c.join.acked[m.From] = true
	if c.role == Follower && c.hard.CurrentTerm == BootstrapTerm && c.mayCampaign() {
		c.campaignPreVote()
	}
}

// campaignIfBootstrapped starts the first election once the bootstrap snapshot is
// durable. A cluster of one server receives no message that would start it.
func (c *Core) campaignIfBootstrapped() {
	if c.role == Follower && c.hard.CurrentTerm == BootstrapTerm && c.isBootstrapCoordinator() && c.mayCampaign() {
		c.campaignPreVote()
	}
}
