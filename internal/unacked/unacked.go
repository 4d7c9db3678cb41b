// Package unacked bounds how long data sent over a TCP connection may remain
// unacknowledged by the peer's kernel. A connection can go silent permanently without a
// reset while new connections work, and TCP by default closes it only after minutes. It
// keeps no state.
package unacked

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// userTimeout is the Linux socket option TCP_USER_TIMEOUT (RFC 5482), whose value is in
// milliseconds.
const userTimeout = 18

// Bound makes a TCP connection fail with syscall.ETIMEDOUT once sent data remains
// unacknowledged for d. It leaves other kinds of connections unchanged. It returns an
// error if the operating system refuses the option.
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
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

// Of returns the bound set on a connection, or 0 if there is none.
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
		return 0, fmt.Errorf("read TCP_USER_TIMEOUT: %w", err)
	}
	return time.Duration(ms) * time.Millisecond, nil
}
