package rpcconn

import (
	"net"
	"time"

	"lynxgate.dev/lynxgate/internal/unacked"
)

// unackedTimeout is how long sent data may stay unacknowledged by the peer's kernel before
// the connection is closed. It is longer than packets queue on a saturated link and longer
// than the daemons' own timeouts: a follower of a control server disconnects after 1.5 s
// without a message, and the control server notices that by this timeout.
const unackedTimeout = 3 * time.Second

// boundUnacked sets unackedTimeout on a connection. Where the operating system does not
// support it, only the timeouts of calls and streams apply, and the connection is counted.
func boundUnacked(conn net.Conn) {
	if err := unacked.Bound(conn, unackedTimeout); err != nil {
		unbounded.Inc()
	}
}
