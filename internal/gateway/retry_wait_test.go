package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a failure, with most of the deadline left, of a request whose server crashed while the others were full.
func TestRetryWaitsForAFreeSlot(t *testing.T) {
	full := newBackend(t, "b-2", events(0))
	crashed := newBackend(t, "b-1", cut)
	e := newEntry(t, crashed, full)
	e.onlyEngines()
	e.reportLoad(full, 4, 40)
	freed := time.AfterFunc(500*time.Millisecond, func() { e.reportLoad(full, 0, 0) })
	defer freed.Stop()
	a := e.ask(t, http.MethodPost, "/stream/x")
	assert.Equal(t, wholeStream, a.body)
	assert.Equal(t, http.StatusOK, a.status)
	assert.Len(t, crashed.requests(), 1)
	assert.Len(t, full.requests(), 1)
}
