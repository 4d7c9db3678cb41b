// Package headlimittest provides a server whose answers begin with a part of another one's head.
package headlimittest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// SplicedAnswer is a 200 that was cut in a field, and a 500 that completes it.
const SplicedAnswer = "HTTP/1.1 200 OK\r\nX-Field: vaHTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n{}"

// Serve answers the nth request of each connection with the nth text, and closes the connection after the last one. It returns the
// server's address.
func Serve(t testing.TB, answers ...string) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go answer(c, answers)
		}
	}()
	return lis.Addr().String()
}

func answer(c net.Conn, answers []string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for _, text := range answers {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}
