package fleetcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

var crashing = quarantine.DigestOf("org", "POST", "h", "/x", nil)

// crashes returns suspicions against crashing: one crash of each server.
func crashes(servers ...string) []quarantine.Update {
	var out []quarantine.Update
	for i, server := range servers {
		out = append(out, quarantine.Update{Digest: crashing, Server: server, At: clock.Now().Add(time.Duration(i-10) * time.Second)})
	}
	return out
}

func TestSuspicionsReachEntriesAndControlServersOnce(t *testing.T) {
	h := testHub()
	entry := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	peer := h.join(&rpc.FollowerMessage{Name: "c", Role: RoleControl})
	agent := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleAgent})
	for _, f := range []*follower{entry, peer, agent} {
		h.next(f)
	}
	h.mergeSuspicions(crashes("s-1"))
	h.mergeSuspicions(crashes("s-1")) // from another entry, or from a control server
	for _, f := range []*follower{entry, peer} {
		u := h.next(f)
		require.NotNil(t, u)
		assert.Len(t, u.Suspicions, 1)
		assert.Nil(t, h.next(f))
	}
	assert.Nil(t, h.next(agent), "agents dispatch no requests")
	late := h.join(&rpc.FollowerMessage{Name: "late", Role: RoleEntry})
	assert.Len(t, h.next(late).Suspicions, 1, "an entry that has just started receives all suspicions")
}

func TestQuarantineIsForwardedAndRecorded(t *testing.T) {
	h := testHub()
	entry := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	h.mergeSuspicions(crashes("s-1", "s-2", "s-3"))
	assert.Empty(t, h.unrecorded(), "no final verdict yet")
	h.settle()
	u := h.next(entry)
	assert.Len(t, u.Suspicions, 4, "three crashes and the verdict")
	quarantined := h.unrecorded()
	require.Len(t, quarantined, 1)
	commit(t, h, 1, quarantined)
	h.next(entry)
	assert.Empty(t, h.unrecorded(), "it is in the log")
}

func commit(t *testing.T, h *hub, index uint64, quarantined [][]byte) {
	t.Helper()
	data, err := proto.Marshal(&rpc.FleetCommand{Held: quarantined})
	require.NoError(t, err)
	h.ledger.Apply(index, data)
}

// An entry that received its first configuration after a power loss before the quarantined
// contents would dispatch them.
func TestQuarantinedContentsComeWithFirstConfiguration(t *testing.T) {
	h := testHub()
	entry := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	h.next(entry)
	commit(t, h, 1, [][]byte{crashing[:]})
	putConfig(t, h, 2)
	u := h.next(entry)
	assert.EqualValues(t, 2, u.ConfigVersion)
	require.Len(t, u.Suspicions, 1)
	assert.Empty(t, u.Suspicions[0].Server)
}

// A control server that has just started applies the quarantine of a content from its log after the
// content was released.
func TestReplayedQuarantineDoesNotOutlastItsRelease(t *testing.T) {
	before := testHub()
	entry := before.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	before.mergeSuspicions(crashes("s-1", "s-2", "s-3"))
	before.settle()
	commit(t, before, 10, before.unrecorded())
	known := quarantine.New() // of the entry
	receive := func(h *hub, f *follower) (released, quarantined bool) {
		h.mergeQuarantined(h.ledger.State())
		if u := h.next(f); u != nil {
			for _, n := range follow.SuspicionsFromProto(u.Suspicions, clock.Now()) {
				known.Merge(clock.Now(), n)
			}
		}
		verdict := known.Verdict(clock.Now(), crashing)
		return verdict == quarantine.Free, verdict == quarantine.Quarantined
	}
	_, quarantined := receive(before, entry)
	require.True(t, quarantined)
	release(t, before, 20)
	released, _ := receive(before, entry)
	require.True(t, released)

	started := testHub()
	started.mergeSuspicions(known.All()) // the entry tells what it knows when it joins
	follower := started.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	commit(t, started, 10, [][]byte{crashing[:]})
	released, _ = receive(started, follower)
	assert.True(t, released)
	assert.Empty(t, started.unrecorded(), "it is not put into the log again")

	// It did not know of the release when it applied the quarantine.
	late := testHub()
	follower = late.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	commit(t, late, 10, [][]byte{crashing[:]})
	released, _ = receive(late, follower)
	assert.True(t, released)
	late.mergeSuspicions(known.All())
	assert.Empty(t, late.unrecorded())
	release(t, late, 20)
	receive(late, follower)
	commit(t, late, 30, [][]byte{crashing[:]})
	_, quarantined = receive(late, follower)
	assert.True(t, quarantined, "quarantined anew")
}

// release commits a release and spreads it as Server.Release does.
func release(t *testing.T, h *hub, index uint64) {
	t.Helper()
	data, err := proto.Marshal(&rpc.FleetCommand{Lifted: crashing[:]})
	require.NoError(t, err)
	h.ledger.Apply(index, data)
	h.mergeSuspicions([]quarantine.Update{{Digest: crashing, Cleared: true, At: clock.Now()}})
}

func TestOneEntryAtATimeHasTurn(t *testing.T) {
	h := testHub()
	a := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleEntry})
	b := h.join(&rpc.FollowerMessage{Name: "b", Role: RoleEntry})
	granted := func(f *follower) bool {
		require.True(t, h.handleTurnMessage(f, &rpc.FollowerMessage{TurnWanted: crashing[:]}))
		u := h.next(f)
		require.NotNil(t, u)
		require.Len(t, u.Turns, 1)
		return u.Turns[0].Given
	}
	assert.True(t, granted(a))
	assert.False(t, granted(b))
	assert.True(t, h.handleTurnMessage(b, &rpc.FollowerMessage{TurnEnded: crashing[:]}), "the turn of another entry")
	assert.False(t, granted(b))
	h.handleTurnMessage(a, &rpc.FollowerMessage{TurnEnded: crashing[:]})
	assert.True(t, granted(b))
	h.leave(b)
	assert.True(t, granted(a), "the turn of an entry that has left is released")
	assert.True(t, h.turns.acquire(clock.Now().Add(turnExpiry), crashing, b, 0), "a turn that is not released expires")
}

// Guards against a quarantine that an answer has ended and that the log keeps, so that it is back after a loss of all power.
func TestQuarantineEndedByAnAnswerIsTakenOutOfTheLog(t *testing.T) {
	h := testHub()
	entry := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	h.mergeSuspicions(crashes("s-1", "s-2", "s-3"))
	h.settle()
	commit(t, h, 1, h.unrecorded())
	h.next(entry)
	assert.Empty(t, h.lifted())
	of := quarantine.New() // of the entry that got the answer
	for _, n := range append(crashes("s-1", "s-2", "s-3"), quarantine.Update{Digest: crashing, At: clock.Now()}) {
		of.Merge(clock.Now(), n)
	}
	h.mergeSuspicions(of.Answered(clock.Now().Add(time.Second), crashing, 0))
	require.Equal(t, []quarantine.Digest{crashing}, h.lifted())
	release(t, h, 2)
	h.next(entry)
	assert.Empty(t, h.lifted())
	assert.Empty(t, h.unrecorded())
}
