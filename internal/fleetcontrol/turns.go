package fleetcontrol

import (
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Suspect work runs at one entry at a time, so that a request that comes to all of them at
// once ends one server after the other until it is held, and not one by entry.

const (
	// turnLimit is after how long a turn passes to another entry though its holder has not
	// given it back: longer than a stream lasts.
	turnLimit = 10 * time.Second
	// maxTurns bounds the turns that are kept; without room work runs without one.
	maxTurns = 4096
)

// turn is the right to run suspect work.
type turn struct {
	holder *follower
	since  time.Time
}

// turns are those that this control server has given.
type turns map[quarantine.Digest]turn

// ask gives the turn to an entry, unless another one has it.
func (t turns) ask(now time.Time, d quarantine.Digest, f *follower) bool {
	held, ok := t[d]
	if ok && held.holder != f && now.Sub(held.since) < turnLimit {
		return false
	}
	if ok || len(t) < maxTurns {
		t[d] = turn{holder: f, since: now}
	}
	return true
}

// end takes the turn back, if this entry has it.
func (t turns) end(d quarantine.Digest, f *follower) {
	if t[d].holder == f {
		delete(t, d)
	}
}

// leave takes all turns of an entry back.
func (t turns) leave(f *follower) {
	for d, held := range t {
		if held.holder == f {
			delete(t, d)
		}
	}
}

// turnMessage handles an entry's word on a turn; false if there is none in the message.
func (h *hub) turnMessage(f *follower, m *rpc.FollowerMessage) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case len(m.TurnEnded) == quarantine.DigestSize:
		h.turns.end(quarantine.Digest(m.TurnEnded), f)
	case len(m.TurnWanted) == quarantine.DigestSize:
		d := quarantine.Digest(m.TurnWanted)
		f.turns = append(f.turns, &rpc.Turn{Digest: d[:], Given: h.turns.ask(clock.Now(), d, f)})
		f.notify()
	default:
		return false
	}
	return true
}
