package follow

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Guards against a lease on a version that a message extends by the time for which it was under way.
func TestControlServerWasHeardAsOfItsMessageNotOfTheReceipt(t *testing.T) {
	v := NewViewer(nil, nil, time.Second, zerolog.Nop())
	assert.True(t, v.HeardAt().IsZero())
	asOf := time.Unix(1000, 0)
	delayed := Anchor{AsOf: asOf, ReceivedAt: asOf.Add(2 * time.Second), Echoed: true}
	v.Update("c-1", &rpc.FleetUpdate{}, delayed)
	assert.Equal(t, asOf, v.HeardAt())
	v.Heard(Anchor{AsOf: asOf.Add(time.Second), ReceivedAt: asOf.Add(3 * time.Second), Echoed: true})
	assert.Equal(t, asOf.Add(time.Second), v.HeardAt())
	v.Heard(delayed)
	assert.Equal(t, asOf.Add(time.Second), v.HeardAt(), "never earlier")
	v.Heard(Received(asOf.Add(5 * time.Second)))
	assert.Equal(t, asOf.Add(5*time.Second), v.HeardAt(), "a control server without stamps counts from the receipt")
}
