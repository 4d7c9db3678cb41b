package origin

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/headlimit/headlimittest"
)

// Guards against a failure of the origin that is taken for a manifest, since a part of a head lies before it.
func TestFailureBehindAPartOfAHeadIsTakenForAManifest(t *testing.T) {
	c := New(nil, nil)
	t.Cleanup(c.Close)
	_, err := c.Manifest(context.Background(), "http://"+headlimittest.Serve(t, headlimittest.SplicedAnswer), "m", "1")
	assert.ErrorIs(t, err, headlimit.ErrSplicedHead)
}
