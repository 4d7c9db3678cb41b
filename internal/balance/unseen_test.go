package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestUnseenRequestsFollowWhatIsMissed(t *testing.T) {
	var u unseen
	for range 100 {
		u.observe(start, true, 12)
	}
	assert.InDelta(t, 6, u.now(start), 0.001, "no more than half of the slots")
	assert.InDelta(t, 3, u.now(start.Add(unseenHalfLife)), 0.001, "it fades where nothing is sent")

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

func TestOverloadPassesWhileManyServersLoad(t *testing.T) {
	var o outage
	o.note(start, 0, 0)
	assert.False(t, o.passes(start), "none are known")
	o.note(start, 1, 20)
	assert.False(t, o.passes(start))
	o.note(start, 2, 20)
	assert.True(t, o.passes(start))
	o.note(start.Add(time.Second), 0, 20)
	assert.True(t, o.passes(start.Add(loadingTail-time.Millisecond)), "its callers are still about")
	assert.False(t, o.passes(start.Add(loadingTail)))
}
