package waiting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

func TestAllowanceFollowsMeans(t *testing.T) {
	a := NewAllowance(400*ms, 30*ms)
	assert.Equal(t, 165*ms, a.Longest(0.6, 45*ms, 20*ms))
	for range 1000 {
		a.Observe(400*ms, 10*ms)
		a.Observe(300*ms, 50*ms)
	}
	assert.InDelta(t, float64(0.6*350*ms-30*ms-45*ms), float64(a.Longest(0.6, 45*ms, 20*ms)), float64(ms))
}

func TestAllowanceHasMinimum(t *testing.T) {
	assert.Equal(t, 20*ms, NewAllowance(100*ms, 300*ms).Longest(0.6, 45*ms, 20*ms))
}

// Also if it is the first prompt.
func TestHugePromptHardlyChangesAllowance(t *testing.T) {
	a := NewAllowance(400*ms, 30*ms)
	a.Observe(400*ms, time.Hour)
	assert.Greater(t, a.Longest(0.6, 45*ms, 20*ms), 155*ms)
}

func TestAllowanceAdaptsToLongerPrompts(t *testing.T) {
	a := NewAllowance(400*ms, 30*ms)
	for range 256 {
		a.Observe(400*ms, 90*ms)
	}
	assert.InDelta(t, float64(150*ms), float64(a.Longest(0.6, 0, 0)), float64(2*ms))
}
