package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestAllowedWaitDoesNotDependOnPromptSize: otherwise requests with large prompts never get a slot
// under overload; see the load test of package balance.
func TestAllowedWaitDoesNotDependOnPromptSize(t *testing.T) {
	e, b := fullEngine(t)
	asks := func(tokens string) int {
		return e.ask(t, "POST", "/stream/1", func(r *http.Request) { r.Header.Set(headers.Tokens, tokens) }).status
	}
	e.reportLoad(b, 4, 0) // the next request waits for 35 ms; 109 ms are allowed
	assert.Equal(t, http.StatusOK, asks("900,10"), "its own prompt would leave 29 ms")
	assert.Equal(t, http.StatusOK, asks("5000,10"), "its own prompt takes more than the objective")
}

// TestPromptLongerThanTheObjectiveIsNeverDue: the first event of such a request is late even at an
// idle server.
func TestPromptLongerThanTheObjectiveIsNeverDue(t *testing.T) {
	e, _ := fullEngine(t)
	due := func(prompt int) bool {
		c := &call{g: e.Gateway, view: e.view.Load(), service: "engine", size: size{prompt: prompt}, began: time.Now()}
		c.route = c.view.Table.Route("h", "/stream/1")
		return !c.want(firstAttemptShare).Due.IsZero()
	}
	assert.True(t, due(100))
	assert.False(t, due(5000))
}
