package unacked

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestBoundSetsUserTimeout(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	conn, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	got, err := Of(conn)
	require.NoError(t, err)
	assert.Zero(t, got)
	require.NoError(t, Bound(conn, 1500*time.Millisecond))
	got, err = Of(conn)
	require.NoError(t, err)
	assert.Equal(t, 1500*time.Millisecond, got)
	require.NoError(t, conn.Close())
	assert.Error(t, Bound(conn, time.Second), "closed connection")

	pipe, _ := net.Pipe()
	assert.NoError(t, Bound(pipe, time.Second), "not a TCP connection")
	got, err = Of(pipe)
	assert.NoError(t, err)
	assert.Zero(t, got)
}
