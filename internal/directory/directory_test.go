package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
)

func server(seq uint64, state fleet.State) fleet.BackendServer {
	return fleet.BackendServer{ID: "a", Service: "s", Addr: "127.0.0.1:1", Seq: seq, State: state, SeenAt: time.Unix(int64(seq), 0)}
}

func TestLateAnnouncementChangesNothing(t *testing.T) {
	d := New()
	assert.Equal(t, Changed, d.Merge(server(5, fleet.StateReady)))
	assert.Equal(t, Unchanged, d.Merge(server(4, fleet.StateReady)))
	assert.Equal(t, Renewed, d.Merge(server(6, fleet.StateReady)))
	assert.EqualValues(t, 6, d.Get("a").Seq)
}

func TestServerThatLeavesDoesNotComeBack(t *testing.T) {
	d := New()
	d.Merge(server(5, fleet.StateReady))
	assert.Equal(t, Changed, d.Merge(server(6, fleet.StateDraining)))
	assert.Equal(t, Unchanged, d.Merge(server(9, fleet.StateReady)), "a late announcement")
	assert.Equal(t, Changed, d.Merge(fleet.BackendServer{ID: "a", State: fleet.StateGone}))
	assert.Equal(t, Unchanged, d.Merge(server(10, fleet.StateDraining)))
	assert.Equal(t, fleet.StateGone, d.Get("a").State)
	assert.Equal(t, "s", d.Get("a").Service, "a leave tells the id only")
}

func TestLeaveOfUnknownServerIsKept(t *testing.T) {
	d := New()
	d.Merge(fleet.BackendServer{ID: "a", State: fleet.StateGone, SeenAt: time.Unix(1, 0)})
	assert.Equal(t, Unchanged, d.Merge(server(3, fleet.StateReady)))
	assert.Equal(t, fleet.StateGone, d.Get("a").State)
}

func TestForget(t *testing.T) {
	d := New()
	d.Merge(server(1, fleet.StateGone))
	d.Forget(time.Unix(30, 0))
	assert.NotNil(t, d.Get("a"))
	d.Forget(time.Unix(100, 0))
	assert.Nil(t, d.Get("a"))
}
