package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

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

// Each call costs two messages, whose size must not grow with the fleet: bytes between zones are paid for.
func TestMessagesAreSmall(t *testing.T) {
	id := "0123456789abcdef-12"
	r := reservation.Request{
		ID: id, Rank: 5, Weight: 0.421875, Retry: true, Prompt: 3880, Answer: 255, Due: 390 * time.Millisecond, Budget: 160 * time.Millisecond,
		Gap: 400 * time.Millisecond, Left: 6 * time.Second, Version: 12, AcceptLate: true,
	}
	assert.LessOrEqual(t, proto.Size(RequestToProto("front-some-zone-a-12", "10.128.100.100:8342", 1790979643269, r)), 150)
	d := reservation.Decision{
		Reason: reservation.ReasonLoading, Wait: time.Second, FirstEvent: 2 * time.Second, End: 6 * time.Second, Again: time.Second,
		Load: reservation.Load{Running: 12, Waiting: 3, Reserved: 3, Pace: 2.5, Age: 5 * time.Millisecond, Version: 12, Loading: true, StartUnixMs: 1790979643269},
	}
	assert.LessOrEqual(t, proto.Size(DecisionToProto(d)), 80)
}
