package fleetcontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against presence that fills a link further while no update is acknowledged.
func TestNoPresenceIsAddedWhileNothingIsAcknowledged(t *testing.T) {
	const most, inFlight = 10 << 10, 2 << 10
	var w presenceWindow
	for range 50 {
		w.acknowledged(10*time.Millisecond, most)
	}
	assert.Equal(t, most-inFlight, w.left(inFlight, most, 0))
	assert.Equal(t, most-inFlight, w.left(inFlight, most, maxQueueing))
	assert.Negative(t, w.left(inFlight, most, maxQueueing+20*time.Millisecond))
	assert.Equal(t, minPresenceWindow, w.left(0, most, maxQueueing+20*time.Millisecond), "some goes on, so that its acknowledgement tells")
	assert.Equal(t, firstPresenceWindow, (&presenceWindow{}).left(0, most, time.Second), "the way is not known yet")
}
