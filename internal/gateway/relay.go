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
		Id: []byte(c.id), Addr: choice.Server.Addr, Born: choice.StartUnixMs, Model: []byte(c.model), Version: choice.Version,
		LeftUs: choice.Expiry.At.Sub(now).Microseconds(), DeadlineUs: c.deadline.Sub(now).Microseconds(),
		EndsBefore: choice.Expiry.KeptByServer, RunOnce: !c.cancellable(), Head: head, Body: c.body,
	})
	if err != nil {
		panic("gateway: " + err.Error()) // callers' values are bytes, and the address is that of a server that was reached
	}
	return encoded
}

// agentHasEnded reports whether the agent that relayed a request has ended, and the server has not.
func agentHasEnded(choice *balance.Choice) bool {
	return probe(choice.Pool()) == probeRefused && probe(choice.Server.Pool) == probeAccepted
}
