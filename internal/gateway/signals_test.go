package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Guards against a pace of the agent's report that does not reach the balancer or the log. The usual pace
// is not logged.
func TestPaceOfReportIsUsedAndLogged(t *testing.T) {
	for pace, logged := range map[float64]bool{0: false, 1: false, 2.5: true} {
		b := newBackend(t, "b-1", notRun)
		e := newEntry(t, b)
		e.onlyEngines()
		e.AddReport(&rpc.AgentReport{Addr: strings.TrimPrefix(b.URL, "http://"), Pace: pace, Models: []*rpc.LoadedModel{{Model: "m", Version: 7}}})
		assert.Equal(t, http.StatusServiceUnavailable, e.ask(t, http.MethodPost, "/stream/1").status)
		assert.Contains(t, e.logs.String(), `"server":"b-1"`)
		assert.Equal(t, logged, strings.Contains(e.logs.String(), `"pace":2.5`), "pace %v", pace)
		assert.Equal(t, logged, strings.Contains(e.logs.String(), `"pace"`), "pace %v", pace)
	}
}
