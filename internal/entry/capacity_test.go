package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/rpc"
)

func TestChangesCapacity(t *testing.T) {
	state := &rpc.AgentState{
		Vm: "vm-1", Incarnation: 1, Seq: 7, Service: "drafts", InFlight: 2, ReportedLoad: 0.5, Concurrency: 8,
		Live: []*rpc.LiveVersion{{Model: "m", Version: "v1"}},
	}
	for name, tt := range map[string]struct {
		change func(*rpc.AgentState)
		want   bool
	}{
		"heartbeat":       {func(s *rpc.AgentState) { s.Seq++ }, false},
		"cache event":     {func(s *rpc.AgentState) { s.CacheEvents = []*rpc.CacheEvent{{Seq: 1}} }, false},
		"restarted":       {func(s *rpc.AgentState) { s.Incarnation++ }, true},
		"leaving":         {func(s *rpc.AgentState) { s.Leaving = true }, true},
		"other version":   {func(s *rpc.AgentState) { s.Live[0].Version = "v2" }, true},
		"nothing live":    {func(s *rpc.AgentState) { s.Live = nil }, true},
		"requests":        {func(s *rpc.AgentState) { s.InFlight++ }, true},
		"reported load":   {func(s *rpc.AgentState) { s.ReportedLoad = 0.6 }, true},
		"concurrency":     {func(s *rpc.AgentState) { s.Concurrency = 4 }, true},
		"nothing at all":  {func(*rpc.AgentState) {}, false},
		"another service": {func(s *rpc.AgentState) { s.Service = "other" }, true},
	} {
		next := proto.Clone(state).(*rpc.AgentState)
		tt.change(next)
		require.Equal(t, tt.want, changesCapacity(state, next), name)
	}
}
