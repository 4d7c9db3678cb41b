package follow

import (
	"context"
	"errors"
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// session is an open stream with its stamps. One goroutine uses it beside its reader; others may send messages without stamps on the
// stream.
type session struct {
	stream rpc.DRPCFleet_FollowClient
	// close ends the stream and its reader.
	close func()
	// messages is closed once nothing more is read.
	messages  chan message
	stamps    *Stamps
	stampedAt time.Time
	// listed are the control servers last listed by this one, which sends the list only when it changes.
	listed []string
	// namingsSent: the control server was sent the namings known at the start of the stream.
	namingsSent bool
}

// message is what a read of the stream has returned, and when.
type message struct {
	update *rpc.FleetUpdate
	err    error
	at     time.Time
}

func newSession(stream rpc.DRPCFleet_FollowClient) *session {
	return &session{stream: stream, messages: make(chan message), stamps: NewStamps(clock.Now())}
}

// errEnded means that nothing more is read from a stream, as its context is done.
var errEnded = errors.New("stream is not read any more")

// read reads messages for receive until the stream fails or ctx is done.
func (s *session) read(ctx context.Context) {
	defer close(s.messages)
	for {
		u, err := s.stream.Recv()
		select {
		case s.messages <- message{update: u, err: err, at: clock.Now()}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// receive returns the next message of the control server and dates it, errSilent once timeout fires, or errEnded.
func (s *session) receive(timeout <-chan time.Time) (*rpc.FleetUpdate, Anchor, error) {
	select {
	case m, ok := <-s.messages:
		switch {
		case !ok:
			return nil, Anchor{}, errEnded
		case m.err != nil:
			return nil, Anchor{}, m.err
		}
		s.stamps.Receive(m.update.StampUs, m.at)
		return m.update, s.stamps.Anchor(m.update.Echo, m.at), nil
	case <-timeout:
		return nil, Anchor{}, errSilent
	}
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
