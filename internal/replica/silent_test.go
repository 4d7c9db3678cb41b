package replica

import (
	"testing"
	"time"
)

// silentTick is long enough that a server on a busy machine never pauses its messages for
// three election timeouts; such a pause would hide that a silent connection is kept.
const silentTick = 40 * time.Millisecond

// Connections to a follower that discard all data must be replaced, even though the
// follower's own messages keep arriving over other connections.
func TestOneWaySilentConnectionsAreReplaced(t *testing.T) {
	c, relays := newRelayedCluster(t, func(cfg *Config) { cfg.TickInterval, cfg.RetireAfter = silentTick, time.Hour })
	c.propose("one")
	c.requireList("one")
	leader := c.leader()
	for name, relay := range relays {
		if name != leader.cfg.Name {
			relay.silenceOpenConns()
			break
		}
	}
	c.propose("two")
	c.requireList("one", "two")
}
