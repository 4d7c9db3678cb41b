package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/reservation"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// A field that is not converted both ways is lost between entry and agent.
func TestNothingIsLostOnTheWire(t *testing.T) {
	r := reservation.Request{
		ID: "a", Entry: "entry", Rank: 3, Weight: 0.5, Retry: true, Resumed: true, Prompt: 10, Answer: 20, Due: time.Millisecond, Budget: 2 * time.Millisecond,
		Gap: 3 * time.Millisecond, Left: 4 * time.Second, Version: 5, AcceptLate: true,
	}
	assert.Equal(t, r, RequestFromProto(RequestToProto("127.0.0.1:1", 6, r)))
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
		ID: id, Entry: "front-some-zone-a-12", Rank: 5, Weight: 0.421875, Retry: true, Prompt: 3880, Answer: 255, Due: 390 * time.Millisecond, Budget: 160 * time.Millisecond,
		Gap: 400 * time.Millisecond, Left: 6 * time.Second, Version: 12, AcceptLate: true,
	}
	assert.LessOrEqual(t, proto.Size(RequestToProto("10.128.100.100:8342", 1790979643269, r)), 150)
	d := reservation.Decision{
		Reason: reservation.ReasonLoading, Wait: time.Second, FirstEvent: 2 * time.Second, End: 6 * time.Second, Again: time.Second,
		Load: reservation.Load{Running: 12, Waiting: 3, Reserved: 3, Pace: 2.5, Age: 5 * time.Millisecond, Version: 12, Loading: true, StartUnixMs: 1790979643269},
	}
	assert.LessOrEqual(t, proto.Size(DecisionToProto(d)), 80)
}

// Guards against a field of a request or decision that is lost between entry and agent.
func TestWireKeepsAllFields(t *testing.T) {
	r := RequestFromProto(&rpc.ReserveRequest{
		Id: "a", Entry: "entry", Rank: 3, Weight: 0.5, Retry: true, Resumed: true, Prompt: 7, Answer: 8, DueUs: 9, BudgetUs: 10, GapUs: 11, LeftUs: 12, Version: 13, Anyway: true,
	})
	us := time.Microsecond
	assert.Equal(t, reservation.Request{
		ID: "a", Entry: "entry", Rank: 3, Weight: 0.5, Retry: true, Resumed: true, Prompt: 7, Answer: 8, Due: 9 * us, Budget: 10 * us, Gap: 11 * us, Left: 12 * us, Version: 13, AcceptLate: true,
	}, r)
	d := DecisionToProto(reservation.Decision{
		Reason: reservation.ReasonFull, Wait: us, FirstEvent: 2 * us, End: 3 * us, Again: 4 * us,
		Load: reservation.Load{Running: 5, Waiting: 6, Reserved: 7, Pace: 8, Age: 9 * us, Version: 10, Loading: true, StartUnixMs: 11},
	})
	assert.Equal(t, "full", d.Reason)
	assert.Equal(t, []int64{1, 2, 3, 4, 9, 11}, []int64{d.WaitUs, d.FirstUs, d.EndUs, d.AgainUs, d.ReportAgeUs, d.Born})
	assert.Equal(t, []uint32{5, 6, 7}, []uint32{d.Running, d.Waiting, d.Reserved})
	assert.Equal(t, 8.0, d.Pace)
	assert.Equal(t, uint64(10), d.Version)
	assert.True(t, d.Loading)
}
