package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rpc"
)

func TestLoadHeaderIsParsed(t *testing.T) {
	for text, want := range map[string]serverLoad{
		"3,4": {3, 4, 0}, "3,4,8": {3, 4, 0}, " 3, 4 ,8, 250 ": {3, 4, 250}, "3,4,8,250,9": {3, 4, 250}, "3,4,,250": {3, 4, 250},
		// A malformed percentage leaves the other figures in force.
		"3,4,8,": {3, 4, 0}, "3,4,8,fast": {3, 4, 0}, "3,4,8,1.5": {3, 4, 0}, "3,4,8,-250": {3, 4, 0}, "3,4,8,99999999999999999999": {3, 4, 0},
	} {
		load, ok := parseLoad(text)
		assert.True(t, ok, text)
		assert.Equal(t, want, load, text)
	}
	for _, text := range []string{"", "3", "3,", ",4,8,250", "x,4,8,250", "3,x,8,250"} {
		_, ok := parseLoad(text)
		assert.False(t, ok, text)
	}
}

// Guards against a load percentage that does not reach the balancer.
func TestLoadPercentageOfAnswerIsRecorded(t *testing.T) {
	b := newBackend(t, "b-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.Load, map[string]string{"/unsafe/1": "1,0,4", "/unsafe/2": "1,0,4,250"}[r.URL.Path])
		good(w, r)
	})
	e := newEntry(t, b)
	view := *e.view.Load()
	view.Servers = map[string][]*fleet.BackendServer{"plain": view.Servers["plain"]}
	e.SetView(&view)
	assert.Equal(t, http.StatusOK, e.ask(t, http.MethodPost, "/unsafe/1").status)
	assert.False(t, e.balancer.SharedHosts("plain"))
	assert.Equal(t, http.StatusOK, e.ask(t, http.MethodPost, "/unsafe/2").status)
	assert.True(t, e.balancer.SharedHosts("plain"))
}

// Guards against a pace of the agent's report that does not reach the balancer or the log. The usual pace
// is not logged.
func TestPaceOfReportIsUsedAndLogged(t *testing.T) {
	for pace, logged := range map[float64]bool{0: false, 1: false, 2.5: true} {
		b := newBackend(t, "b-1", notRun)
		e := newEntry(t, b)
		e.onlyEngines()
		e.AddReport(&rpc.AgentReport{Addr: strings.TrimPrefix(b.URL, "http://"), Pace: pace, Models: []*rpc.LoadedModel{{Model: "m", Version: 7}}}, 0)
		assert.Equal(t, http.StatusServiceUnavailable, e.ask(t, http.MethodPost, "/stream/1").status)
		assert.Contains(t, e.logs.String(), `"server":"b-1"`)
		assert.Equal(t, logged, strings.Contains(e.logs.String(), `"pace":2.5`), "pace %v", pace)
		assert.Equal(t, logged, strings.Contains(e.logs.String(), `"pace"`), "pace %v", pace)
	}
}
