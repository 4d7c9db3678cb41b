package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/reservation"
)

// A field that is not converted both ways is lost between entry and agent.
func TestNothingIsLostOnTheWire(t *testing.T) {
	r := reservation.Request{
		ID: "a", Rank: 3, Weight: 0.5, Retry: true, Resumed: true, Prompt: 10, Answer: 20, Due: time.Millisecond, Budget: 2 * time.Millisecond,
		Gap: 3 * time.Millisecond, Left: 4 * time.Second, Version: 5, AcceptLate: true,
	}
	assert.Equal(t, r, RequestFromProto(RequestToProto("entry", "127.0.0.1:1", 6, r)))
	d := reservation.Decision{
		Reason: reservation.ReasonRank, Wait: time.Millisecond, FirstEvent: 2 * time.Millisecond, End: time.Second, Again: 3 * time.Millisecond,
		Load: reservation.Load{Running: 1, Waiting: 2, Reserved: 3, Pace: 2.5, Age: time.Millisecond, Version: 4, Loading: true, StartUnixMs: 5},
	}
	assert.Equal(t, d, DecisionFromProto(DecisionToProto(d)))
	granted := reservation.Decision{Granted: true}
	assert.Equal(t, granted, DecisionFromProto(DecisionToProto(granted)))
}
