package gateway

import (
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
)

func TestStatedSizes(t *testing.T) {
	for text, want := range map[string]size{
		"": {}, "120,30": {prompt: 120, answer: 30}, " 120 , 30 ": {prompt: 120, answer: 30}, "120": {prompt: 120}, "many,30": {answer: 30}, "-3,30": {answer: 30},
	} {
		assert.Equal(t, want, parseSize(text, ""), text)
	}
}

func TestPromptBands(t *testing.T) {
	e := &fleet.Engine{UsualPrompt: 100}
	for prompt, band := range map[int]string{1: "below 0.5", 50: "0.5 to 1.5", 149: "0.5 to 1.5", 150: "1.5 to 2.5", 250: largestBand, 9000: largestBand} {
		assert.Equal(t, band, promptBand(prompt, e), prompt)
	}
}

// TestResultIsCountedAndLoggedBySize: operators see from the metrics which sizes are refused, and from
// the log line of a request why.
func TestResultIsCountedAndLoggedBySize(t *testing.T) {
	refusing := newBackend(t, "b-1", notRun)
	e := newEntry(t, refusing)
	stated := func(text string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(headers.Tokens, text) }
	}
	e.ask(t, "POST", "/stream/1", stated("300,50"))
	refused := e.cfg.Metrics.sizes.WithLabelValues("engine", largestBand, "refused")
	assert.Equal(t, 1.0, counterValue(t, refused))
	assert.Contains(t, e.logs.String(), `"prompt":300,"most_answer":50,"allowed_ms":`)

	served := newEntry(t, newBackend(t, "b-2", events(0)))
	served.ask(t, "POST", "/stream/2", stated("20,50"))
	inTime := served.cfg.Metrics.sizes.WithLabelValues("engine", "below 0.5", "in time")
	assert.Equal(t, 1.0, counterValue(t, inTime))
}

func counterValue(t *testing.T, c prometheus.Counter) float64 {
	var m dto.Metric
	require.NoError(t, c.Write(&m))
	return m.GetCounter().GetValue()
}
