package fleetdaemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/ledger"
)

func TestWeightsExpire(t *testing.T) {
	const bound = 8 * time.Second
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	named := ledger.Version{Number: 3, AppliedAt: at(20), Previous: &ledger.Version{Number: 2, AppliedAt: at(10)}}
	for version, want := range map[uint64]time.Time{1: at(18).Add(-namingTolerance), 2: at(28).Add(-namingTolerance), 3: {}, 4: {}} {
		assert.Equal(t, want, weightsExpire(named, version, bound), "version %d", version)
	}
	assert.Zero(t, weightsExpire(ledger.Version{}, 1, bound), "nothing named")
}
