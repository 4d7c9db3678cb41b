package follow

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// countingStream counts the messages sent on it.
type countingStream struct {
	rpc.DRPCFleet_FollowClient
	sent int
}

func (s *countingStream) Send(*rpc.FollowerMessage) error {
	s.sent++
	return nil
}

// Guards against one control server that forwards the reports of most agents, and fills its region's links.
func TestReportsAreSpreadOverControlServers(t *testing.T) {
	const agents, servers = 1000, 10
	sent := map[string]int{}
	for i := range agents {
		c := New(Config{Name: fmt.Sprint("agent-", i), MaxServers: 2, Logger: zerolog.Nop()})
		for j := range servers {
			c.known[fmt.Sprintf("10.%d.0.1:7100", j)] = &source{}
		}
		for addr, s := range c.known {
			if c.mayFollow(addr) {
				s.stream = &countingStream{}
			}
		}
		c.SendReport(&rpc.AgentReport{}, false)
		for addr, s := range c.known {
			if stream, ok := s.stream.(*countingStream); ok {
				sent[addr] += stream.sent
			}
		}
	}
	assert.Len(t, sent, servers)
	for addr, n := range sent {
		assert.Less(t, n, agents/servers*3/2, addr)
	}
}
