package fleetcontrol

import (
	"time"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// One entry at a time dispatches a suspect request content. A crashing request that all entries
// receive at once then crashes one server after the other until it is quarantined, and not one
// server by entry.

const (
	// turnExpiry is after how long a turn that its holder has not released may pass to another
	// entry: longer than a stream lasts.
	turnExpiry = 10 * time.Second
	// maxTurns bounds the turns in memory; beyond it contents are dispatched without one.
	maxTurns = 4096
)

// turn is the right to dispatch a suspect content.
type turn struct {
	holder *follower
	// id is that of the holder's request, 0 if the entry is of an earlier build.
	id    uint64
	since time.Time
}

// turns are those granted by this control server.
type turns map[quarantine.Digest]turn

// acquire grants the turn to an entry for its request with this id, unless another entry has it.
func (t turns) acquire(now time.Time, d quarantine.Digest, f *follower, id uint64) bool {
	current, ok := t[d]
	if ok && current.holder != f && now.Sub(current.since) < turnExpiry {
		return false
	}
	if ok || len(t) < maxTurns {
		t[d] = turn{holder: f, id: id, since: now}
	}
	return true
}

// release releases the turn if this entry has it by its request with this id. A release of an earlier
// request does not end the turn of a later one.
func (t turns) release(d quarantine.Digest, f *follower, id uint64) {
	if current := t[d]; current.holder == f && current.id == id {
		delete(t, d)
	}
}

// releaseAll releases all turns of an entry.
func (t turns) releaseAll(f *follower) {
	for d, current := range t {
		if current.holder == f {
			delete(t, d)
		}
	}
}

// handleTurnMessage handles an entry's request for a turn or its release, and reports whether the
// message has one.
func (h *hub) handleTurnMessage(f *follower, m *rpc.FollowerMessage) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case len(m.TurnEnded) == quarantine.DigestSize:
		h.turns.release(quarantine.Digest(m.TurnEnded), f, m.TurnId)
	case len(m.TurnWanted) == quarantine.DigestSize:
		if !h.followers[f] {
			return true // its stream has ended and would release nothing
		}
		d := quarantine.Digest(m.TurnWanted)
		given := h.turns.acquire(clock.Now(), d, f, m.TurnId)
		f.turns = append(f.turns, &rpc.Turn{Digest: d[:], Id: m.TurnId, Given: given})
		f.notifyUrgent()
	default:
		return false
	}
	return true
}
