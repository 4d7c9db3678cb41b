package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

func apply(t *testing.T, l *Ledger, c *rpc.FleetCommand) {
	t.Helper()
	data, err := proto.Marshal(c)
	require.NoError(t, err)
	l.Apply(1, data)
}

func TestHighestVersionWins(t *testing.T) {
	l := New(time.Now)
	apply(t, l, &rpc.FleetCommand{ConfigVersion: 7, Config: []byte("seven")})
	apply(t, l, &rpc.FleetCommand{ConfigVersion: 5, Config: []byte("five")})
	apply(t, l, &rpc.FleetCommand{ConfigVersion: 7, Config: []byte("other seven")})
	assert.Equal(t, "seven", string(l.State().Config))
	apply(t, l, &rpc.FleetCommand{Model: "m", Version: 3})
	apply(t, l, &rpc.FleetCommand{Model: "m", Version: 2})
	assert.EqualValues(t, 3, l.State().Versions["m"].Number)
	assert.EqualValues(t, 7, l.State().ConfigVersion)
}

func TestSnapshotRestoresDocumentAndVersions(t *testing.T) {
	l := New(time.Now)
	apply(t, l, &rpc.FleetCommand{ConfigVersion: 7, Config: Deflate([]byte("seven"))})
	apply(t, l, &rpc.FleetCommand{Model: "m", Version: 3})
	data, err := l.Snapshot()
	require.NoError(t, err)
	other := New(time.Now)
	require.NoError(t, other.Restore(data))
	document, err := Inflate(other.State().Config)
	require.NoError(t, err)
	assert.Equal(t, "seven", string(document))
	assert.EqualValues(t, 3, other.State().Versions["m"].Number)
	assert.Error(t, other.Restore([]byte{0xff}))
}

func TestFloorCountsEachVersionFromItsOwnNaming(t *testing.T) {
	start := time.Unix(100, 0)
	const bound = 8 * time.Second
	v := Version{}.Next(2, start).Next(3, start.Add(2*time.Second))
	assert.EqualValues(t, 0, v.Floor(start.Add(7*time.Second), bound))
	assert.EqualValues(t, 2, v.Floor(start.Add(8*time.Second), bound), "version 1 is older than the bound allows, 2 is not")
	assert.EqualValues(t, 3, v.Floor(start.Add(10*time.Second), bound))
	assert.Equal(t, start, v.NamedAfter(1))
	assert.Equal(t, start.Add(2*time.Second), v.NamedAfter(2))
	assert.True(t, v.NamedAfter(3).IsZero())
	for i := range uint64(20) {
		v = v.Next(4+i, start)
	}
	assert.LessOrEqual(t, len(v.History()), keptVersions+1)
}

func TestQuarantinedContentsAreReplicatedAndBounded(t *testing.T) {
	l := New(time.Now)
	digest := func(n int) []byte {
		d := quarantine.DigestOf("org", "POST", "h", fmt.Sprint(n), nil)
		return d[:]
	}
	apply(t, l, &rpc.FleetCommand{Held: [][]byte{digest(1), digest(1), []byte("no digest")}})
	assert.Len(t, l.State().Quarantined, 1)
	for i := range maxQuarantined {
		apply(t, l, &rpc.FleetCommand{Held: [][]byte{digest(i + 1)}})
	}
	apply(t, l, &rpc.FleetCommand{Held: [][]byte{digest(-1)}})
	quarantined := l.State().Quarantined
	assert.Len(t, quarantined, maxQuarantined)
	assert.Equal(t, quarantine.Digest(digest(-1)), quarantined[maxQuarantined-1].Digest, "the oldest is dropped")
	data, err := l.Snapshot()
	require.NoError(t, err)
	other := New(time.Now)
	require.NoError(t, other.Restore(data))
	assert.Equal(t, quarantined, other.State().Quarantined)
	apply(t, l, &rpc.FleetCommand{Lifted: digest(-1)})
	assert.Equal(t, quarantined[:maxQuarantined-1], l.State().Quarantined, "released by an operator")
}

func TestDelayedOrderAboutAZoneDoesNotUndoALaterOne(t *testing.T) {
	at := time.Unix(100, 0)
	l := New(func() time.Time { return at })
	order := func(index, last uint64, inForce bool) Evacuation {
		data, err := proto.Marshal(&rpc.FleetCommand{Evacuation: &rpc.Evacuation{Zone: "z", InForce: inForce, Order: last}})
		require.NoError(t, err)
		l.Apply(index, data)
		return l.State().Evacuations["z"]
	}
	assert.Equal(t, Evacuation{Order: 5, InForce: true, AppliedAt: at}, order(5, 0, true))
	assert.Equal(t, Evacuation{Order: 5, InForce: true, AppliedAt: at}, order(6, 0, true), "sent again")
	assert.Equal(t, Evacuation{Order: 7, AppliedAt: at}, order(7, 5, false))
	assert.Equal(t, Evacuation{Order: 7, AppliedAt: at}, order(8, 0, true), "given before both")
	assert.Equal(t, Evacuation{Order: 9, InForce: true, AppliedAt: at}, order(9, 7, true))
	data, err := l.Snapshot()
	require.NoError(t, err)
	other := New(l.now)
	require.NoError(t, other.Restore(data))
	assert.Equal(t, l.State().Evacuations, other.State().Evacuations)
	merged, changed := MergeEvacuations(other.State().Evacuations, []*rpc.Evacuation{{Zone: "z", Order: 7}, {Zone: "y", Order: 3, InForce: true, AgeMs: 1000}}, at)
	assert.Equal(t, map[string]Evacuation{"z": {Order: 9, InForce: true, AppliedAt: at}, "y": {Order: 3, InForce: true, AppliedAt: at.Add(-time.Second)}}, merged)
	assert.Equal(t, []string{"y"}, changed, "a control server that is behind changes nothing")
	assert.Len(t, other.State().Evacuations, 1, "the state is not changed in place")
}
