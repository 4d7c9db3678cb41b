package systest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/trace"
)

// TestKillsInMidStream proves that an answer is whole, from one version, or
// explicitly cut, while an engine and an agent die with answers under way.
func TestKillsInMidStream(t *testing.T) {
	s := start(t, size{controls: 1, entries: 2, engines: 3})
	s.bringLive("v1")
	l := s.replay(drafts("kills", 80, 60*time.Millisecond, 40, trace.AnsweredWholeOrTold), s.entries...)

	s.waitInFlight(s.engines[0])
	require.NoError(t, s.engines[0].Backend.Kill())
	s.waitInFlight(s.engines[1])
	require.NoError(t, s.engines[1].Kill())
	report := l.check()
	require.Zero(t, report.Counts.Wrong)
	require.Positive(t, report.Counts.Completed)
	retries := 0.0
	for _, e := range s.entries {
		n, ok := metric(e, "lynxgate_entry_retries_total")
		require.True(t, ok)
		retries += n
	}
	require.Positive(t, retries, "no answer was hit by the kills")

	require.NoError(t, s.fleet.StartBackend(s.engines[0]))
	s.restart(s.engines[1].Daemon)
	s.waitLive("v1", len(s.engines))
}
