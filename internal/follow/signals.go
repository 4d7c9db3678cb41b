package follow

import (
	"math"
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// SignalsToProto returns the wire form of signals; their ages are as of now.
func SignalsToProto(updates []backpressure.Update, now time.Time) []*rpc.ServerSignal {
	out := make([]*rpc.ServerSignal, 0, len(updates))
	for _, n := range updates {
		out = append(out, &rpc.ServerSignal{Start: n.Incarnation, Limited: n.Limited, Rate: n.Rate, Leaving: n.Leaving, AgeMs: max(now.Sub(n.At), 0).Milliseconds()})
	}
	return out
}

// SignalsFromProto is the inverse of SignalsToProto; it skips invalid signals.
func SignalsFromProto(signals []*rpc.ServerSignal, now time.Time) []backpressure.Update {
	out := make([]backpressure.Update, 0, len(signals))
	for _, s := range signals {
		if s.AgeMs < 0 || s.Limited && (!(s.Rate >= 0) || math.IsInf(s.Rate, 0)) {
			continue
		}
		out = append(out, backpressure.Update{Incarnation: s.Start, Limited: s.Limited, Rate: s.Rate, Leaving: s.Leaving, At: now.Add(-time.Duration(s.AgeMs) * time.Millisecond)})
	}
	return out
}

// SendSignals sends signals on all open streams.
func (c *Client) SendSignals(updates []backpressure.Update) {
	signals := SignalsToProto(updates, clock.Now())
	for _, stream := range c.streams() {
		// The goroutine of a failed stream reconnects and sends all known signals.
		_ = stream.Send(&rpc.FollowerMessage{Signals: signals})
	}
}
