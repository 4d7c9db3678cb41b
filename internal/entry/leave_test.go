package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/keyspace"
)

// emptyFeed has no configuration and never changes.
type emptyFeed struct{}

func (emptyFeed) View() *keyspace.View     { return keyspace.NewView(0, nil) }
func (emptyFeed) Changed() <-chan struct{} { return nil }
func (emptyFeed) Unconfirmed() bool        { return true }

// A request on a keep-alive connection of a leaving entry is answered, and the
// answer closes the connection.
func TestLeavingEntryAnswersOnKeepAliveConnection(t *testing.T) {
	lis := listen(t)
	e := New(Config{
		Name: "e", MaxConnections: 10, MaxHeaderBytes: 4096, MaxBodyBytes: 4096,
		LeaveGrace: time.Hour, StartWait: time.Millisecond, Registerer: prometheus.NewRegistry(),
	}, emptyFeed{}, controlclient.New(controlclient.Config{Addrs: []string{"127.0.0.1:1"}}))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- e.serveOn(ctx, lis) }()
	conn, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	answers := bufio.NewReader(conn)
	ask := func() *http.Response {
		_, err := fmt.Fprint(conn, "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		_, err = bufio.NewReader(resp.Body).Discard(int(resp.ContentLength))
		require.NoError(t, err)
		return resp
	}
	require.False(t, ask().Close)
	left := make(chan error, 1)
	go func() { left <- e.Leave(ctx) }()
	require.Eventually(t, e.leaving.Load, 30*time.Second, time.Millisecond)
	require.True(t, ask().Close)
	cancel()
	<-left
	require.NoError(t, <-served)
}
