package gateway

import (
	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/relay"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// encodeRelayed returns a request with this head as it is sent to the agent on the chosen server's VM. The agent writes the deadline
// when it reads the request, by the time that is left here and by the bound that it knows itself.
func (c *call) encodeRelayed(choice *balance.Choice, head []byte) []byte {
	now := clock.Now()
	encoded, err := relay.Encode(&rpc.RelayRequest{
		Id: []byte(c.id), Addr: choice.Server.Addr, Model: []byte(c.model), Version: choice.Version,
		LeftUs: choice.RelayBound().Sub(now).Microseconds(), DeadlineUs: c.deadline.Sub(now).Microseconds(),
		EndsBefore: choice.Expiry.KeptByServer, RunOnce: !c.cancellable(), Head: head, Body: c.body,
	})
	if err != nil {
		panic("gateway: " + err.Error()) // callers' values are bytes, and the address is that of a server that was reached
	}
	return encoded
}

// endedByAgent reports whether a relayed request that failed says nothing about its server, which accepts connections: the agent has
// ended, or has cancelled the request because of the bound that it knows. Once an answer has begun, only the end of the agent counts.
func (g *Gateway) endedByAgent(choice *balance.Choice, begun bool) bool {
	if probe(choice.Server.Pool) != probeAccepted {
		return false
	}
	if probe(choice.Pool()) == probeAccepted {
		return !begun
	}
	g.balancer.RelayRefused(choice.Server, clock.Now())
	return true
}

// relayRefusal returns how an attempt that the agent refused to pass on ended for the balancer, false if its server refused it.
func (g *Gateway) relayRefusal(reason relay.Reason, choice *balance.Choice) (balance.Result, bool) {
	if !choice.Expiry.Relayed {
		return 0, false
	}
	switch reason {
	case relay.ReasonDraining:
		g.balancer.RelayRefused(choice.Server, clock.Now())
		return balance.ResultUnknown, true
	case relay.ReasonFull, relay.ReasonHolding, relay.ReasonExpired, relay.ReasonNoTime, relay.ReasonNoMemory: // others that are answered sooner, or are smaller, may be passed on
		return balance.ResultUnknown, true
	}
	return 0, false
}
