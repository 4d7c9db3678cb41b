package fleetcontrol

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const (
	testRegions        = 3
	controlsPerRegion  = 2
	serversPerEntry    = 2
	presenceSettleTime = 4 * time.Second
	maxPresenceGrowth  = 2.3 // at twice the fleet, where 2 is in proportion to it
	countedRounds      = 5
	roundTimeout       = 15 * time.Second
	documentBytes      = 18 << 10
	// configApplyBound is the time within which a configuration must be in force.
	configApplyBound    = 2 * time.Second
	startOfServersEpoch = 1_000_000
)

// presenceFleet is a fleet of hubs and entries in several regions, one zone each, over loopback connections. It counts the bytes
// of updates between regions.
type presenceFleet struct {
	hubs    []*hub
	entries []*presenceEntry
	servers int
	clients []*follow.Client
	// addrs are those of the control servers, zones their zones.
	addrs []string
	zones map[string]string

	mu       sync.Mutex
	crossing int
	// cutOff is a control server that the others don't hear, and that hears none of them; empty: none.
	cutOff string
}

// presenceEntry is what an entry knows of the servers.
type presenceEntry struct {
	mu       sync.Mutex
	seqs     map[string]uint64
	reported map[string]uint64
	document uint64
}

func testRegion(zone string) string { return strings.TrimSuffix(zone, "-a") }

func testZone(region int) string { return fmt.Sprintf("r%d-a", region) }

// newPresenceFleet starts a fleet with this many entries in each region.
func newPresenceFleet(t *testing.T, entriesPerRegion int) *presenceFleet {
	p := &presenceFleet{servers: testRegions * entriesPerRegion * serversPerEntry, zones: map[string]string{}}
	for i := range testRegions * controlsPerRegion {
		h := testHub()
		h.pauses.now = clock.Now
		h.regionOf, h.zone = testRegion, testZone(i/controlsPerRegion)
		h.addr = serveHub(t, h)
		p.hubs = append(p.hubs, h)
		p.addrs = append(p.addrs, h.addr)
		p.zones[h.addr] = h.zone
	}
	for _, h := range p.hubs {
		p.addPeers(h)
	}
	for i := range testRegions * entriesPerRegion {
		p.addEntry(fmt.Sprint("entry-", i), testZone(i/entriesPerRegion))
	}
	p.run(t)
	followers := len(p.entries) + len(p.hubs) - 1
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(p.hubs, func(h *hub) bool { return total(h.acknowledgementLags(clock.Now())) < followers })
	}, roundTimeout, 10*time.Millisecond)
	return p
}

// addPeers has a control server follow the others.
func (p *presenceFleet) addPeers(h *hub) {
	peers := p.client(follow.Config{Name: h.addr, Zone: h.zone, Role: RoleControl, Self: h.addr}, func(u *rpc.FleetUpdate, source string, at follow.Anchor) {
		if !p.cut(h.addr, source) {
			h.mergePeerUpdate(source, u, at)
		}
	})
	h.controlAddrs, h.peers = p.listed, peers.Zones
	h.forwarding = func() []string {
		return slices.DeleteFunc(peers.Forwarding(), func(source string) bool { return p.cut(h.addr, source) })
	}
}

func (p *presenceFleet) addEntry(name, zone string) {
	e := &presenceEntry{seqs: map[string]uint64{}, reported: map[string]uint64{}}
	p.entries = append(p.entries, e)
	cfg := follow.Config{Name: name, Zone: zone, Role: RoleEntry, RegionOf: testRegion, ConfigVersion: e.configVersion}
	p.client(cfg, func(u *rpc.FleetUpdate, _ string, _ follow.Anchor) { e.update(u) })
}

// client returns a client that counts the bytes that it is sent from other regions. It runs from run on.
func (p *presenceFleet) client(cfg follow.Config, update func(*rpc.FleetUpdate, string, follow.Anchor)) *follow.Client {
	cfg.Seeds, cfg.Logger, cfg.Lost = p.listed, zerolog.Nop(), func(string) {}
	cfg.Update = func(source string, u *rpc.FleetUpdate, at follow.Anchor) {
		if testRegion(p.zones[source]) != testRegion(cfg.Zone) {
			p.mu.Lock()
			p.crossing += proto.Size(u)
			p.mu.Unlock()
		}
		update(u, source, at)
	}
	client := follow.New(cfg)
	p.clients = append(p.clients, client)
	return client
}

// run runs the control servers and all clients until the end of the test.
func (p *presenceFleet) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, h := range p.hubs {
		running.Go(func() { h.run(ctx) })
	}
	for _, client := range p.clients {
		running.Go(func() { _ = client.Run(ctx) })
	}
}

func (p *presenceFleet) listed() []string { return p.addrs }

func total(lags map[string]acknowledgementLag) (n int) {
	for _, lag := range lags {
		n += lag.followers
	}
	return n
}

func (e *presenceEntry) update(u *rpc.FleetUpdate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.document = max(e.document, u.ConfigVersion)
	for _, s := range u.Servers {
		e.seqs[s.Id] = max(e.seqs[s.Id], s.Seq)
	}
	for _, s := range u.Seen {
		e.seqs[s.Id] = max(e.seqs[s.Id], s.Seq)
	}
	for _, r := range u.Reports {
		e.reported[r.Addr] = max(e.reported[r.Addr], r.Seq)
	}
}

func (e *presenceEntry) configVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.document
}

func (e *presenceEntry) knows(servers int, seq uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range servers {
		if e.seqs[testServer(i)] < seq || e.reported[testServerAddr(i)] < seq {
			return false
		}
	}
	return true
}

func testServer(i int) string     { return fmt.Sprint("server-", i) }
func testServerAddr(i int) string { return fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256) }

// round has each server announce itself and each agent report to one of the control servers, and waits until all entries know.
func (p *presenceFleet) round(t *testing.T, seq uint64) {
	t.Helper()
	for i := range p.servers {
		h := p.hubs[i%len(p.hubs)]
		require.NoError(t, h.announce(t.Context(), fleet.BackendServer{
			ID: testServer(i), Service: "s", Addr: testServerAddr(i), Zone: testZone(i % testRegions), Slots: 8, Seq: seq, StartUnixMs: startOfServersEpoch, SeenAt: clock.Now(),
		}))
		h.mergeReport(&rpc.AgentReport{Addr: testServerAddr(i), Epoch: 1, Seq: seq, Running: 3, Born: startOfServersEpoch})
	}
	require.Eventually(t, func() bool {
		for _, e := range p.entries {
			if !e.knows(p.servers, seq) {
				return false
			}
		}
		return true
	}, roundTimeout, 10*time.Millisecond)
}

// crossingPerRound returns the median bytes of updates between regions for one announcement and one report of each server.
func (p *presenceFleet) crossingPerRound(t *testing.T) float64 {
	seq := uint64(1)
	for settled := time.Now().Add(presenceSettleTime); time.Now().Before(settled); seq++ {
		p.round(t, seq)
	}
	var rounds []int
	for range countedRounds {
		before := p.crossed()
		p.round(t, seq)
		rounds = append(rounds, p.crossed()-before)
		seq++
	}
	slices.Sort(rounds)
	return float64(rounds[countedRounds/2])
}

// cut reports whether two control servers are cut off from each other.
func (p *presenceFleet) cut(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff == a || p.cutOff == b
}

func (p *presenceFleet) crossed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crossing
}

// Guards against renewals and reports that cross the links between regions once for each entry, and fill them.
func TestPresenceBetweenRegionsGrowsWithTheFleetAlone(t *testing.T) {
	var small, large float64
	t.Run("small", func(t *testing.T) { small = newPresenceFleet(t, 6).crossingPerRound(t) })
	t.Run("large", func(t *testing.T) { large = newPresenceFleet(t, 12).crossingPerRound(t) })
	require.Positive(t, small)
	t.Logf("bytes between regions in each round: %.0f with %d entries, %.0f with twice as many", small, 6*testRegions, large)
	assert.Less(t, large/small, maxPresenceGrowth)
}

// Guards against entries that hear no more of the servers that announce themselves to a control server that is cut off from the others.
func TestPresenceOfAControlServerThatIsCutOffReachesAllEntries(t *testing.T) {
	p := newPresenceFleet(t, 2)
	p.round(t, 1)
	p.mu.Lock()
	p.cutOff = p.addrs[0]
	p.mu.Unlock()
	p.round(t, 2)
	p.round(t, 3)
	p.mu.Lock()
	p.cutOff = ""
	p.mu.Unlock()
	p.round(t, 4)
}

// commit puts a document of some size into the logs of these control servers, and waits until all entries have it.
func (p *presenceFleet) commit(t *testing.T, version uint64, hubs []*hub) {
	t.Helper()
	data, err := proto.Marshal(&rpc.FleetCommand{ConfigVersion: version, Config: make([]byte, documentBytes)})
	require.NoError(t, err)
	for _, h := range hubs {
		h.ledger.Apply(version, data)
	}
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(p.entries, func(e *presenceEntry) bool { return e.configVersion() < version })
	}, roundTimeout, 10*time.Millisecond)
}

// Guards against documents that cross the links between regions once for each entry and control server, before the leader's
// heartbeats.
func TestDocumentsCrossRegionsInTheLogAlone(t *testing.T) {
	p := newPresenceFleet(t, 6)
	p.round(t, 1)
	time.Sleep(presenceSettleTime)
	before := p.crossed()
	for version := range uint64(4) {
		p.commit(t, version+1, p.hubs)
	}
	copies := float64(p.crossed()-before) / documentBytes
	t.Logf("%.1f copies of 4 documents between regions, %d entries", copies, len(p.entries))
	assert.Less(t, copies, float64(len(p.entries))) // a quarter of one copy for each entry
}

// Guards against entries whose nearest control servers are behind and that get no document from others.
func TestDocumentComesFromAnotherRegionIfTheNearestControlServersAreBehind(t *testing.T) {
	p := newPresenceFleet(t, 2)
	p.round(t, 1)
	began := time.Now()
	p.commit(t, 1, p.hubs[controlsPerRegion:])
	assert.Less(t, time.Since(began), configApplyBound)
}
