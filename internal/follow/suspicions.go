package follow

import (
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// SuspicionsToProto returns the wire form of facts as of now.
func SuspicionsToProto(news []quarantine.News, now time.Time) []*rpc.Suspicion {
	out := make([]*rpc.Suspicion, 0, len(news))
	for _, n := range news {
		out = append(out, &rpc.Suspicion{
			Digest: n.Digest[:], Server: n.Server, Cleared: n.Cleared, Alone: n.Alone, AgeMs: max(now.Sub(n.At), 0).Milliseconds(),
		})
	}
	return out
}

// SuspicionsFromProto is the inverse of SuspicionsToProto; facts that can't be read are left
// out.
func SuspicionsFromProto(told []*rpc.Suspicion, now time.Time) []quarantine.News {
	out := make([]quarantine.News, 0, len(told))
	for _, s := range told {
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

// TellSuspicions sends facts to all control servers that are reached.
func (c *Client) TellSuspicions(news []quarantine.News) {
	told := SuspicionsToProto(news, clock.Now())
	for _, stream := range c.streams() {
		// A stream that fails is opened again by its own goroutine, and then told all.
		_ = stream.Send(&rpc.FollowerMessage{Suspicions: told})
	}
}
