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

// turnAnswer bounds the wait for a control server's word on a turn: some round trips between
// regions. An entry without an answer goes on: what it would prevent is one more server that ends.
const turnAnswer = 150 * time.Millisecond

// AskTurn asks for the turn of suspect work, which one entry has at a time. All entries that
// reach the same control servers ask the same one. One call at a time may ask for a digest.
func (c *Client) AskTurn(ctx context.Context, d quarantine.Digest) bool {
	stream := c.turnKeeper(d)
	if stream == nil {
		return true
	}
	answer := make(chan bool, 1)
	c.setTurnWaiter(d, answer)
	defer c.setTurnWaiter(d, nil)
	if err := stream.Send(&rpc.FollowerMessage{TurnWanted: d[:]}); err != nil {
		return true // as without an answer
	}
	select {
	case given := <-answer:
		return given
	case <-time.After(turnAnswer):
		return true
	case <-ctx.Done():
		return false
	}
}

// EndTurn gives a turn back. If it is not told, the control server takes it back after a while.
func (c *Client) EndTurn(d quarantine.Digest) {
	if stream := c.turnKeeper(d); stream != nil {
		_ = stream.Send(&rpc.FollowerMessage{TurnEnded: d[:]})
	}
}

// turnKeeper is the control server that comes first for this work, nil if none is reached.
func (c *Client) turnKeeper(d quarantine.Digest) rpc.DRPCFleet_FollowClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	var keeper rpc.DRPCFleet_FollowClient
	var most uint64
	work := rendezvous.Hash(string(d[:]))
	for _, addr := range slices.Sorted(maps.Keys(c.known)) {
		stream := c.known[addr].stream
		if stream == nil {
			continue
		}
		if weight := rendezvous.Weight(work, rendezvous.Hash(addr)); keeper == nil || weight > most {
			keeper, most = stream, weight
		}
	}
	return keeper
}

func (c *Client) setTurnWaiter(d quarantine.Digest, answer chan bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer == nil {
		delete(c.turnWaiters, d)
		return
	}
	c.turnWaiters[d] = answer
}

// answerTurns hands a control server's answers to those that wait for them.
func (c *Client) answerTurns(turns []*rpc.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, turn := range turns {
		if len(turn.Digest) != quarantine.DigestSize {
			continue
		}
		if waiter := c.turnWaiters[quarantine.Digest(turn.Digest)]; waiter != nil {
			select {
			case waiter <- turn.Given:
			default: // it has one already
			}
		}
	}
}
