package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestWaitingStreamsDoNotUseUpTheRetryBudget(t *testing.T) {
	breaksThenFull := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headers.ResumeAfter) != "" {
			notRun(w, r)
			return
		}
		events(2)(w, r)
	}
	backends := make([]*backend, 5)
	for i := range backends {
		backends[i] = newBackend(t, "b-"+strconv.Itoa(i), breaksThenFull)
	}
	e := newEntry(t, backends...)
	e.onlyEngines()
	for range 2 {
		assert.Error(t, e.ask(t, http.MethodPost, "/stream/x").err)
	}
	_, repeats := e.budget("engine").Counts(e.monotonic(time.Now()))
	assert.True(t, e.budget("engine").TryRetry(e.monotonic(time.Now())), "%d retries for two streams that waited 2 s each", repeats)
}
