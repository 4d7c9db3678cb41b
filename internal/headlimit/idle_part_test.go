package headlimit_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/headlimit"
)

// suspendedConn is a connection whose second read returns only once a request is written, as that of a process that stands still.
type suspendedConn struct {
	net.Conn
	reads   int
	read    chan struct{}
	written chan struct{}
	writes  int
}

func (c *suspendedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.reads++; c.reads == 2 {
		close(c.read)
		<-c.written
	}
	return n, err
}

func (c *suspendedConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 2 {
		close(c.written)
	}
	return c.Conn.Write(p)
}

// Guards against a part of a head that is read on an idle connection right before the next request, whose answer completes it.
func TestPartOfAHeadThatIsReadBeforeTheRequestIsCompletedByItsAnswer(t *testing.T) {
	near, far := net.Pipe()
	conn := &suspendedConn{read: make(chan struct{}), written: make(chan struct{})}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dial := func(context.Context, string, string) (net.Conn, error) { return near, nil }
		c, err := headlimit.Checked(dial, nil)(ctx, network, addr)
		conn.Conn = c
		return conn, err
	}}}
	go func() {
		buf := make([]byte, 4<<10)
		_, _ = far.Read(buf)
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nX-Field: va")
		_, _ = far.Read(buf)
		_, _ = io.WriteString(far, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n{}")
	}()
	resp, err := client.Get("http://engine/")
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	<-conn.read
	resp, err = client.Post("http://engine/", "", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	assert.ErrorIs(t, err, headlimit.ErrSplicedHead)
}
