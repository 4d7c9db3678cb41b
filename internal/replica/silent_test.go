package replica

import (
	"testing"
	"time"
)

// silentTick is long enough that a busy machine leaves no gap of three election timeouts
// in what a server says by itself; such a gap would hide a connection that is kept.
const silentTick = 40 * time.Millisecond

// Connections to a follower that go silent for good are replaced, though the follower
// itself, over connections of its own, is heard all the time.
func TestConnectionsThatGoSilentOneWayAreReplaced(t *testing.T) {
	c, relays := relayed(t, func(cfg *Config) { cfg.TickInterval, cfg.RetireAfter = silentTick, time.Hour })
	c.propose("one")
	c.requireList("one")
	leader := c.leader()
	for name, relay := range relays {
		if name != leader.cfg.Name {
			relay.silence()
			break
		}
	}
	c.propose("two")
	c.requireList("one", "two")
}
