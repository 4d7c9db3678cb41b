package fleetdaemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Guards against weights that an agent holds usable since it has not heard of newer ones.
func TestWeightsExpire(t *testing.T) {
	const bound = 8 * time.Second
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	named := ledger.Version{Number: 3, AppliedAt: at(20), Previous: &ledger.Version{Number: 2, AppliedAt: at(10)}}
	heardAt := at(30)
	for version, want := range map[uint64]time.Time{
		1: at(18).Add(-namingTolerance), 2: at(28).Add(-namingTolerance), 3: at(38).Add(-namingTolerance), 4: at(38).Add(-namingTolerance),
	} {
		assert.Equal(t, want, weightsExpire(named, version, heardAt, bound), "version %d", version)
	}
	assert.Equal(t, at(38).Add(-namingTolerance), weightsExpire(ledger.Version{}, 1, heardAt, bound), "nothing named")
	assert.Zero(t, weightsExpire(ledger.Version{}, 1, time.Time{}, bound), "nothing heard")
}

// Guards against an update that counts as heard before it is merged, or from when it is merged.
func TestUpdateIsHeardOnceMergedAndCountsFromBefore(t *testing.T) {
	var h heard
	assert.Zero(t, h.lastAt())
	var merging time.Time
	following := h.following(func(string, *rpc.FleetUpdate) {
		assert.Zero(t, h.lastAt())
		merging = time.Now()
	})
	following("control", &rpc.FleetUpdate{})
	assert.False(t, h.lastAt().After(merging))
	assert.False(t, h.lastAt().IsZero())
}
