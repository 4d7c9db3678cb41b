package gateway

import (
	"fmt"
	"io"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
)

// errUnframedEnd means that an answer without framing ended with its connection, and that nothing shows that its server ended it there.
var errUnframedEnd = fmt.Errorf("answer without framing: %w", io.ErrUnexpectedEOF)

// checkEnd returns an error if an answer of the chosen server that was read to its end may be incomplete. An answer with neither
// a length nor chunks ends with its connection, and so does one whose server crashes. It is complete if the server still accepts
// connections, or had announced that it leaves. The check takes one round trip to a server that runs.
func (c *call) checkEnd(choice *balance.Choice, a *dispatch.Answer) error {
	if !a.Unframed() {
		return nil
	}
	if choice.Expiry.Relayed {
		// Agents pass such an answer back in chunks. Those that can't, as of an earlier release or for HTTP/1.0, may have ended and started
		// again, which looks as if the server had ended the answer.
		return errUnframedEnd
	}
	if left := clock.Until(choice.Deadline(c.deadline)); left < deadlineTolerance {
		return errUnframedEnd // its server ends it at the deadline, wherever it is
	}
	switch probe(choice.Server.Pool) {
	case probeAccepted:
		return nil
	case probeRefused:
		if c.g.balancer.Leaving(choice.Server) {
			return nil
		}
	}
	return errUnframedEnd
}
