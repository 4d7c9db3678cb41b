package staging

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Guards against a change of the engine's pace that entries learn late or not at all. Urgent reports go
// to all control servers.
func TestReportWithChangedPaceIsUrgent(t *testing.T) {
	var got *rpc.AgentReport
	var urgent bool
	s := New(Config{EngineAddr: "127.0.0.1:1", Tell: func(r *rpc.AgentReport, all bool) { got, urgent = r, all }})
	for i, c := range []struct {
		pace   float64
		urgent bool
	}{
		{0, false}, {1, false}, {0, false}, {1.2, false}, {1, false}, {1.3, true}, {1.3, false}, {2.5, true}, {2.1, false}, {1.6, true}, {0, true},
	} {
		s.sendReport(Report{Pace: c.pace})
		assert.Equal(t, c.pace, got.Pace, i)
		assert.Equal(t, c.urgent, urgent, "report %d", i)
	}
}
