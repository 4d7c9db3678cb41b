package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// incarnation returns an announcement of the incarnation of server a with this StartUnixMs.
func incarnation(at int64, seq uint64, state fleet.State) fleet.BackendServer {
	b := announced("a", seq, 100+int64(seq))
	b.StartUnixMs, b.State = at, state
	return b
}

// A server that restarts with its id counts its announcements from 1 again; compared by
// sequence number alone they would be taken for outdated ones.
func TestLaterIncarnationReplacesEarlierOne(t *testing.T) {
	for _, before := range []fleet.State{fleet.StateReady, fleet.StateDraining, fleet.StateGone} {
		d := New(time.Second)
		former := incarnation(1000, 40, before)
		former.Models = []fleet.Loaded{{Model: "m", Version: 2, To: 16}}
		d.Merge(former)
		assert.Equal(t, Changed, d.Merge(incarnation(2000, 1, fleet.StateReady)), "after %s", before)
		got := d.Get("a")
		assert.Equal(t, fleet.StateReady, got.State)
		assert.EqualValues(t, 1, got.Seq)
		assert.Empty(t, got.Models, "models of the earlier incarnation")
		assert.Equal(t, time.Unix(100, 0), got.StartedAt, "start of the later incarnation")

		assert.Equal(t, Unchanged, d.Merge(incarnation(1000, 41, fleet.StateReady)), "a late announcement")
		assert.Equal(t, Unchanged, d.Merge(fleet.BackendServer{ID: "a", StartUnixMs: 1000, State: fleet.StateGone}), "a late leave")
		assert.Equal(t, Unchanged, d.Renew("a", 1000, 60, time.Unix(200, 0)), "forwarded by another control server")
		assert.Equal(t, fleet.StateReady, d.Get("a").State)
		assert.Equal(t, Renewed, d.Renew("a", 2000, 2, time.Unix(102, 0)))
		assert.Equal(t, Changed, d.Merge(fleet.BackendServer{ID: "a", StartUnixMs: 2000, State: fleet.StateGone}))
		assert.Equal(t, "127.0.0.1:1", d.Get("a").Addr)
	}
}

func TestLeaveWithoutBornAppliesToKnownIncarnation(t *testing.T) {
	d := New(time.Second)
	d.Merge(incarnation(1000, 40, fleet.StateReady))
	assert.Equal(t, Changed, d.Merge(fleet.BackendServer{ID: "a", State: fleet.StateGone}))
	assert.EqualValues(t, 1000, d.Get("a").StartUnixMs)
	assert.Equal(t, Unchanged, d.Merge(incarnation(1000, 41, fleet.StateReady)))
	assert.Equal(t, Changed, d.Merge(incarnation(2000, 1, fleet.StateReady)))
}

func TestLeaveOfLaterIncarnationReplacesEarlierOne(t *testing.T) {
	d := New(time.Second)
	d.Merge(incarnation(1000, 40, fleet.StateReady))
	assert.Equal(t, Changed, d.Merge(fleet.BackendServer{ID: "a", StartUnixMs: 2000, State: fleet.StateGone}))
	assert.Equal(t, fleet.StateGone, d.Get("a").State)
	assert.Equal(t, Unchanged, d.Merge(incarnation(1000, 41, fleet.StateReady)))
}

// The record does not depend on the order in which announcements of two incarnations
// arrive, nor on repetitions.
func TestMergeOfTwoIncarnationsIsCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.Custom(func(t *rapid.T) fleet.BackendServer {
			return incarnation(rapid.SampledFrom([]int64{1000, 2000}).Draw(t, "born"), rapid.Uint64Range(1, 8).Draw(t, "seq"), fleet.StateReady)
		})
		all := rapid.SliceOfN(one, 1, 8).Draw(t, "announcements")
		first, second := merged(all...), merged(append(rapid.Permutation(all).Draw(t, "order"), all...)...)
		assert.Equal(t, first.Get("a").StartUnixMs, second.Get("a").StartUnixMs)
		assert.Equal(t, first.Get("a").Seq, second.Get("a").Seq)
	})
}
