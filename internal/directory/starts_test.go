package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// born returns an announcement of a start under the id of another one.
func born(at int64, seq uint64, state fleet.State) fleet.BackendServer {
	b := announced("a", seq, 100+int64(seq))
	b.Born, b.State = at, state
	return b
}

// TestLaterStartUnderOneIDIsAnotherServer: a server starts again under its id, and counts
// its announcements from 1 again.
func TestLaterStartUnderOneIDIsAnotherServer(t *testing.T) {
	for _, before := range []fleet.State{fleet.StateReady, fleet.StateDraining, fleet.StateGone} {
		d := New(time.Second)
		former := born(1000, 40, before)
		former.Models = []fleet.Loaded{{Model: "m", Version: 2, To: 16}}
		d.Merge(former)
		assert.Equal(t, Changed, d.Merge(born(2000, 1, fleet.StateReady)), "after %s", before)
		got := d.Get("a")
		assert.Equal(t, fleet.StateReady, got.State)
		assert.EqualValues(t, 1, got.Seq)
		assert.Empty(t, got.Models, "it holds nothing of before")
		assert.Equal(t, time.Unix(100, 0), got.StartedAt, "its own start")

		assert.Equal(t, Unchanged, d.Merge(born(1000, 41, fleet.StateReady)), "a late announcement")
		assert.Equal(t, Unchanged, d.Merge(fleet.BackendServer{ID: "a", Born: 1000, State: fleet.StateGone}), "a late leave")
		assert.Equal(t, Unchanged, d.Renew("a", 1000, 60, time.Unix(200, 0)), "heard of elsewhere")
		assert.Equal(t, fleet.StateReady, d.Get("a").State)
		assert.Equal(t, Renewed, d.Renew("a", 2000, 2, time.Unix(102, 0)))
		assert.Equal(t, Changed, d.Merge(fleet.BackendServer{ID: "a", Born: 2000, State: fleet.StateGone}))
		assert.Equal(t, "127.0.0.1:1", d.Get("a").Addr)
	}
}

func TestLeaveThatDoesNotTellItsStartIsOfTheOneThatIsKnown(t *testing.T) {
	d := New(time.Second)
	d.Merge(born(1000, 40, fleet.StateReady))
	assert.Equal(t, Changed, d.Merge(fleet.BackendServer{ID: "a", State: fleet.StateGone}))
	assert.EqualValues(t, 1000, d.Get("a").Born)
	assert.Equal(t, Unchanged, d.Merge(born(1000, 41, fleet.StateReady)))
	assert.Equal(t, Changed, d.Merge(born(2000, 1, fleet.StateReady)))
}

func TestLeaveOfALaterStartEndsTheFormerOne(t *testing.T) {
	d := New(time.Second)
	d.Merge(born(1000, 40, fleet.StateReady))
	assert.Equal(t, Changed, d.Merge(fleet.BackendServer{ID: "a", Born: 2000, State: fleet.StateGone}))
	assert.Equal(t, fleet.StateGone, d.Get("a").State)
	assert.Equal(t, Unchanged, d.Merge(born(1000, 41, fleet.StateReady)))
}

// TestMergeOfTwoStartsTakesAnyOrder: what is known in the end does not depend on the order
// in which announcements of two starts arrive, nor on repetitions.
func TestMergeOfTwoStartsTakesAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.Custom(func(t *rapid.T) fleet.BackendServer {
			return born(rapid.SampledFrom([]int64{1000, 2000}).Draw(t, "born"), rapid.Uint64Range(1, 8).Draw(t, "seq"), fleet.StateReady)
		})
		all := rapid.SliceOfN(one, 1, 8).Draw(t, "announcements")
		first, second := merged(all...), merged(append(rapid.Permutation(all).Draw(t, "order"), all...)...)
		assert.Equal(t, first.Get("a").Born, second.Get("a").Born)
		assert.Equal(t, first.Get("a").Seq, second.Get("a").Seq)
	})
}
