package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
)

// Without an owner the servers of the other zones would get the evacuated zone's requests from
// entries that all choose by the same reports.
func TestEntriesOfAnEvacuatedZoneOwnServersOfOthers(t *testing.T) {
	zones := []string{"a", "b", "c"}
	var records []*fleet.BackendServer
	for i := range 30 {
		records = append(records, record(fmt.Sprint(i+1), zones[i%3], 1))
	}
	v := view(records...)
	v.Entries = nil
	for i := range 12 {
		v.Entries = append(v.Entries, follow.Entry{Name: fmt.Sprintf("e-%02d", i), Zone: zones[i%3]})
	}
	for _, evacuated := range []bool{false, true} {
		v.Evacuations = map[string]ledger.Evacuation{"a": {Order: 1, InForce: evacuated}}
		owner := map[string]string{}
		ownedBy := map[string]int{} // by the zone of the owner
		for _, e := range v.Entries {
			b := New(Config{Name: e.Name, Zone: e.Zone, VersionBound: 8 * time.Second, Logger: zerolog.Nop()})
			b.SetView(v)
			for _, s := range b.services[service] {
				if s.owned && !b.evacuated(s.record.Zone) {
					assert.Empty(t, owner[s.ID], "owned by two")
					owner[s.ID] = e.Name
					ownedBy[e.Zone]++
				}
			}
			for range 20 {
				assert.False(t, evacuated && pick(t, b, start, want()).Server.record.Zone == "a")
			}
		}
		assert.Positive(t, ownedBy["a"])
		if evacuated {
			assert.Len(t, owner, 20)
		} else {
			assert.Len(t, owner, 30)
		}
	}
}
