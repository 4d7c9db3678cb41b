package follow

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// testSources returns two control servers in each of three regions, r0 to r2, which relay one another's presence.
func testSources() []*presenceSource {
	var addrs []string
	for i := range 6 {
		addrs = append(addrs, fmt.Sprint("c", i))
	}
	var sources []*presenceSource
	for i, addr := range addrs {
		relays := slices.DeleteFunc(slices.Clone(addrs), func(a string) bool { return a == addr })
		sources = append(sources, &presenceSource{addr: addr, zone: fmt.Sprintf("r%d-%c", i/2, 'a'+i%2), relays: relays})
	}
	return sources
}

func choose(now time.Time, zone string, sources []*presenceSource) []string {
	p := presencePolicy{name: "entry", zone: zone, regionOf: func(zone string) string { region, _, _ := strings.Cut(zone, "-"); return region }}
	return slices.Sorted(maps.Keys(p.choose(now, sources)))
}

func TestPresenceComesFromTheEntrysOwnRegion(t *testing.T) {
	now := time.Now()
	sources := testSources()
	assert.Equal(t, []string{"c2", "c3"}, choose(now, "r1-a", sources))
	assert.Equal(t, []string{"c2", "c3"}, choose(now, "r1-c", sources), "a zone without a control server")
	assert.Len(t, choose(now, "r7-a", sources), 1, "a region without a control server")
	assert.Equal(t, []string{"c3"}, choose(now, "r1-a", slices.Delete(testSources(), 2, 3)), "one of the region's is lost")
	assert.Empty(t, choose(now, "r1-a", nil))
}

// Guards against entries that hear nothing of the servers that announce themselves on the other side of a partition of control servers.
func TestPresenceThatIsNotRelayedComesDirectly(t *testing.T) {
	began := time.Now()
	sources := testSources()
	for i, s := range sources {
		side := []string{"c0", "c1", "c2"}
		if i >= 3 {
			side = []string{"c3", "c4", "c5"}
		}
		s.relays = side
	}
	assert.Equal(t, []string{"c0", "c1"}, choose(began, "r0-a", sources), "the others may be found again at once")
	beyond := choose(began.Add(coverDelay), "r0-a", sources)
	assert.Len(t, beyond, 3, "one of the other side relays the rest of it")
	assert.Subset(t, beyond, []string{"c0", "c1"})
	assert.Equal(t, []string{"c2", "c3"}, choose(began.Add(coverDelay), "r1-a", sources), "both sides stand in its region")
	for i, s := range testSources() {
		sources[i].relays = s.relays
	}
	assert.Equal(t, []string{"c0", "c1"}, choose(began.Add(2*coverDelay), "r0-a", sources))
	sources[5].relays, sources[0].relays, sources[1].relays = nil, []string{"c1", "c2", "c3", "c4"}, []string{"c0", "c2", "c3", "c4"}
	assert.Equal(t, []string{"c0", "c1"}, choose(began.Add(3*coverDelay), "r0-a", sources), "the delay counts anew")
	assert.Equal(t, []string{"c0", "c1", "c5"}, choose(began.Add(4*coverDelay), "r0-a", sources))
}
