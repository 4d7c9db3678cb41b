package rpcconn

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// unackedTimeout is for how long what was sent may be without an acknowledgement of
	// the peer's kernel: then the connection ends. A connection that has gone silent, or
	// whose peer has lost power, would else be kept for minutes. It is longer than a
	// packet waits on a link that is full, and than what the daemons themselves notice:
	// a follower of a control server that hears nothing for 1.5 s leaves, and this is
	// how the control server notices that it has.
	unackedTimeout = 3 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux (RFC 5482), in milliseconds.
	tcpUserTimeout = 18
)

// boundUnacked ends a TCP connection once what was sent is not acknowledged in time. A
// system that doesn't know the option still has the time-outs of each call and stream;
// such connections are counted.
func boundUnacked(conn net.Conn) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		var failed error
		err = raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
		})
		err = errors.Join(err, failed)
	}
	if err != nil {
		unbounded.Inc()
	}
}
