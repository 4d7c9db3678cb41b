package fleetcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/rpc"
)

func TestUpdateSizesAddUpToTheUpdate(t *testing.T) {
	u := &rpc.FleetUpdate{
		Number: 7, ConfigVersion: 3, Config: make([]byte, 300), ControlAddrs: []string{"127.0.0.1:1"},
		Seen:    []*rpc.ServerSeen{{Id: "a", Seq: 1}, {Id: "b", Seq: 900}},
		Reports: []*rpc.AgentReport{{Addr: "127.0.0.1:2", Epoch: 1, Running: 3}},
		Servers: []*rpc.BackendServer{{Id: "a", Service: "s"}},
	}
	sum := 0
	for kind, size := range updateSizes(u) {
		assert.Positive(t, size, kind)
		sum += size
	}
	assert.Equal(t, proto.Size(u), sum)
}

func TestAcknowledgementLagIsThatOfTheOldestUpdate(t *testing.T) {
	h := testHub()
	f := h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	h.next(f)
	putConfig(t, h, 1)
	h.next(f)
	now := time.Now().Add(time.Second)
	assert.Equal(t, 1, h.acknowledgementLags(now)[""].late)
	h.acknowledge(f, &rpc.FollowerMessage{Acknowledged: 1})
	assert.Equal(t, 1, h.acknowledgementLags(now)[""].late)
	h.acknowledge(f, &rpc.FollowerMessage{Acknowledged: 2})
	assert.Equal(t, acknowledgementLag{followers: 1}, h.acknowledgementLags(now)[""])
}
