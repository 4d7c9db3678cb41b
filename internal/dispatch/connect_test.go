package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/clock"
)

// Guards against a path that is judged by connects that were made long ago.
func TestConnectIsTheTimeOfANewConnectionOnly(t *testing.T) {
	p := NewPool(script(t, false, okAnswer("a", "aaaa"), okAnswer("b", "bbbb")))
	assert.True(t, p.LastConnect().At.IsZero())
	before := clock.Now()
	first, _, err := send(p, "a")
	require.NoError(t, err)
	took := first.ConnectTook()
	assert.Positive(t, took)
	assert.Positive(t, first.Took)
	assert.LessOrEqual(t, took+first.Took, clock.Since(before))
	connect := p.LastConnect()
	assert.Equal(t, took, connect.Took)
	assert.False(t, connect.At.Before(before))
	second, _, err := send(p, "b")
	require.NoError(t, err)
	assert.Zero(t, second.ConnectTook(), "on a kept connection")
	assert.Equal(t, connect, p.LastConnect())
}
