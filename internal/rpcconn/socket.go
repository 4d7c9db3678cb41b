package rpcconn

import (
	"net"
	"time"

	"lynxgate.dev/lynxgate/internal/unacked"
)

// unackedTimeout is for how long what was sent may be without an acknowledgement of the
// peer's kernel: then the connection ends. It is longer than a packet waits on a link
// that is full, and than what the daemons themselves notice: a follower of a control
// server that hears nothing for 1.5 s leaves, and this is how the control server notices
// that it has.
const unackedTimeout = 3 * time.Second

// boundUnacked ends a connection that has gone silent. On a system that does not let it,
// the time-outs of each call and stream are left; such connections are counted.
func boundUnacked(conn net.Conn) {
	if err := unacked.Bound(conn, unackedTimeout); err != nil {
		unbounded.Inc()
	}
}
