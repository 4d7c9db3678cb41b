package client

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/clock"
)

func TestRoundTripIsThatOfTheLastAnsweredCall(t *testing.T) {
	r, now := newRoundTrips(), time.Unix(100, 0)
	assert.Zero(t, r.of("s"))
	r.unanswered("s", now)
	assert.True(t, r.of("s").At.IsZero())
	r.answered("s", now, now.Add(3*ms))
	r.unanswered("s", now.Add(20*ms))
	r.unanswered("s", now.Add(40*ms))
	got := r.of("s")
	assert.Equal(t, 3*ms, got.Took)
	assert.Equal(t, now, got.At)
	assert.Equal(t, 2, got.Unanswered)
	r.answered("s", now.Add(50*ms), now.Add(52*ms))
	assert.Zero(t, r.of("s").Unanswered)
}

// Guards against an entry that keeps a round trip for each server that it has ever asked.
func TestRoundTripsOfServersThatAreNotAskedAreForgotten(t *testing.T) {
	r, now := newRoundTrips(), time.Unix(100, 0)
	for i := range 1000 {
		now = now.Add(forgetAfter / 10)
		r.answered(fmt.Sprint(i), now, now.Add(ms))
		require.LessOrEqual(t, len(r.latest), 25)
	}
}

func TestCallsToAnAgentTellItsRoundTrip(t *testing.T) {
	a := newFakeAgent(t)
	c := newClient(t, a.addr)
	before := clock.Now()
	_, err := c.ask(longTimeout)
	require.NoError(t, err)
	got := c.RoundTrip(backendServer)
	assert.Positive(t, got.Took)
	assert.LessOrEqual(t, got.Took, clock.Since(before))
	assert.False(t, got.At.Before(before))
	thaw := a.freeze(t)
	_, err = c.ask(20 * ms)
	thaw()
	require.Error(t, err)
	assert.Equal(t, 1, c.RoundTrip(backendServer).Unanswered)
}
