package sim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The bounds have a margin over the simulated results, which do not depend on the
// speed of the machine.
func TestBalancedAgainstBaselines(t *testing.T) {
	f := Compare(3, 8000)
	t.Logf("simulation: %+v", f)
	require.Less(t, f.P95OverRandom, 0.65)
	require.Less(t, f.PrefixP95OverRandom, 0.6)
	require.Greater(t, f.PrefixHitRate, 1.8*f.RandomHitRate)
	require.Less(t, f.GrayP99, 1.35)
	require.Greater(t, f.GrayP99Off, f.GrayP99)
	require.Less(t, f.GrayPrefixP99, 1.35)
	require.Greater(t, f.GrayPrefixP99Off, f.GrayPrefixP99)
	require.Less(t, f.FailedShare, 0.02)
	require.Greater(t, f.FailedShareOff, 0.08)
	require.Less(t, f.FalseEjections, 15.0)
}

func TestMisreportingServersGetLessThanTwiceTheRequests(t *testing.T) {
	cfg := Base()
	cfg.Requests = 8000
	honest := Run(cfg)
	cfg.MisreportingServers = 2
	lied := Run(cfg)
	for i := range cfg.MisreportingServers {
		require.Less(t, lied.PerServer[i], 2*honest.PerServer[i])
	}
	require.Less(t, ratio(lied.P95, honest.P95), 1.3)
}

func TestSameSeedSameRun(t *testing.T) {
	cfg := Base()
	cfg.Requests = 2000
	require.Equal(t, Run(cfg), Run(cfg))
}
