package follow

import (
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// SuspicionsToProto returns the wire form of suspicions; their ages are as of now.
func SuspicionsToProto(updates []quarantine.Update, now time.Time) []*rpc.Suspicion {
	out := make([]*rpc.Suspicion, 0, len(updates))
	for _, n := range updates {
		out = append(out, &rpc.Suspicion{
			Digest: n.Digest[:], Server: n.Server, Cleared: n.Cleared, Alone: n.SoleAttempt, LogIndex: n.Index, AgeMs: max(now.Sub(n.At), 0).Milliseconds(),
			Origin: n.Origin, Version: n.Version, Part: n.Part,
		})
	}
	return out
}

// SuspicionsFromProto is the inverse of SuspicionsToProto; it skips invalid suspicions.
func SuspicionsFromProto(suspicions []*rpc.Suspicion, now time.Time) []quarantine.Update {
	out := make([]quarantine.Update, 0, len(suspicions))
	for _, s := range suspicions {
		if len(s.Digest) != quarantine.DigestSize || s.AgeMs < 0 {
			continue
		}
		out = append(out, quarantine.Update{
			Digest: quarantine.Digest(s.Digest), Server: s.Server, Cleared: s.Cleared, SoleAttempt: s.Alone, Index: s.LogIndex,
			Origin: s.Origin, Version: s.Version, Part: s.Part, At: now.Add(-time.Duration(s.AgeMs) * time.Millisecond),
		})
	}
	return out
}

// SendSuspicions sends suspicions on all open streams.
func (c *Client) SendSuspicions(updates []quarantine.Update) {
	suspicions := SuspicionsToProto(updates, clock.Now())
	for _, stream := range c.streams() {
		// The goroutine of a failed stream reconnects and sends all known suspicions.
		_ = stream.Send(&rpc.FollowerMessage{Suspicions: suspicions})
	}
}
