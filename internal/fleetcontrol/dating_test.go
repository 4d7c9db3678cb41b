package fleetcontrol

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// commitVersion applies the naming of a version that this control server, or one of the deciders, has committed.
func commitVersion(t *testing.T, h *hub, version uint64, deciders ...string) {
	t.Helper()
	data, err := proto.Marshal(&rpc.FleetCommand{Model: "m", Version: version})
	require.NoError(t, err)
	stateMachine{h.ledger, h.evidence}.ApplyCommitted(version, data, replica.Commit{At: clock.Now(), Deciders: deciders})
}

// hear delivers the next message of a control server to another one.
func hear(h *hub, source string, l *link, delay time.Duration) {
	if u, at := l.next(delay); u != nil {
		h.mergePeerUpdate(source, u, at)
		return
	}
	u := l.hub.keepAlive(l.f)
	h.peerUnchanged(source, l.stamps.Anchor(u.Echo, clock.Now().Add(delay)))
}

// dated returns when an agent that hears of version 2 from one control server takes it to have been named.
func dated(h *hub) (at time.Time, known bool) {
	v := follow.NewViewer(nil, nil, time.Second, zerolog.Nop())
	u, anchor := newLink(h, RoleAgent, 0).next(0)
	v.Update("c", u, anchor)
	named, _ := v.View().Versions["m"].Find(2)
	return named.AppliedAt, !named.TimeUnknown
}

const lateness = 600 * time.Millisecond

// Guards against a bound that counts from when a control server other than the one that acknowledged has learned of the naming.
func TestControlServerThatLearnsOfACommitLateDatesTheNamingNoLater(t *testing.T) {
	leader, late := testHub(), testHub()
	l := newLink(leader, RoleControl, 0)
	hear(late, "leader", l, 0)
	hear(late, "leader", l, 0)
	before := clock.Now()
	commitVersion(t, leader, 2)
	acknowledged := clock.Now()
	time.Sleep(lateness)
	commitVersion(t, late, 2, "leader")
	at, known := dated(late)
	require.True(t, known)
	assert.False(t, at.After(acknowledged), "dated %v late", at.Sub(acknowledged))
	assert.WithinDuration(t, before, at, lateness/2, "no earlier than the last message without it")

	hear(late, "leader", l, 0)
	at, _ = dated(late)
	assert.False(t, at.After(acknowledged), "dated %v late", at.Sub(acknowledged))
	assert.WithinDuration(t, acknowledged, at, lateness/2, "the time of the leader counts")
}

// Guards against the same where the leader had told the naming before, and where it is not known which leader has committed it.
func TestNamingIsDatedByEachControlServerThatMayHaveCommittedIt(t *testing.T) {
	leader, other, late := testHub(), testHub(), testHub()
	fromLeader, fromOther := newLink(leader, RoleControl, 0), newLink(other, RoleControl, 0)
	hear(late, "leader", fromLeader, 0)
	commitVersion(t, leader, 2)
	acknowledged := clock.Now()
	time.Sleep(lateness)
	hear(late, "other", fromOther, 0)
	commitVersion(t, late, 2, "leader", "other")
	at, known := dated(late)
	require.True(t, known)
	assert.False(t, at.After(acknowledged), "dated %v late", at.Sub(acknowledged))
}

// Guards against a delay of the leader's last message that counts as evidence.
func TestDelayedMessageOfTheLeaderIsNoLaterEvidence(t *testing.T) {
	leader, late := testHub(), testHub()
	l := newLink(leader, RoleControl, 0)
	hear(late, "leader", l, 2*time.Second)
	commitVersion(t, leader, 2)
	acknowledged := clock.Now()
	commitVersion(t, late, 2, "leader")
	at, known := dated(late)
	require.True(t, known)
	assert.False(t, at.After(acknowledged), "dated %v late", at.Sub(acknowledged))
}

// Guards against a time that is made up for a leader that was never heard.
func TestNamingOfALeaderThatWasNotHeardHasNoTimeUntilItIsTold(t *testing.T) {
	leader, late := testHub(), testHub()
	commitVersion(t, leader, 2)
	acknowledged := clock.Now()
	commitVersion(t, late, 2, "leader")
	_, known := dated(late)
	assert.False(t, known)
	hear(late, "leader", newLink(leader, RoleControl, 0), 0)
	at, known := dated(late)
	assert.True(t, known)
	assert.False(t, at.After(acknowledged))
	assert.WithinDuration(t, acknowledged, at, time.Second)
}

// Guards against an early time of one control server that stays after the leader's is known, also by way of a third one.
func TestTimeOfTheLeaderReplacesThoseOfOthers(t *testing.T) {
	leader, early, third := testHub(), testHub(), testHub()
	l := newLink(leader, RoleControl, 0)
	hear(early, "leader", l, 0)
	time.Sleep(lateness) // without a message
	commitVersion(t, leader, 2)
	committed := appliedAt(leader)
	commitVersion(t, early, 2, "leader")
	commitVersion(t, third, 2, "leader")
	fromEarly := newLink(early, RoleControl, 0)
	hear(third, "early", fromEarly, 0)
	assert.WithinDuration(t, committed.Add(-lateness), appliedAt(third), lateness/2)
	hear(early, "leader", l, 0)
	hear(third, "early", fromEarly, 0)
	assert.WithinDuration(t, committed, appliedAt(third), lateness/2)
	assert.False(t, appliedAt(third).After(committed))
}

// Guards against a leader that restarts right after its acknowledgement, and says that it knows no naming before it has replayed its log.
func TestControlServerThatReplaysItsLogIsNoEvidence(t *testing.T) {
	leader, restarted, late := testHub(), testHub(), testHub()
	restarted.ledger.BeginReplay()
	before := newLink(leader, RoleControl, 0)
	hear(late, "leader", before, 0)
	hear(late, "leader", before, 0)
	commitVersion(t, leader, 2)
	acknowledged := clock.Now()
	time.Sleep(lateness)
	after := newLink(restarted, RoleControl, 0)
	hear(late, "leader", after, 0)
	hear(late, "leader", after, 0)
	commitVersion(t, late, 2, "leader")
	at, known := dated(late)
	require.True(t, known)
	assert.False(t, at.After(acknowledged), "dated %v late", at.Sub(acknowledged))

	restarted.ledger.EndReplay()
	nameVersion(t, restarted, 2)
	hear(late, "leader", after, 0)
	assert.EqualValues(t, 2, after.f.versions["m"].Number, "it tells its namings once the log is replayed")
}
