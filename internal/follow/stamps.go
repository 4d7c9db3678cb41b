package follow

import (
	"time"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// stampInterval is how long a follower that has no other message to send goes without a stamp. Until then the drift of two
// clocks is 5 ms at most.
const stampInterval = 10 * time.Second

// driftDivisor bounds the difference of the rates of two clocks: 1 s in 2000 s. It is what NTP corrects at most.
const driftDivisor = 2000

// Anchor dates a message by the clock of its receiver.
type Anchor struct {
	// ReceivedAt is when the message was read.
	ReceivedAt time.Time
	// AsOf is never later than the time as of which the sender encoded the message, whatever delays the message, if
	// Echoed is set; else it is ReceivedAt, as the time on the way is not known.
	AsOf   time.Time
	Echoed bool
}

// Received returns the anchor of a message without an echo.
func Received(at time.Time) Anchor { return Anchor{ReceivedAt: at, AsOf: at} }

// Path returns for how long the message was under way at most, 0 if that is not known.
func (a Anchor) Path() time.Duration { return a.ReceivedAt.Sub(a.AsOf) }

// Stamps dates messages at one end of a stream by Cristian's algorithm. Each end sends stamps of its own clock. The peer
// returns one with the time that has passed there since, and the message was encoded no earlier than the sum of both: all delays
// on the way make the sum too early, never too late. It is exact to the delay of the stamp on its way to the
// peer. Times are those of package clock, so that suspensions count.
type Stamps struct {
	// epoch is the time of stamp 0.
	epoch time.Time
	// peer is a stamp of the peer, 0 if there is none, and peerAt the time of its receipt.
	peer   int64
	peerAt time.Time
}

// NewStamps returns the stamps of a new stream.
func NewStamps(now time.Time) *Stamps { return &Stamps{epoch: now.Add(-time.Microsecond)} }

// Stamp returns the stamp of a message that is sent after now, in µs.
func (s *Stamps) Stamp(now time.Time) int64 { return now.Sub(s.epoch).Microseconds() }

// Receive records a stamp of the peer, received at a time before now; 0 is none. Of two stamps it keeps the one that dates messages
// later, which had less delay on its way.
func (s *Stamps) Receive(stamp int64, now time.Time) {
	if stamp <= 0 {
		return
	}
	if known := s.peer + withDrift(now.Sub(s.peerAt)).Microseconds(); s.peer == 0 || stamp >= known {
		s.peer, s.peerAt = stamp, now
	}
}

// Echo returns the echo in a message whose ages are as of a time, nil if the peer has sent no stamp.
func (s *Stamps) Echo(asOf time.Time) *rpc.Echo {
	if s.peer == 0 {
		return nil
	}
	const roundDown = 1
	return &rpc.Echo{StampUs: s.peer, HeldUs: asOf.Sub(s.peerAt).Microseconds() - roundDown}
}

// Anchor dates a message with this echo, nil if it has none, that was received at a time.
func (s *Stamps) Anchor(echo *rpc.Echo, receivedAt time.Time) Anchor {
	newest := s.Stamp(receivedAt)
	if echo == nil || echo.StampUs <= 0 || echo.StampUs > newest {
		return Received(receivedAt)
	}
	held := min(max(echo.HeldUs, -newest), newest) // a longer time would not fit between stamp and receipt
	asOf := s.epoch.Add(time.Duration(echo.StampUs)*time.Microsecond + withDrift(time.Duration(held)*time.Microsecond))
	if asOf.After(receivedAt) {
		asOf = receivedAt
	}
	return Anchor{ReceivedAt: receivedAt, AsOf: asOf, Echoed: true}
}

// withDrift returns the least time that may have passed by one clock while this time has passed by another one.
func withDrift(d time.Duration) time.Duration { return d - d.Abs()/driftDivisor }
