package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

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

func TestSnapshotHoldsAll(t *testing.T) {
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
