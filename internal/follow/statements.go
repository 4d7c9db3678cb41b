package follow

import (
	"math"
	"time"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// StatementsToProto returns the wire form of news as of now.
func StatementsToProto(news []backpressure.News, now time.Time) []*rpc.ServerStatement {
	out := make([]*rpc.ServerStatement, 0, len(news))
	for _, n := range news {
		out = append(out, &rpc.ServerStatement{Start: n.Start, Limited: n.Limited, Rate: n.Rate, Leaving: n.Leaving, AgeMs: max(now.Sub(n.At), 0).Milliseconds()})
	}
	return out
}

// StatementsFromProto is the inverse of StatementsToProto; what can't be read is left out.
func StatementsFromProto(told []*rpc.ServerStatement, now time.Time) []backpressure.News {
	out := make([]backpressure.News, 0, len(told))
	for _, s := range told {
		if s.AgeMs < 0 || s.Limited && (!(s.Rate >= 0) || math.IsInf(s.Rate, 0)) {
			continue
		}
		out = append(out, backpressure.News{Start: s.Start, Limited: s.Limited, Rate: s.Rate, Leaving: s.Leaving, At: now.Add(-time.Duration(s.AgeMs) * time.Millisecond)})
	}
	return out
}

// TellStatements sends news to all control servers that are reached.
func (c *Client) TellStatements(news []backpressure.News) {
	told := StatementsToProto(news, clock.Now())
	for _, stream := range c.streams() {
		// A stream that fails is opened again by its own goroutine, and then told all.
		_ = stream.Send(&rpc.FollowerMessage{Statements: told})
	}
}
