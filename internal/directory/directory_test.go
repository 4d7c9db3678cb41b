package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/fleet"
	_ "lynxgate.dev/lynxgate/internal/testseed" // the same announcements in every run
)

func server(seq uint64, state fleet.State) fleet.BackendServer {
	return fleet.BackendServer{ID: "a", Service: "s", Addr: "127.0.0.1:1", Seq: seq, State: state, SeenAt: time.Unix(int64(seq), 0)}
}

func TestLateAnnouncementChangesNothing(t *testing.T) {
	d := New(0)
	assert.Equal(t, Changed, d.Merge(server(5, fleet.StateReady)))
	assert.Equal(t, Unchanged, d.Merge(server(4, fleet.StateReady)))
	assert.Equal(t, Renewed, d.Merge(server(6, fleet.StateReady)))
	assert.EqualValues(t, 6, d.Get("a").Seq)
}

func TestLateAnnouncementDoesNotUndoLeave(t *testing.T) {
	d := New(0)
	d.Merge(server(5, fleet.StateReady))
	assert.Equal(t, Changed, d.Merge(server(6, fleet.StateDraining)))
	assert.Equal(t, Unchanged, d.Merge(server(9, fleet.StateReady)), "a late announcement")
	assert.Equal(t, Changed, d.Merge(fleet.BackendServer{ID: "a", State: fleet.StateGone}))
	assert.Equal(t, Unchanged, d.Merge(server(10, fleet.StateDraining)))
	assert.Equal(t, fleet.StateGone, d.Get("a").State)
	assert.Equal(t, "s", d.Get("a").Service, "a leave contains only the id")
}

func TestLeaveOfUnknownServerIsKept(t *testing.T) {
	d := New(0)
	d.Merge(fleet.BackendServer{ID: "a", State: fleet.StateGone, SeenAt: time.Unix(1, 0)})
	assert.Equal(t, Unchanged, d.Merge(server(3, fleet.StateReady)))
	assert.Equal(t, fleet.StateGone, d.Get("a").State)
}

// announced returns an announcement received at this Unix time in seconds.
func announced(id string, seq uint64, seenAt int64) fleet.BackendServer {
	return fleet.BackendServer{ID: id, Service: "s", Addr: "127.0.0.1:1", Seq: seq, SeenAt: time.Unix(seenAt, 0)}
}

func TestLateAnnouncementOfDeadIncarnationDoesNotEndNextOne(t *testing.T) {
	for name, d := range map[string]*Directory{
		"known before":   merged(announced("old", 40, 100), announced("new", 1, 110), announced("old", 41, 113)),
		"repeated":       merged(announced("old", 40, 100), announced("new", 1, 110), announced("old", 40, 113)),
		"out of order":   merged(announced("old", 40, 100), announced("new", 1, 110), announced("old", 38, 113)),
		"not known yet":  merged(announced("new", 1, 110), announced("old", 41, 113)),
		"received first": merged(announced("old", 41, 113), announced("new", 3, 112)),
		"left meanwhile": merged(announced("old", 40, 100), announced("new", 1, 110), fleet.BackendServer{ID: "new", State: fleet.StateGone, SeenAt: time.Unix(112, 0)}, announced("old", 41, 113)),
	} {
		older, newer := d.Get("old").Life(), d.Get("new").Life()
		assert.True(t, older.SupersededBy(newer), name)
		assert.False(t, newer.SupersededBy(older), name)
	}
}

func TestIncarnationThatKeepsAnnouncingHasNotEnded(t *testing.T) {
	// All announcements of the dead incarnation were delayed, so it seems to be the later one.
	d := merged(announced("alive", 20, 120), announced("dead", 1, 120))
	assert.True(t, d.Get("alive").Life().SupersededBy(d.Get("dead").Life()))
	d.Renew("alive", 0, 24, time.Unix(124, 0))
	assert.True(t, d.Get("alive").Life().SupersededBy(d.Get("dead").Life()), "one announcement may be late")
	d.Renew("alive", 0, 26, time.Unix(126, 0))
	assert.False(t, d.Get("alive").Life().SupersededBy(d.Get("dead").Life()))
	assert.False(t, d.Get("dead").Life().SupersededBy(d.Get("alive").Life()))
}

func TestIncarnationsWithoutIntervalAreOrderedByFirstAnnouncement(t *testing.T) {
	d := New(0)
	d.Merge(announced("old", 40, 100))
	d.Merge(announced("new", 1, 110))
	d.Merge(announced("old", 41, 113))
	assert.True(t, d.Get("old").Life().SupersededBy(d.Get("new").Life()))
	assert.Equal(t, time.Unix(100, 0), d.Get("old").StartedAt)
	huge := New(time.Second)
	huge.Merge(announced("old", 1<<63, 100))
	assert.True(t, huge.Get("old").StartedAt.Before(time.Unix(100, 0)), "no overflow")
}

// Announcements of one incarnation give the same record in any order and with any
// repetitions.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The announced state only advances.
		drains := rapid.Uint64Range(1, 9).Draw(t, "drains")
		goes := rapid.Uint64Range(drains, 9).Draw(t, "goes")
		one := rapid.Custom(func(t *rapid.T) fleet.BackendServer {
			seq := rapid.Uint64Range(1, 8).Draw(t, "seq")
			b := announced("a", seq, int64(seq)+rapid.Int64Range(0, 5).Draw(t, "delay"))
			switch {
			case seq >= goes:
				b.State = fleet.StateGone
			case seq >= drains:
				b.State = fleet.StateDraining
			}
			return b
		})
		all := rapid.SliceOfN(one, 1, 8).Draw(t, "announcements")
		first, second := merged(all...), merged(append(rapid.Permutation(all).Draw(t, "order"), all...)...)
		assert.Equal(t, first.Get("a").State, second.Get("a").State)
		assert.Equal(t, first.Get("a").StartedAt, second.Get("a").StartedAt)
		assert.Equal(t, first.Get("a").Seq, second.Get("a").Seq)
	})
}

// merged returns a directory that has merged these announcements of servers with an
// interval of 1 s.
func merged(announcements ...fleet.BackendServer) *Directory {
	d := New(time.Second)
	for _, b := range announcements {
		d.Merge(b)
	}
	return d
}

func TestForget(t *testing.T) {
	d := New(0)
	d.Merge(server(1, fleet.StateGone))
	d.Forget(time.Unix(30, 0))
	assert.NotNil(t, d.Get("a"))
	d.Forget(time.Unix(100, 0))
	assert.Nil(t, d.Get("a"))
}

// A server may become cold again at any moment, also while it still is.
func TestColdStartIsAChangeUnlessItEndsAtTheSameTime(t *testing.T) {
	d := New(0)
	at := time.Unix(100, 0)
	announce := func(after, cold time.Duration, seq uint64) Change {
		return d.Merge(fleet.BackendServer{ID: "a", Addr: "x", Seq: seq, SeenAt: at.Add(after), Cold: cold})
	}
	announce(0, 0, 1)
	assert.Equal(t, Renewed, announce(time.Second, 0, 2))
	assert.Equal(t, Changed, announce(2*time.Second, 3*time.Second, 3))
	assert.Equal(t, Renewed, announce(3*time.Second, 2*time.Second, 4))
	assert.Equal(t, Renewed, d.Renew("a", 0, 5, at.Add(3500*time.Millisecond)))
	assert.Equal(t, at.Add(5*time.Second), d.Get("a").ColdUntil(), "a renewal does not prolong it")
	assert.Equal(t, Changed, announce(4*time.Second, 3*time.Second, 6))
	assert.Equal(t, Changed, announce(5*time.Second, 0, 7), "it ended earlier")
	assert.Equal(t, Renewed, announce(9*time.Second, 0, 8))
}
