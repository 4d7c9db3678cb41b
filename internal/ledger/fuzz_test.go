package ledger

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/rpc"
)

func commands(t testing.TB) (seeds [][]byte) {
	digest := make([]byte, 16)
	for _, c := range []*rpc.FleetCommand{
		{}, {ConfigVersion: 3, Config: Deflate([]byte("{}"))}, {Model: "m", Version: 1 << 63}, {Model: "m"}, {Held: [][]byte{digest, nil, digest[:5]}},
		{Lifted: digest, Held: [][]byte{digest}}, {Evacuation: &rpc.Evacuation{Zone: "z", AgeMs: -1 << 63}}, {Evacuation: &rpc.Evacuation{Zone: "z", InForce: true}},
	} {
		data, err := proto.Marshal(c)
		require.NoError(t, err)
		seeds = append(seeds, data)
	}
	return seeds
}

// Guards against control servers that end at a record of the log, again at each replay.
func TestCommandThatCannotBeDecodedChangesNothing(t *testing.T) {
	valid := commands(t)[1]
	l := New(time.Now)
	l.Apply(1, valid)
	before := l.State()
	for _, data := range [][]byte{{0xff}, append([]byte{0x1a, 2, 0xff, 0xfe}, valid...), []byte("text")} {
		assert.Error(t, CheckCommand(data))
		assert.NotPanics(t, func() { assert.Error(t, l.Apply(2, data).(error)) })
		assert.Same(t, before, l.State())
	}
}

// FuzzCommand checks that what may be committed is applied, and read back equal from a snapshot.
func FuzzCommand(f *testing.F) {
	for _, seed := range commands(f) {
		f.Add(seed)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := New(time.Now)
		if err := CheckCommand(data); err != nil {
			require.Error(t, l.Apply(1, data).(error))
			return
		}
		require.Nil(t, l.Apply(1, data))
		require.Nil(t, l.Apply(2, data))
		state := l.State()
		snapshot, err := l.Snapshot()
		require.NoError(t, err)
		restored := New(time.Now)
		require.NoError(t, restored.Restore(snapshot))
		after := restored.State()
		require.Equal(t, state.ConfigVersion, after.ConfigVersion)
		require.Equal(t, state.Config, after.Config)
		require.True(t, slices.Equal(state.Quarantined, after.Quarantined))
		require.Equal(t, state.QuarantineIndex, after.QuarantineIndex)
		require.Len(t, after.Versions, len(state.Versions))
		for model, v := range state.Versions {
			require.Equal(t, v.Number, after.Versions[model].Number)
		}
		require.Len(t, after.Evacuations, len(state.Evacuations))
		for zone, e := range state.Evacuations {
			require.Equal(t, e.InForce, after.Evacuations[zone].InForce)
		}
	})
}
