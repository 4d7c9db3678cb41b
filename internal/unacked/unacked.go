// Package unacked bounds how long what was sent over a TCP connection may be without an
// acknowledgement of the peer's kernel. A connection can go silent for good, without a
// reset, while new ones work; TCP alone gives it up after minutes. It keeps no state.
package unacked

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// userTimeout is TCP_USER_TIMEOUT of Linux (RFC 5482), in milliseconds.
const userTimeout = 18

// Bound makes a connection fail, with syscall.ETIMEDOUT, once what was sent is not
// acknowledged for d. Connections of other kinds are left as they are. Its error says
// that the system does not let it.
func Bound(conn net.Conn, d time.Duration) error {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		var failed error
		err = raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(d.Milliseconds()))
		})
		err = errors.Join(err, failed)
	}
	if err != nil {
		return fmt.Errorf("bound what is unacknowledged: %w", err)
	}
	return nil
}

// Of returns the bound of a connection, 0 if there is none.
func Of(conn net.Conn) (time.Duration, error) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := tcp.SyscallConn()
	var ms int
	if err == nil {
		var failed error
		err = raw.Control(func(fd uintptr) {
			ms, failed = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout)
		})
		err = errors.Join(err, failed)
	}
	if err != nil {
		return 0, fmt.Errorf("read bound of what is unacknowledged: %w", err)
	}
	return time.Duration(ms) * time.Millisecond, nil
}
