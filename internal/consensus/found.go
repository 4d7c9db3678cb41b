package consensus

import (
	"reflect"
	"slices"
)

// Bootstrap and joining.
//
// A blank server (no snapshot, no entries) never votes and never campaigns.
// A server that knows of no commit that makes its identity a member, as a blank one is, says hello
// to the servers named in its settings until it is made one.
//
// The initial voter with the lowest name is the founder. While it is blank it
// collects the identities of the others, from hellos that say their sender is
// blank and repeat a nonce drawn since the founder's start. When it has
// all of them it makes the founding snapshot, which lists all identities, and
// hands it to each. It campaigns only when every initial voter has said that
// the founding snapshot is durable. The others campaign only after they have
// seen a later term. So:
//   - a wiped server can not found again: it would need every other initial
//     voter to be blank, too;
//   - from the first election on each initial voter knows the identities that
//     count, and a wiped server has another one.
//
// A server that says hello under the name of a member, but with another
// incarnation, is put in its place by the leader: one change drops the old
// incarnation and adds the new one as a learner, a second one makes it a voter
// again once it is caught up.

// joinState is what a server keeps for bootstrap and joining.
type joinState struct {
	// nonce is handed out in welcomes; hellos that do not repeat it are stale.
	nonce uint64
	// welcomes holds, on a blank server, the newest nonce by server name.
	welcomes map[string]uint64
	// heard holds the servers that asked to join with a fresh nonce.
	heard map[string]heardServer
	// acked holds, on the founder, who made the founding snapshot durable.
	acked map[ServerID]bool
}

// heardServer is a server that asked to join.
type heardServer struct {
	member Member
	blank  bool
}

func (j *joinState) init(c *Core) {
	j.nonce = c.rand.Uint64()
	j.welcomes = map[string]uint64{}
	j.heard = map[string]heardServer{}
	j.acked = map[ServerID]bool{}
}

// forget makes hellos so far count no longer: their senders may be gone.
func (j *joinState) forget(c *Core) {
	j.nonce = c.rand.Uint64()
	clear(j.heard)
}

// blank tells whether this server holds no state of a cluster.
func (c *Core) blank() bool { return c.log.lastIndex() == 0 }

// foundingComplete tells whether every initial voter holds the founding
// snapshot, as far as this server knows.
func (c *Core) foundingComplete() bool {
	if c.blank() {
		return false
	}
	if c.log.lastIndex() > FoundingIndex || c.hard.CurrentTerm > FoundingTerm {
		return true
	}
	members, _ := c.log.membership()
	for _, id := range members.Voters() {
		if id != c.id && !c.join.acked[id] {
			return false
		}
	}
	return c.isFounder()
}

func (c *Core) isFounder() bool {
	if c.cfg.JoinOnly && c.blank() {
		return false
	}
	return slices.Contains(c.cfg.Peers, c.id.Name) && slices.Min(c.cfg.Peers) == c.id.Name
}

// tickJoin says hello while we are no member, and goes on with a founding.
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
	founding := c.isFounder() && !c.foundingComplete()
	if member && !founding && !c.maybeRetired() {
		return
	}
	if c.blank() && founding {
		c.tryFound()
	}
	c.sendHello()
	c.sendFound()
}

// maybeRetired tells whether this server may have been removed while it was out
// of reach: it hears of no leader. A leader takes no notice of a hello of a member.
func (c *Core) maybeRetired() bool {
	return c.cfg.RetireTicks > 0 && c.role != Leader && c.leader.IsZero()
}

func (c *Core) sendHello() {
	for _, name := range c.helloTargets() {
		c.send(Message{
			Kind: KindHello, To: ServerID{Name: name}, Addr: c.cfg.Addr,
			Context: c.join.welcomes[name], Commit: c.log.lastIndex(),
		})
	}
}

// helloTargets returns the servers of the settings and those that have
// answered since, a leader that the settings do not name among them.
func (c *Core) helloTargets() []string {
	names := slices.Clone(c.cfg.Peers)
	for name := range c.join.welcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == c.id.Name })
}

// sendFound hands the founding snapshot to the voters that lack it.
func (c *Core) sendFound() {
	if c.blank() || !c.isFounder() || c.foundingComplete() {
		return
	}
	for _, id := range c.log.snapshot.Membership.Voters() {
		if id == c.id || c.join.acked[id] {
			continue
		}
		snapshot := c.log.snapshot
		c.send(Message{Kind: KindFound, To: id, Snapshot: &snapshot})
	}
}

// handleHello notes a server that asks to join.
func (c *Core) handleHello(m Message) {
	if m.To.Name != c.id.Name || m.From.Name == c.id.Name || m.From.Incarnation == 0 {
		return
	}
	forwarded := m.Index > 0
	if !c.leader.IsZero() && c.role != Leader && c.leader.Name != m.From.Name && !forwarded {
		// The sender is kept, so that settings that are out of date still
		// lead to the leader.
		m.To = ServerID{Name: c.leader.Name}
		m.Index++
		c.messages = append(c.messages, m)
		return
	}
	if m.Context != c.join.nonce {
		c.send(Message{Kind: KindWelcome, To: m.From, Context: c.join.nonce, Addr: c.cfg.Addr})
		return
	}
	c.join.heard[m.From.Name] = heardServer{member: Member{ID: m.From, Addr: m.Addr}, blank: m.Commit == 0}
	if c.role == Leader {
		c.replaceIncarnation(m.From, m.Addr)
		c.admitNewcomer(m.From, m.Addr)
	}
}

func (c *Core) handleWelcome(m Message) {
	c.join.welcomes[m.From.Name] = m.Context
}

// tryFound makes the founding snapshot once all initial voters were heard.
func (c *Core) tryFound() {
	members := Membership{}.with(Member{ID: c.id, Addr: c.cfg.Addr})
	for _, name := range c.cfg.Peers {
		if name == c.id.Name {
			continue
		}
		heard, ok := c.join.heard[name]
		if !ok || !heard.blank {
			return
		}
		members = members.with(heard.member)
	}
	c.installFounding(Snapshot{Index: FoundingIndex, Term: FoundingTerm, Membership: members})
}

func (c *Core) installFounding(snapshot Snapshot) {
	c.hard = HardState{CurrentTerm: FoundingTerm}
	c.log.restore(snapshot)
	c.newSnapshot = &snapshot
}

func (c *Core) handleFound(m Message) {
	s := m.Snapshot
	if s == nil || !s.Membership.IsVoter(c.id) {
		return
	}
	// The term may be durable already, and the snapshot not.
	if c.blank() && c.hard.CurrentTerm <= FoundingTerm {
		c.installFounding(*s)
	}
	held := c.log.snapshot
	if held.Index == FoundingIndex && reflect.DeepEqual(held.Membership, s.Membership) {
		c.send(Message{Kind: KindFoundReply, To: m.From})
	}
}

func (c *Core) handleFoundReply(m Message) {
	if c.blank() || !c.isFounder() {
		return
	}
	c.join.acked[m.From] = true
	if c.role == Follower && c.hard.CurrentTerm == FoundingTerm && c.mayCampaign() {
		c.campaignPreVote()
	}
}

// foundingStable lets a cluster of one server start without a message.
func (c *Core) foundingStable() {
	if c.role == Follower && c.hard.CurrentTerm == FoundingTerm && c.isFounder() && c.mayCampaign() {
		c.campaignPreVote()
	}
}
