package transfer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

// neverLate is a timeout that does not expire in a test, so that no member
// becomes late, however slow the machine is.
const neverLate = 100 * patience

// timely returns options for n nodes of which none becomes late.
func timely(n int, adjust func(*Config)) map[int]nodeOptions {
	opts := map[int]nodeOptions{}
	for i := range n {
		opts[i] = nodeOptions{config: func(c *Config) {
			c.Swarm.OriginDeadline, c.Swarm.ProgressTimeout = neverLate, neverLate
			if adjust != nil {
				adjust(c)
			}
		}}
	}
	return opts
}

func TestEveryStrategyStagesOnAllMembers(t *testing.T) {
	for _, strategy := range []swarm.Strategy{
		swarm.StrategySwarm, swarm.StrategyOrigin, swarm.StrategyZoneTree, swarm.StrategyChain,
	} {
		t.Run(string(strategy), func(t *testing.T) {
			origin := newFakeOrigin(t)
			data := weightsOf(1, testChunks)
			ref := origin.publish(t, "v1", data)
			nodes := startNodes(t, 8, timely(8, func(c *Config) { c.Strategy = strategy }))
			want(nodes, nodes, ref)
			requireStaged(t, nodes, "v1", data)
			if strategy == swarm.StrategySwarm {
				require.Equal(t, int64(len(data)), origin.sent.Load(), "the origin sends each chunk once")
			}
		})
	}
}
