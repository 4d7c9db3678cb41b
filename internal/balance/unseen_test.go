package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestUnseenEstimateFollowsMisses(t *testing.T) {
	var u unseen
	for range 100 {
		u.observe(start, true, 12)
	}
	assert.InDelta(t, 6, u.now(start), 0.001, "no more than half of the slots")
	assert.InDelta(t, 3, u.now(start.Add(unseenHalfLife)), 0.001, "it decays while nothing is sent")

	before := u.now(start)
	u.observe(start, true, 24)
	for range 9 {
		u.observe(start, false, 24)
	}
	assert.InDelta(t, before, u.now(start), 0.001, "one miss in ten keeps it")
	for range 200 {
		u.observe(start, false, 12)
	}
	assert.Zero(t, u.now(start))
}

func TestLoadingPhaseFollowsLoadingServers(t *testing.T) {
	var o loadingPhase
	o.note(start, 0, 0)
	assert.False(t, o.active(start), "none are known")
	o.note(start, 1, 20)
	assert.False(t, o.active(start))
	o.note(start, 2, 20)
	assert.True(t, o.active(start))
	o.note(start.Add(time.Second), 0, 20)
	assert.True(t, o.active(start.Add(loadingTail-time.Millisecond)), "its callers still retry")
	assert.False(t, o.active(start.Add(loadingTail)))
}
