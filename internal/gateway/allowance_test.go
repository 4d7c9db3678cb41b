package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestWaitThatIsAllowedIsTheSameForAllSizes: what decides who gets room must not be a request's own
// size, see the load test of package balance.
func TestWaitThatIsAllowedIsTheSameForAllSizes(t *testing.T) {
	e, b := fullEngine(t)
	asks := func(tokens string) int {
		return e.ask(t, "POST", "/stream/1", func(r *http.Request) { r.Header.Set(headers.Tokens, tokens) }).status
	}
	e.tell(b, 4, 0) // one more waits for 35 ms, 109 ms are allowed
	assert.Equal(t, http.StatusOK, asks("900,10"), "its own prompt would leave 29 ms")
	assert.Equal(t, http.StatusOK, asks("5000,10"), "its own prompt takes more than the objective")
}

// TestPromptThatTakesTheObjectiveTeachesNothingOfOthers: its first event is late at an idle server, too.
func TestPromptThatTakesTheObjectiveTeachesNothingOfOthers(t *testing.T) {
	e, _ := fullEngine(t)
	due := func(prompt int) bool {
		c := &call{g: e.Gateway, view: e.view.Load(), service: "engine", size: size{prompt: prompt}, began: time.Now()}
		c.route = c.view.Table.Route("h", "/stream/1")
		return !c.want(firstShare).Due.IsZero()
	}
	assert.True(t, due(100))
	assert.False(t, due(5000))
}
