package fleetcontrol

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/rpc"
)

func testHub() *hub {
	return newHub(ledger.New(time.Now), func() []string { return []string{"127.0.0.1:1"} }, time.Second, nil, zerolog.Nop())
}

func putConfig(t *testing.T, h *hub, version uint64) {
	t.Helper()
	data, err := proto.Marshal(&rpc.FleetCommand{ConfigVersion: version, Config: []byte{byte(version)}})
	require.NoError(t, err)
	h.ledger.Apply(version, data)
}

func TestAcceptedConfigurationIsNotSentAgain(t *testing.T) {
	h := testHub()
	f := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	putConfig(t, h, 3)
	assert.EqualValues(t, 3, h.next(f).ConfigVersion)
	assert.Nil(t, h.next(f))
	h.acknowledge(f, &rpc.FollowerMessage{ConfigVersion: 4}) // from another control server
	putConfig(t, h, 4)
	assert.Nil(t, h.next(f))
	h.acknowledge(f, &rpc.FollowerMessage{ConfigVersion: 2}) // delayed
	putConfig(t, h, 5)
	assert.EqualValues(t, 5, h.next(f).ConfigVersion)
}

func TestConfigurationsForAgentsAreRateLimited(t *testing.T) {
	h := testHub()
	putConfig(t, h, 1)
	f := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleAgent})
	assert.EqualValues(t, 1, h.next(f).ConfigVersion, "the first one at once")
	putConfig(t, h, 2)
	assert.Nil(t, h.next(f))
	f.configAt = f.configAt.Add(-agentConfigInterval)
	assert.EqualValues(t, 2, h.next(f).ConfigVersion)
}

func TestEntriesReceiveListOfEntries(t *testing.T) {
	h := testHub()
	b := h.join(&rpc.FollowerMessage{Name: "b", Role: RoleEntry, Zone: "z1"})
	h.join(&rpc.FollowerMessage{Name: "agent", Role: RoleAgent, Zone: "z1"})
	u := h.next(b)
	require.NotNil(t, u.Entries)
	assert.Len(t, u.Entries.Entries, 1)
	a := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleEntry, Zone: "z2"})
	u = h.next(b)
	require.NotNil(t, u.Entries)
	require.Len(t, u.Entries.Entries, 2)
	assert.Equal(t, "a", u.Entries.Entries[0].Name)
	assert.Equal(t, "z2", u.Entries.Entries[0].Zone)
	assert.Nil(t, h.next(b), "nothing has changed")
	h.leave(a)
	u = h.next(b)
	require.NotNil(t, u)
	assert.Len(t, u.Entries.Entries, 1)
}

func TestControlServersAreSentOnlyWhenTheyChange(t *testing.T) {
	h := testHub()
	f := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	assert.Equal(t, []string{"127.0.0.1:1"}, h.next(f).ControlAddrs)
	putConfig(t, h, 1)
	assert.Empty(t, h.next(f).ControlAddrs)
	h.controlAddrs = func() []string { return []string{"127.0.0.1:1", "127.0.0.2:1"} }
	assert.Len(t, h.next(f).ControlAddrs, 2)
}
