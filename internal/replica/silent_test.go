package replica

import (
	"testing"
	"time"
)

// silentTick is long enough that a busy machine leaves no gap of three election timeouts
// in what a server says by itself; such a gap would hide a connection that is kept.
const silentTick = 40 * time.Millisecond

// newRelayedCluster starts three servers whose messages all pass relays, by name of the
// server they lead to.
func newRelayedCluster(t *testing.T) (*cluster, map[string]*relay) {
	c := &cluster{t: t, servers: map[string]*server{}}
	relays := map[string]*relay{}
	listen := map[string]string{}
	for _, name := range []string{"c0", "c1", "c2"} {
		listen[name] = reserveAddr(t)
		relays[name] = newRelay(t, listen[name])
		c.peers = append(c.peers, Member{Name: name, Addr: relays[name].lis.Addr().String()})
	}
	for _, p := range c.peers {
		c.addAt(p, listen[p.Name], func(cfg *Config) { cfg.TickInterval, cfg.RetireAfter = silentTick, time.Hour })
	}
	return c, relays
}

// Connections to a follower that go silent for good are replaced, though the follower
// itself, over connections of its own, is heard all the time.
func TestConnectionsThatGoSilentOneWayAreReplaced(t *testing.T) {
	c, relays := newRelayedCluster(t)
	c.propose("one")
	c.requireList("one")
	leader := c.leader()
	for name, relay := range relays {
		if name != leader.cfg.Name {
			relay.cut()
			relay.heal()
			break
		}
	}
	c.propose("two")
	c.requireList("one", "two")
}
