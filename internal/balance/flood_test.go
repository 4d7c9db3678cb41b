package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// One engine has just loaded while all others are full: all entries receive the report at once, and
// each has more requests than it can dispatch. What is sent before the next report must be read soon
// enough for the first events to be in time.
func TestLoadedServerIsNotFloodedByAllEntries(t *testing.T) {
	const (
		entries = 5
		read    = 32 * time.Millisecond
		budget  = 166 * time.Millisecond
		offered = 6 // requests of each entry before the next report
	)
	v := manyEntries(entries, 2*entries)
	v.Table.Service(service).Engine.ReadPerSecond = float64(v.Table.Service(service).Engine.UsualPrompt) / read.Seconds()
	records := v.Servers[service]
	loaded := records[0].Addr
	sent := 0
	for _, e := range v.Entries {
		b := named(e.Name, v)
		for _, r := range records {
			running := 8
			if r.Addr == loaded {
				running = 0
			}
			b.Reported(start, Report{Addr: r.Addr, Models: []fleet.Loaded{{Model: model, Version: 1, To: 16}}, Running: running})
		}
		for range offered {
			w := want()
			w.Read, w.Budget = read, budget
			if c, _ := b.Pick(start, w); c.Server != nil {
				assert.Equal(t, loaded, c.Server.Addr)
				sent++
			}
		}
	}
	assert.GreaterOrEqual(t, sent, entries, "the loaded server is used")
	assert.LessOrEqual(t, time.Duration(sent)*read, 350*time.Millisecond, "%d prompts are read before the last first event", sent)
}

func TestSoleEntryOfZoneOwnsItsServers(t *testing.T) {
	b := balancer(view(record("1", "here", 1), record("2", "there", 1)))
	for _, s := range b.services[service] {
		assert.Equal(t, s.sameZone, s.owned)
		assert.Equal(t, !s.sameZone, s.otherOwner)
	}
}
