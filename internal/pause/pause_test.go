package pause

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestForWaitsForDuration(t *testing.T) {
	const d = 20 * time.Millisecond
	began := time.Now()
	assert.True(t, For(t.Context(), d))
	assert.GreaterOrEqual(t, time.Since(began), d)
}

func TestForReturnsWhenContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() { ended <- For(ctx, time.Hour) }()
	cancel()
	assert.False(t, <-ended)
}

func TestForDoesNotWaitWithoutPositiveDuration(t *testing.T) {
	assert.True(t, For(t.Context(), 0))
	assert.True(t, For(t.Context(), -time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.False(t, For(ctx, 0))
}
