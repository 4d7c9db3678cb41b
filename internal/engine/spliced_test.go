package engine

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/headlimit/headlimittest"
)

// Guards against a failure of an engine that is taken for an order accepted, since a part of a head lies before it.
func TestFailureBehindAPartOfAHeadIsTakenForAnAcceptedOrder(t *testing.T) {
	c := New(headlimittest.Serve(t, headlimittest.SplicedAnswer))
	assert.ErrorIs(t, c.Load(context.Background(), LoadOrder{Fence: 1}), headlimit.ErrSplicedHead)
	assert.ErrorIs(t, c.Unload(context.Background(), 1), headlimit.ErrSplicedHead)
	_, err := c.State(context.Background())
	assert.ErrorIs(t, err, headlimit.ErrSplicedHead)
}
