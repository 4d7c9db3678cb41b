package follow

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// A control server that is too busy to serve its followers gets fewer new streams, one that is
// down is found at once when it is up again.
func TestPauseGrowsOnlyWhileAControlServerDoesNotServe(t *testing.T) {
	ended, refused := errors.New("ended"), fmt.Errorf("%w: refused", errNotConnected)
	unserved := 0
	for range 20 {
		unserved = countUnserved(unserved, refused, time.Millisecond)
	}
	assert.Equal(t, reconnectPause, pauseAfter(unserved))
	var pauses []time.Duration
	for range 8 {
		unserved = countUnserved(unserved, ended, silenceTimeout)
		pauses = append(pauses, pauseAfter(unserved))
	}
	assert.Equal(t, []time.Duration{1, 2, 4, 8, 16, 32}, []time.Duration{
		pauses[0] / reconnectPause, pauses[1] / reconnectPause, pauses[2] / reconnectPause, pauses[3] / reconnectPause,
		pauses[4] / reconnectPause, pauses[5] / reconnectPause,
	})
	assert.Equal(t, maxReconnectPause, pauses[7])
	assert.Equal(t, reconnectPause, pauseAfter(countUnserved(unserved, ended, servedAfter)))
}

func TestEntriesJoinAndLeaveByChanges(t *testing.T) {
	v := NewViewer(nil, nil, 0, zerolog.Nop())
	names := func() (out []string) {
		for _, e := range v.View().Entries {
			out = append(out, e.Name)
		}
		return out
	}
	entries := func(names ...string) (out []*rpc.Entry) {
		for _, name := range names {
			out = append(out, &rpc.Entry{Name: name})
		}
		return out
	}
	v.Update("c-1", &rpc.FleetUpdate{EntryChanges: &rpc.EntryChanges{Joined: entries("x")}}, Received(clock.Now()))
	assert.Empty(t, names(), "the list is not known yet")
	v.Update("c-1", &rpc.FleetUpdate{Entries: &rpc.EntryList{Entries: entries("a", "b")}}, Received(clock.Now()))
	v.Update("c-2", &rpc.FleetUpdate{Entries: &rpc.EntryList{Entries: entries("b", "c")}}, Received(clock.Now()))
	assert.Equal(t, []string{"a", "b", "c"}, names())
	v.Update("c-1", &rpc.FleetUpdate{EntryChanges: &rpc.EntryChanges{Joined: entries("d"), Left: []string{"a", "b"}}}, Received(clock.Now()))
	assert.Equal(t, []string{"b", "c", "d"}, names(), "b still follows the other control server")
	v.Lost("c-2")
	v.Update("c-1", &rpc.FleetUpdate{EntryChanges: &rpc.EntryChanges{Left: []string{"d"}}}, Received(clock.Now()))
	assert.Empty(t, names())
}

// Guards against a change of pace alone that does not reach the entry.
func TestReportsOfAgentsKeepTheirPace(t *testing.T) {
	v := NewViewer(nil, nil, 0, zerolog.Nop())
	var paces []float64
	v.OnReport = func(r *rpc.AgentReport, _ time.Duration) { paces = append(paces, r.Pace) }
	for seq, pace := range []float64{0, 2.5, 1} {
		v.Update("c-1", &rpc.FleetUpdate{Reports: []*rpc.AgentReport{{Addr: "127.0.0.1:1", Epoch: 1, Seq: uint64(seq + 1), Pace: pace}}}, Received(clock.Now()))
	}
	assert.Equal(t, []float64{0, 2.5, 1}, paces)
}

// Guards against an open stream on which nothing is sent, after its control server was dropped and listed again while its
// former stream was still being closed.
func TestEndOfAFormerStreamKeepsTheNewOneOfTheSameAddress(t *testing.T) {
	former, current := &fakeStream{}, &fakeStream{}
	c := connected(map[string]*fakeStream{"control": former})
	c.known["control"] = &source{}
	c.setStream("control", current, 0)
	c.removeStream("control", former)
	require.Len(t, c.streams(), 1)
	c.removeStream("control", current)
	assert.Empty(t, c.streams())
}

// Guards against a control server that is never followed over a path that delays each direction by more than the silence after which a
// stream is closed.
func TestFirstMessageMayTakeLongerAfterASilence(t *testing.T) {
	assert.Equal(t, silenceTimeout, firstTimeout(0, false))
	assert.Greater(t, firstTimeout(0, true), 4*time.Second)
	assert.Equal(t, firstTimeout(0, true), firstTimeout(20, false))
}
