package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against callers that are denied again and again by something that is no backend server.
func TestServerWhoseAnswerIsForeignIsLeftOutAtOnce(t *testing.T) {
	foreign := newBackend(t, "b-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Del(headers.RequestID)
		w.Header().Del(headers.ServerID)
		http.NotFound(w, r)
	})
	sound := newBackend(t, "b-2", good)
	e := newEntry(t, foreign, sound)
	failed := 0
	for range 40 {
		if status := e.ask(t, "POST", "/unsafe/1").status; status != http.StatusOK {
			assert.Equal(t, http.StatusBadGateway, status)
			failed++
		}
	}
	assert.LessOrEqual(t, failed, 1)
	assert.LessOrEqual(t, len(foreign.requests()), 1)
}
