package follow

import (
	"context"
	"maps"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rendezvous"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// turnTimeout bounds the wait for a control server's answer to a request for a turn: some
// round trips between regions. Without an answer the entry dispatches the request, at the risk
// of one more crash of a backend server.
const turnTimeout = 150 * time.Millisecond

// turnRequest is a request for a turn, pending or granted.
type turnRequest struct {
	// id is unique within this process. Its answer and its release carry it, so that neither is
	// taken for that of another request for the same content.
	id uint64
	// stream is the one on which it was sent. The release is sent there, too, whichever
	// control server is the arbiter by then.
	stream rpc.DRPCFleet_FollowClient
	answer chan bool
}

// AcquireTurn requests the turn of a suspect request content, the right to dispatch it, which one
// entry has at a time. It reports whether the entry may dispatch the request. Entries that are
// connected to the same control servers ask the same one of them. Calls for one digest must
// not be concurrent.
func (c *Client) AcquireTurn(ctx context.Context, d quarantine.Digest) bool {
	r := c.addTurnRequest(d)
	if r == nil {
		return true
	}
	if err := r.stream.Send(&rpc.FollowerMessage{TurnWanted: d[:], TurnId: r.id}); err != nil {
		return true // like a missing answer
	}
	select {
	case given := <-r.answer:
		if !given {
			c.removeTurnRequest(d)
		}
		return given
	case <-time.After(turnTimeout):
		return true
	case <-ctx.Done():
		c.ReleaseTurn(d) // it may be granted
		return false
	}
}

// ReleaseTurn releases a turn, also one that is granted after AcquireTurn has stopped waiting for it.
// If the message is lost, the turn ends with the stream or expires at the control server. A turn
// that was denied may be released, without effect.
func (c *Client) ReleaseTurn(d quarantine.Digest) {
	if stream, id := c.removeTurnRequest(d); stream != nil {
		_ = stream.Send(&rpc.FollowerMessage{TurnEnded: d[:], TurnId: id})
	}
}

// addTurnRequest records a request to the control server that grants the turns of this content, nil if
// no stream is open.
func (c *Client) addTurnRequest(d quarantine.Digest) *turnRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	stream := c.turnArbiter(d)
	if stream == nil {
		return nil
	}
	c.lastTurnID++
	r := &turnRequest{id: c.lastTurnID, stream: stream, answer: make(chan bool, 1)}
	c.turnRequests[d] = r
	return r
}

// removeTurnRequest removes the request for this content. It returns its stream and id; if there is
// none, the stream to the arbiter and 0.
func (c *Client) removeTurnRequest(d quarantine.Digest) (rpc.DRPCFleet_FollowClient, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.turnRequests[d]
	if r == nil {
		return c.turnArbiter(d), 0
	}
	delete(c.turnRequests, d)
	return r.stream, r.id
}

// turnArbiter returns the stream to the control server that grants the turns of this content:
// of those with an open stream the one that ranks first by rendezvous hashing, nil if there is
// none. The caller holds the lock.
func (c *Client) turnArbiter(d quarantine.Digest) rpc.DRPCFleet_FollowClient {
	var arbiter rpc.DRPCFleet_FollowClient
	var most uint64
	content := rendezvous.Hash(string(d[:]))
	for _, addr := range slices.Sorted(maps.Keys(c.known)) {
		stream := c.known[addr].stream
		if stream == nil {
			continue
		}
		if weight := rendezvous.Weight(content, rendezvous.Hash(addr)); arbiter == nil || weight > most {
			arbiter, most = stream, weight
		}
	}
	return arbiter
}

// deliverTurns delivers the answers that a control server has sent on this stream to the calls of
// AcquireTurn that wait for them. A control server of an earlier build does not echo the id of a
// request.
func (c *Client) deliverTurns(stream rpc.DRPCFleet_FollowClient, turns []*rpc.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, turn := range turns {
		if len(turn.Digest) != quarantine.DigestSize {
			continue
		}
		r := c.turnRequests[quarantine.Digest(turn.Digest)]
		if r == nil || r.stream != stream || turn.Id != 0 && turn.Id != r.id {
			continue
		}
		select {
		case r.answer <- turn.Given:
		default: // it already has an answer
		}
	}
}
