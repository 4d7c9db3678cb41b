package consensus

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Identities of the servers in the tests below, which step a single core.
var (
	idA = ServerID{Name: "a", Incarnation: 1}
	idB = ServerID{Name: "b", Incarnation: 2}
	idC = ServerID{Name: "c", Incarnation: 3}
)

// newCore returns server a of three, with a log of one entry per term given.
func newCore(terms ...uint64) *Core {
	restored := Restored{
		HardState: HardState{CurrentTerm: 2},
		Snapshot:  Snapshot{Index: 1, Term: 1, Membership: Membership{{ID: idA}, {ID: idB}, {ID: idC}}},
	}
	for i, term := range terms {
		restored.Entries = append(restored.Entries, Entry{Index: 2 + uint64(i), Term: term})
		restored.HardState.CurrentTerm = term
	}
	return New(Config{
		ID: idA, Peers: []string{"a", "b", "c"}, ElectionTicks: simElectionTicks, HeartbeatTicks: simHeartbeatTicks,
		Rand: rand.New(rand.NewPCG(1, 2)),
	}, restored)
}

// processReadys processes all Readys and returns the messages.
func processReadys(c *Core) []Message {
	var out []Message
	for c.HasReady() {
		rd := c.Ready()
		out = append(append(out, rd.Early...), rd.Messages...)
		c.Advance()
	}
	return out
}

// elect makes c the leader of its next term.
func elect(t *testing.T, c *Core) {
	c.Step(Message{Kind: KindTimeoutNow, From: idB, To: idA, Term: c.hard.CurrentTerm})
	c.Step(Message{Kind: KindRequestVoteReply, From: idB, To: idA, Term: c.hard.CurrentTerm})
	require.Equal(t, Leader, c.role)
	processReadys(c)
}

func (c *Core) reply(from ServerID, kind Kind, index, context uint64) {
	c.Step(Message{Kind: kind, From: from, To: idA, Term: c.hard.CurrentTerm, Index: index, Context: context})
}

// Figure 8 of the paper: an entry of an earlier term is not committed by
// counting replicas, only by a later entry of the leader's own term.
func TestCommitOnlyThroughOwnTerm(t *testing.T) {
	c := newCore(2)
	elect(t, c)
	c.reply(idB, KindAppendEntriesReply, 2, 0)
	require.EqualValues(t, 1, c.log.commit)
	c.reply(idB, KindAppendEntriesReply, 3, 0)
	require.EqualValues(t, 3, c.log.commit)
}

// A leader may count only the synced part of its own log.
func TestLeaderCountsOwnLogOnlyOnceSynced(t *testing.T) {
	c := newCore()
	elect(t, c)
	c.reply(idB, KindAppendEntriesReply, 2, 0)
	processReadys(c)
	_, _, err := c.Propose([]byte("x"))
	require.NoError(t, err)
	c.reply(idB, KindAppendEntriesReply, 3, 0)
	require.EqualValues(t, 2, c.log.commit)
	processReadys(c)
	require.EqualValues(t, 3, c.log.commit)
}

func TestMembershipChangeNeedsCommitInTerm(t *testing.T) {
	c := newCore(2)
	elect(t, c)
	_, _, err := c.ProposeRemove("c")
	require.ErrorIs(t, err, ErrNotReady)
	c.reply(idB, KindAppendEntriesReply, 3, 0)
	_, _, err = c.ProposeRemove("c")
	require.NoError(t, err)
}

// A follower may commit only entries that a message has confirmed to match the
// leader's log.
func TestFollowerCommitsOnlyWhatMatches(t *testing.T) {
	c := newCore(2, 2, 2)
	c.Step(Message{Kind: KindAppendEntries, From: idB, To: idA, Term: 3, Index: 2, LogTerm: 2, Commit: 4})
	require.EqualValues(t, 2, c.log.commit)
}

func TestLeaderHeartbeatCarriesNoCommitBeyondMatch(t *testing.T) {
	c := newCore()
	elect(t, c)
	c.reply(idB, KindAppendEntriesReply, 2, 0)
	processReadys(c)
	for range simHeartbeatTicks {
		c.Tick()
	}
	for _, m := range processReadys(c) {
		if m.Kind == KindHeartbeat && m.To == idC {
			require.Zero(t, m.Commit)
		}
	}
}

func TestReadNeedsRepliesToLaterHeartbeats(t *testing.T) {
	c := newCore()
	elect(t, c)
	c.reply(idB, KindAppendEntriesReply, 2, 0)
	processReadys(c)
	before := c.reads.round
	require.NoError(t, c.ReadIndex(7))
	require.Empty(t, c.readStates, "not confirmed by any server")
	c.reply(idB, KindHeartbeatReply, 0, before)
	require.Empty(t, c.readStates, "confirmed by the reply to an earlier heartbeat")
	c.reply(idB, KindHeartbeatReply, 0, c.reads.round)
	require.Equal(t, []ReadState{{Context: 7, Index: 2}}, c.readStates)
}

// A new leader does not know yet which entries its predecessor committed.
func TestReadWaitsForCommitInTerm(t *testing.T) {
	c := newCore(2)
	elect(t, c)
	require.NoError(t, c.ReadIndex(7))
	c.reply(idB, KindHeartbeatReply, 0, c.reads.round)
	require.Empty(t, c.readStates)
	c.reply(idB, KindAppendEntriesReply, 3, 0)
	c.reply(idB, KindHeartbeatReply, 0, c.reads.round)
	require.Equal(t, []ReadState{{Context: 7, Index: 3}}, c.readStates)
}

func TestReadsRejectedOnLossOfLeadership(t *testing.T) {
	c := newCore()
	elect(t, c)
	c.reply(idB, KindAppendEntriesReply, 2, 0)
	require.NoError(t, c.ReadIndex(7))
	c.Step(Message{Kind: KindHeartbeat, From: idB, To: idA, Term: 9})
	require.Equal(t, []ReadState{{Context: 7, Index: 2, Reject: true}}, c.readStates)
}

// Messages to another incarnation are ignored.
func TestMessageToAnotherIncarnationIsIgnored(t *testing.T) {
	c := newCore()
	before := c.State()
	for kind := KindJoinNonce; kind <= KindTimeoutNow; kind++ {
		c.Step(Message{
			Kind: kind, From: idB, To: ServerID{Name: "a", Incarnation: 99}, Term: 5, Index: 1, LogTerm: 1,
			Snapshot: &Snapshot{Index: 9, Term: 5, Membership: Membership{{ID: idB}}},
		})
	}
	require.Equal(t, before, c.State())
	require.Empty(t, processReadys(c))
}

// Votes and acknowledgements of an identity that is not a member don't count.
func TestAnotherIncarnationDoesNotCount(t *testing.T) {
	otherIncarnation := ServerID{Name: "b", Incarnation: 99}
	c := newCore()
	c.Step(Message{Kind: KindTimeoutNow, From: idB, To: idA, Term: 2})
	c.Step(Message{Kind: KindRequestVoteReply, From: otherIncarnation, To: idA, Term: c.hard.CurrentTerm})
	require.Equal(t, Candidate, c.role)
	c.Step(Message{Kind: KindRequestVoteReply, From: idB, To: idA, Term: c.hard.CurrentTerm})
	require.Equal(t, Leader, c.role)
	processReadys(c)
	c.reply(otherIncarnation, KindAppendEntriesReply, 2, 0)
	require.EqualValues(t, 1, c.log.commit)
	c.reply(idB, KindAppendEntriesReply, 2, 0)
	require.NoError(t, c.ReadIndex(7))
	c.reply(otherIncarnation, KindHeartbeatReply, 0, c.reads.round)
	require.Empty(t, c.readStates)
}

func TestBlankServerDoesNotVote(t *testing.T) {
	c := New(Config{
		ID: idA, Peers: []string{"a", "b", "c"}, ElectionTicks: simElectionTicks, HeartbeatTicks: simHeartbeatTicks,
		Rand: rand.New(rand.NewPCG(1, 2)),
	}, Restored{})
	for _, kind := range []Kind{KindPreVote, KindRequestVote} {
		c.Step(Message{Kind: kind, From: idB, To: idA, Term: 5, Index: 7, LogTerm: 4})
		replies := processReadys(c)
		require.Len(t, replies, 1)
		require.True(t, replies[0].Reject)
	}
}
