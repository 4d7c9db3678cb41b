package follow

import (
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// session is an open stream with its stamps. One goroutine uses it; others may send messages without stamps on the stream.
type session struct {
	stream    rpc.DRPCFleet_FollowClient
	stamps    *Stamps
	stampedAt time.Time
	// namingsSent: the control server was sent the namings known at the start of the stream.
	namingsSent bool
}

func newSession(stream rpc.DRPCFleet_FollowClient) *session {
	return &session{stream: stream, stamps: NewStamps(clock.Now())}
}

// receive returns the next message of the control server and dates it.
func (s *session) receive() (*rpc.FleetUpdate, Anchor, error) {
	u, err := s.stream.Recv()
	if err != nil {
		return nil, Anchor{}, err
	}
	now := clock.Now()
	s.stamps.Receive(u.StampUs, now)
	return u, s.stamps.Anchor(u.Echo, now), nil
}

// send sends a message with a stamp.
func (s *session) send(m *rpc.FollowerMessage) error {
	s.stampedAt = clock.Now()
	m.StampUs = s.stamps.Stamp(s.stampedAt)
	return s.stream.Send(m)
}

// renewStamp sends a stamp by itself if the last one is older than stampInterval.
func (s *session) renewStamp(now time.Time) error {
	if now.Sub(s.stampedAt) < stampInterval {
		return nil
	}
	return s.send(&rpc.FollowerMessage{})
}

// sendNamings sends the times of namings, which a control server that has just started does not have, once a stream. It is called
// when a message of the control server was received, with whose stamp they are dated.
func (s *session) sendNamings(known func() map[string]ledger.Version) error {
	if s.namingsSent || known == nil {
		return nil
	}
	s.namingsSent = true
	now := clock.Now()
	m := &rpc.FollowerMessage{Versions: knownNamings(known(), now), Echo: s.stamps.Echo(now)}
	if len(m.Versions) == 0 {
		return nil
	}
	return s.stream.Send(m)
}
