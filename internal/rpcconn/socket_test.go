package rpcconn

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/unacked"
)

func unackedBound(t *testing.T, conn net.Conn) time.Duration {
	bound, err := unacked.Of(conn)
	require.NoError(t, err)
	return bound
}

// Without the timeout at both ends, a connection whose peer no longer replies stays open.
func TestUnackedTimeoutIsSetAtBothEnds(t *testing.T) {
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
	assert.Equal(t, unackedTimeout, unackedBound(t, dialled.transport.Conn))
	assert.Equal(t, unackedTimeout, unackedBound(t, accepted.(*countedConn).Conn))

	raw, err := DialTCP(context.Background(), lis.Addr().String(), DialTimeout)
	require.NoError(t, err)
	defer raw.Close()
	assert.Equal(t, unackedTimeout, unackedBound(t, raw))
}
