package rpcconn

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func unackedBound(t *testing.T, conn net.Conn) (ms int) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		ms, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	require.NoError(t, err)
	return ms
}

// Both ends notice a connection that went silent.
func TestUnacknowledgedBytesEndAConnection(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	lis := countedListener{plain}
	defer lis.Close()
	dialled, err := Dial(context.Background(), lis.Addr().String())
	require.NoError(t, err)
	defer dialled.Close()
	accepted, err := lis.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	assert.EqualValues(t, 3000, unackedBound(t, dialled.transport.Conn))
	assert.EqualValues(t, 3000, unackedBound(t, accepted.(*countedConn).Conn))

	raw, err := DialTCP(context.Background(), lis.Addr().String(), DialTimeout)
	require.NoError(t, err)
	defer raw.Close()
	assert.EqualValues(t, 3000, unackedBound(t, raw))
}
