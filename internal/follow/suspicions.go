package follow

import (
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// SuspicionsToProto returns the wire form of suspicions; their ages are as of now.
func SuspicionsToProto(news []quarantine.News, now time.Time) []*rpc.Suspicion {
	out := make([]*rpc.Suspicion, 0, len(news))
	for _, n := range news {
		out = append(out, &rpc.Suspicion{
			Digest: n.Digest[:], Server: n.Server, Cleared: n.Cleared, Alone: n.Alone, AgeMs: max(now.Sub(n.At), 0).Milliseconds(),
		})
	}
	return out
}

// SuspicionsFromProto is the inverse of SuspicionsToProto; it skips invalid suspicions.
func SuspicionsFromProto(suspicions []*rpc.Suspicion, now time.Time) []quarantine.News {
	out := make([]quarantine.News, 0, len(suspicions))
	for _, s := range suspicions {
		if len(s.Digest) != quarantine.DigestSize || s.AgeMs < 0 {
			continue
		}
		out = append(out, quarantine.News{
			Digest: quarantine.Digest(s.Digest), Server: s.Server, Cleared: s.Cleared, Alone: s.Alone,
			At: now.Add(-time.Duration(s.AgeMs) * time.Millisecond),
		})
	}
	return out
}

// TellSuspicions sends suspicions on all open streams.
func (c *Client) TellSuspicions(news []quarantine.News) {
	suspicions := SuspicionsToProto(news, clock.Now())
	for _, stream := range c.streams() {
		// The goroutine of a failed stream reconnects and sends all known suspicions.
		_ = stream.Send(&rpc.FollowerMessage{Suspicions: suspicions})
	}
}
