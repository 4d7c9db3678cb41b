package ledger

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Guards against a time that is later than the one of a control server that was heard, or that stays early after a better estimate.
func TestTimeOfNamingIsTheEarliestOfTheBestEstimates(t *testing.T) {
	start := time.Unix(100, 0)
	rapid.Check(t, func(t *rapid.T) {
		ms := func(most int, label string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		var applied []time.Time
		for range rapid.IntRange(1, 4).Draw(t, "control servers") {
			applied = append(applied, start.Add(ms(2000, "applied")))
		}
		best := map[uint64]time.Time{}
		var heard []Version
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			i := rapid.IntRange(0, len(applied)-1).Draw(t, "control server")
			server, estimate := uint64(i+1), applied[i].Add(-ms(3000, "delay of the stamp"))
			heard = append(heard, AppliedBy(server, 2, estimate))
			if estimate.After(best[server]) {
				best[server] = estimate
			}
		}
		want := time.Unix(math.MaxInt32, 0)
		for server, estimate := range best {
			if estimate.Before(want) {
				want = estimate
			}
			if want.After(applied[server-1]) {
				t.Fatal("no lower bound")
			}
		}
		for _, order := range [][]Version{heard, rapid.Permutation(heard).Draw(t, "other order")} {
			v := UnknownNaming(2, start)
			for _, named := range order {
				before := v
				var changed bool
				v, changed = v.Merge(named)
				moved := before.TimeUnknown || v.AppliedAt.Sub(before.AppliedAt).Abs() >= minCorrection
				if changed != moved {
					t.Fatalf("changed is %v", changed)
				}
			}
			if !v.AppliedAt.Equal(want) {
				t.Fatalf("%v in place of %v", v.AppliedAt, want)
			}
			if again, changed := v.Merge(heard[0]); changed || !sameTimes(again, v) {
				t.Fatal("a repetition changes it")
			}
		}
	})
}

// Guards against a restart of the chain of times by an earlier build, which tells no control server.
func TestTimeOfUnknownControlServerCountsIfItIsTheEarliest(t *testing.T) {
	at := time.Unix(100, 0)
	v := AppliedBy(7, 2, at)
	v, changed := v.Merge(Version{Number: 2, AppliedAt: at.Add(time.Second)})
	assert.False(t, changed)
	assert.Equal(t, at, v.AppliedAt)
	v, changed = v.Merge(Version{Number: 2, AppliedAt: at.Add(-time.Second)})
	assert.True(t, changed)
	assert.Equal(t, at.Add(-time.Second), v.AppliedAt)
	v, changed = v.Merge(Version{Number: 2, AppliedAt: at})
	assert.False(t, changed, "never later")
	assert.Equal(t, at.Add(-time.Second), v.AppliedAt)
}

func TestOwnTimeOfNamingIsNotReplacedByEstimatesOfOthers(t *testing.T) {
	at := time.Unix(100, 0)
	now := at
	l := New(func() time.Time { return now })
	apply(t, l, &rpc.FleetCommand{Model: "m", Version: 2})
	l.MergeNaming("m", AppliedBy(l.id, 2, at.Add(time.Second)))
	now = at.Add(time.Second)
	l.Acknowledged("m", 2)
	assert.Equal(t, at, l.State().Versions["m"].AppliedAt)
	l.MergeNaming("m", AppliedBy(l.id+1, 2, at.Add(-time.Second)))
	assert.Equal(t, at.Add(-time.Second), l.State().Versions["m"].AppliedAt)
	l.MergeNaming("m", AppliedBy(l.id+1, 2, at.Add(-time.Millisecond)))
	assert.Equal(t, at.Add(-time.Millisecond), l.State().Versions["m"].AppliedAt)
}

// Guards against a bound that counts from the election after which the entry is applied here.
func TestNamingAcknowledgedBeforeItIsAppliedCountsFromTheAcknowledgement(t *testing.T) {
	at := time.Unix(100, 0)
	now := at
	l := New(func() time.Time { return now })
	l.Acknowledged("m", 2)
	now = at.Add(time.Second)
	l.Acknowledged("m", 2)
	now = at.Add(2 * time.Second)
	apply(t, l, &rpc.FleetCommand{Model: "m", Version: 2})
	assert.Equal(t, at, l.State().Versions["m"].AppliedAt)
}

// Guards against followers that are all sent a naming again for a difference of some milliseconds.
func TestRefinementOfTimesIsKeptAndNotPublished(t *testing.T) {
	at := time.Unix(100, 0)
	l := New(func() time.Time { return at })
	apply(t, l, &rpc.FleetCommand{Model: "m", Version: 2})
	changed := l.Changed()
	l.MergeNaming("m", AppliedBy(l.id+1, 2, at.Add(-minCorrection+time.Millisecond)))
	l.MergeNaming("m", AppliedBy(l.id+2, 2, at.Add(time.Second)))
	select {
	case <-changed:
		t.Fatal("published")
	default:
	}
	v := l.State().Versions["m"]
	assert.Equal(t, at.Add(-minCorrection+time.Millisecond), v.AppliedAt)
	assert.Len(t, NamingsToProto("m", v, at.Add(time.Second)), 3, "with the next repetition")
	l.MergeNaming("m", AppliedBy(l.id+3, 2, at.Add(-time.Second)))
	<-changed
}

// Guards against rounding that makes a time later at each process that forwards it.
func TestForwardedTimeIsNoLaterThanTheOriginal(t *testing.T) {
	at := time.Unix(100, 0)
	v := AppliedBy(7, 2, at)
	now := at.Add(1500 * time.Microsecond)
	forwarded := NamingFromProto(NamingsToProto("m", v, now)[0], now, true)
	assert.False(t, forwarded.AppliedAt.After(at))
	assert.WithinDuration(t, at, forwarded.AppliedAt, time.Millisecond)
	back, changed := v.Merge(forwarded)
	assert.False(t, changed)
	assert.Equal(t, at, back.AppliedAt)
	unknown := NamingFromProto(NamingsToProto("m", v, now)[0], now, false)
	require.Empty(t, unknown.Applied, "a time that may be late is of no known control server")
}

// Guards against times of control servers that learned of a commit late, or are too early, where that of the leader is known.
func TestTimeOfTheLeaderThatCommittedANamingCounts(t *testing.T) {
	at := time.Unix(100, 0)
	early, committed, late := AppliedBy(1, 2, at.Add(-time.Second)), DecidedBy(2, 2, at), AppliedBy(3, 2, at.Add(time.Second))
	for _, order := range [][]Version{{early, committed, late}, {late, early, committed}, {committed, late, early}} {
		v := UnknownNaming(2, at)
		for _, named := range order {
			v, _ = v.Merge(named)
		}
		assert.Equal(t, at, v.AppliedAt)
		now := at.Add(3 * time.Second)
		forwarded := UnknownNaming(2, now)
		for _, m := range NamingsToProto("m", v, now) {
			forwarded, _ = forwarded.Merge(NamingFromProto(m, now, true))
		}
		assert.Equal(t, at, forwarded.AppliedAt)
	}
	v, _ := committed.Merge(AppliedBy(2, 2, at.Add(time.Millisecond))) // forwarded by an earlier build, less delayed
	v, _ = v.Merge(early)
	assert.Equal(t, at.Add(time.Millisecond), v.AppliedAt)
	v, _ = early.Merge(late)
	assert.Equal(t, at.Add(-time.Second), v.AppliedAt, "until it is known")
}

func TestNamingWithoutEvidenceOfItsTimeHasNone(t *testing.T) {
	at := time.Unix(100, 0)
	l := New(func() time.Time { return at })
	data, err := proto.Marshal(&rpc.FleetCommand{Model: "m", Version: 2})
	require.NoError(t, err)
	l.ApplyDated(1, data, func(string, uint64) Dating { return Dating{} })
	assert.True(t, l.State().Versions["m"].TimeUnknown)
	l.MergeNaming("m", DecidedBy(l.id+1, 2, at.Add(-time.Second)))
	assert.Equal(t, at.Add(-time.Second), l.State().Versions["m"].AppliedAt)
}
