package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/reservation"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// FuzzReserve checks that any message that asks for a slot gets a decision that can be sent and is read back equal.
func FuzzReserve(f *testing.F) {
	for _, m := range []*rpc.ReserveRequest{
		{}, {Id: "1", Rank: 1, Weight: 1, Prompt: 900, Answer: 100, DueUs: 400_000, BudgetUs: 200_000, GapUs: 300_000, LeftUs: 6_000_000, Version: 2},
		{Id: "1", Rank: 1 << 31, Weight: -1, Prompt: 1 << 31, Answer: 1 << 31, DueUs: -1 << 63, LeftUs: 1<<63 - 1, BudgetUs: 1<<63 - 1},
		{Resumed: true, Retry: true, Anyway: true, LeftUs: 1},
	} {
		data, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m rpc.ReserveRequest
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		now := time.Now()
		engine := &fleet.Engine{Slots: 12, Stride: 5, Step: 10 * time.Millisecond, ReadPerSecond: 20000, UsualPrompt: 1000, UsualAnswer: 100, Layers: 16}
		ledger := reservation.New(engine)
		ledger.Observe(now, reservation.Report{Version: 1})
		for range 3 {
			d := ledger.Ask(now, RequestFromProto(&m))
			encoded, err := proto.Marshal(DecisionToProto(d))
			require.NoError(t, err)
			var received rpc.ReserveResponse
			require.NoError(t, proto.Unmarshal(encoded, &received))
			require.Equal(t, d.Granted, DecisionFromProto(&received).Granted)
			require.GreaterOrEqual(t, received.AgainUs, int64(0))
		}
		ledger.Release(now, m.Id)
		later := now.Add(10 * time.Second)
		ledger.Observe(later, reservation.Report{Version: 1})
		usual := reservation.Request{
			ID: m.Id + "next", Prompt: 900, Answer: 100, Due: 400 * time.Millisecond, Budget: 200 * time.Millisecond, Gap: 300 * time.Millisecond, Left: 6 * time.Second,
		}
		require.True(t, ledger.Ask(later, usual).Granted, "an idle engine is not used any more")
	})
}
