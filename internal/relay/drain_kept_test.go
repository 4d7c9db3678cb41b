package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a stop of an agent that waits for a request whose entry has left, and which the engine goes on with.
func TestDrainDoesNotWaitForKeptRequests(t *testing.T) {
	r := newRig(t)
	entry := r.entry()
	entry.send("a")
	engine := r.accept()
	engine.readRequest() // its connection stays open, and nothing is answered
	assert.NoError(t, entry.Close())
	r.counted(1, resultEntryLeft)
	assert.NoError(t, r.Drain(t.Context()))
}
