package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/rpc"
	_ "lynxgate.dev/lynxgate/internal/testseed"
)

func TestFirstOfSeveralVersionsCountsWithTheEarliestTimeKnown(t *testing.T) {
	start := time.Unix(100, 0)
	v := Version{}.Next(2, start.Add(5*time.Second)).Next(3, start.Add(time.Second))
	assert.Equal(t, start.Add(time.Second), v.NamedAfter(1), "version 2 was named before version 3")
}

// Guards against a time that depends on which control server was heard first.
func TestNamingsMergeToTheSameTimesInAnyOrder(t *testing.T) {
	start := time.Unix(100, 0)
	rapid.Check(t, func(t *rapid.T) {
		heard := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Version {
			at := start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "at")) * minCorrection)
			return Version{Number: rapid.Uint64Range(1, keptVersions).Draw(t, "number"), AppliedAt: at}
		}), 1, 20).Draw(t, "heard")
		merge := func(heard []Version) (v Version) {
			for _, named := range heard {
				before := v
				var changed bool
				v, changed = v.Merge(named)
				if changed == sameTimes(before, v) {
					t.Fatalf("changed is %v", changed)
				}
				for _, known := range before.History() {
					if after, ok := v.Find(known.Number); !ok || after.AppliedAt.After(known.AppliedAt) {
						t.Fatalf("version %d is lost or later", known.Number)
					}
				}
			}
			return v
		}
		if a, b := merge(heard), merge(rapid.Permutation(heard).Draw(t, "other order")); !sameTimes(a, b) {
			t.Fatalf("%v and %v", a.History(), b.History())
		}
	})
}

// sameTimes reports whether two chains have the same versions with the same times.
func sameTimes(a, b Version) bool {
	x, y := a.History(), b.History()
	if len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i].Number != y[i].Number || !x[i].AppliedAt.Equal(y[i].AppliedAt) {
			return false
		}
	}
	return true
}

func TestVersionsBeforeTheKeptOnesAreNotAdded(t *testing.T) {
	start := time.Unix(100, 0)
	var v Version
	for i := range uint64(2 * keptVersions) {
		v = v.Next(10+i, start)
	}
	v, changed := v.Merge(Version{Number: 2, AppliedAt: start})
	assert.False(t, changed)
	assert.Len(t, v.History(), keptVersions+1)
}

func TestRestoredNamingIsNotPlacedAtTheRestart(t *testing.T) {
	at := time.Unix(100, 0)
	other := New(func() time.Time { return at })
	apply(t, other, &rpc.FleetCommand{Model: "m", Version: 3})
	data, err := other.Snapshot()
	require.NoError(t, err)
	l := New(func() time.Time { return at.Add(time.Minute) })
	require.NoError(t, l.Restore(data))
	assert.EqualValues(t, 3, l.State().Versions["m"].Floor(at.Add(time.Minute), 10*time.Second))
}

func TestSnapshotOfTheLeaderKeepsKnownTimesOfNamings(t *testing.T) {
	at := time.Unix(100, 0)
	now := at
	l := New(func() time.Time { return now })
	apply(t, l, &rpc.FleetCommand{Model: "m", Version: 2})
	now = at.Add(2 * time.Second)
	apply(t, l, &rpc.FleetCommand{Model: "m", Version: 3})
	l.MergeNaming("m", Version{Number: 4, AppliedAt: at.Add(3 * time.Second)})
	snapshot, err := proto.Marshal(&rpc.FleetState{Versions: []*rpc.ModelVersion{{Model: "m", Version: 4}, {Model: "other", Version: 7}}})
	require.NoError(t, err)
	now = at.Add(5 * time.Second)
	require.NoError(t, l.Restore(snapshot))
	v := l.State().Versions["m"]
	assert.Equal(t, at, v.NamedAfter(1))
	assert.Equal(t, at.Add(2*time.Second), v.NamedAfter(2))
	assert.Equal(t, at.Add(3*time.Second), v.NamedAfter(3), "heard from another control server before")
	assert.True(t, l.State().Versions["other"].TimeUnknown)
}

// Guards against an older version's bound that counts from a later naming than the next one, which a snapshot does not hold.
func TestKnownTimesOfTheNewestVersionsDoNotReplaceUnknownOnesBefore(t *testing.T) {
	at := time.Unix(100, 0)
	const bound = 13 * time.Second
	now := at
	other := New(func() time.Time { return now })
	for version := uint64(2); version <= 4; version++ {
		apply(t, other, &rpc.FleetCommand{Model: "m", Version: version})
		now = now.Add(time.Second)
	}
	data, err := other.Snapshot()
	require.NoError(t, err)
	known := other.State().Versions["m"].History()
	for name, heard := range map[string][]Version{"the newest first": {known[2], known[1]}, "the newest last": {known[1], known[2]}} {
		t.Run(name, func(t *testing.T) {
			l := New(func() time.Time { return now })
			require.NoError(t, l.Restore(data))
			for _, named := range heard {
				l.MergeNaming("m", named)
			}
			v := l.State().Versions["m"]
			assert.EqualValues(t, 2, v.Floor(now, bound), "version 2 may have been named long ago")
			assert.GreaterOrEqual(t, now.Sub(v.NamedAfter(1)), bound)
			assert.Equal(t, known[1].AppliedAt, v.NamedAfter(2))
			l.MergeNaming("m", known[0])
			assert.Equal(t, at, l.State().Versions["m"].NamedAfter(1))
		})
	}
}

// Guards against a version that may be used for too long by a process that has restored the newest one and hears the last namings, in
// any order.
func TestNamingsThatWereNotHeardDoNotExtendTheUseOfOlderVersions(t *testing.T) {
	start := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var all Version
		number, at := uint64(0), start
		for range rapid.IntRange(1, keptVersions).Draw(t, "versions") {
			number += rapid.Uint64Range(1, 3).Draw(t, "step")
			at = at.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "s")) * time.Second)
			all = all.Next(number, at)
		}
		history := all.History()
		v := UnknownNaming(all.Number, at)
		for _, named := range rapid.Permutation(history[rapid.IntRange(0, len(history)).Draw(t, "first"):]).Draw(t, "heard") {
			v, _ = v.Merge(named)
		}
		for n := uint64(firstVersion); n < all.Number; n++ {
			if used, may := v.NamedAfter(n), all.NamedAfter(n); used.After(may) {
				t.Fatalf("version %d may be used until %v and is used until %v", n, may, used)
			}
		}
	})
}

func TestReplayedNamingIsNotPlacedAtTheReplay(t *testing.T) {
	at := time.Unix(100, 0)
	l := New(func() time.Time { return at })
	l.BeginReplay()
	apply(t, l, &rpc.FleetCommand{Model: "m", Version: 2})
	l.EndReplay()
	apply(t, l, &rpc.FleetCommand{Model: "m", Version: 3})
	assert.EqualValues(t, 2, l.State().Versions["m"].Floor(at, time.Second))
	assert.Equal(t, at, l.State().Versions["m"].NamedAfter(2))
	l.MergeNaming("m", Version{Number: 2, AppliedAt: at.Add(-3 * time.Second)})
	assert.Equal(t, at.Add(-3*time.Second), l.State().Versions["m"].NamedAfter(1), "another control server knows the time")
}

// Guards against an age that an earlier build cannot read: it adds this many milliseconds.
func TestUnknownAgeIsLongForAnEarlierBuild(t *testing.T) {
	now := time.Unix(100, 0)
	m := NamingsToProto("m", UnknownNaming(2, now), now)[0]
	age := time.Duration(m.AgeMs) * time.Millisecond
	assert.Greater(t, age, 24*time.Hour)
	assert.Equal(t, age, now.Sub(now.Add(-age)))
	assert.True(t, NamingFromProto(m, now.Add(time.Second), true).TimeUnknown)
	assert.Equal(t, now, NamingFromProto(&rpc.ModelVersion{Model: "m", Version: 2, AgeMs: -5}, now, true).AppliedAt)
}

// Guards against a snapshot that an earlier build writes or reads otherwise: fleets are upgraded while they run.
func TestSnapshotOfAnEarlierBuildIsReadAndWritten(t *testing.T) {
	const earlier = "\b\a\x12\x05seven\x1a\x05\n\x01m\x10\x03"
	at := time.Unix(100, 0)
	l := New(func() time.Time { return at })
	require.NoError(t, l.Restore([]byte(earlier)))
	assert.EqualValues(t, 7, l.State().ConfigVersion)
	assert.EqualValues(t, 3, l.State().Versions["m"].Floor(at, time.Hour))
	l.MergeNaming("m", Version{Number: 2, AppliedAt: at.Add(-2 * time.Second)})
	l.MergeNaming("m", Version{Number: 3, AppliedAt: at.Add(-time.Second)})
	assert.Equal(t, at.Add(-2*time.Second), l.State().Versions["m"].NamedAfter(1))
	data, err := l.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, earlier, string(data))
}
