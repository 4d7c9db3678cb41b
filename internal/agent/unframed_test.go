package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// unframedServer answers one request with a body that ends with its connection. crashes: it refuses connections by then; leaves: it has
// stated that it leaves.
func unframedServer(t *testing.T, crashes, leaves bool) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return // a probe
		}
		_, _ = io.Copy(io.Discard, req.Body) // a close before that would reset the connection
		leaving := ""
		if leaves {
			leaving = headerLeaving + ": 1\r\n"
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\npart", leaving)
		if crashes {
			_ = lis.Close()
		}
	}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return lis.Addr().String()
}

// Guards against the part of an answer that a crashed server wrote, without a length or chunks, being passed on as the whole.
func TestUnframedAnswerOfACrashedServerIsUnknown(t *testing.T) {
	for _, kind := range []inventory.ServiceKind{inventory.KindPlain, inventory.KindModel} {
		for name, c := range map[string]struct {
			crashes, leaves bool
			want            rpc.FrameKind
		}{
			"runs":    {false, false, rpc.FrameKind_FRAME_END},
			"crashed": {true, false, rpc.FrameKind_FRAME_UNKNOWN},
			"left":    {true, true, rpc.FrameKind_FRAME_END},
		} {
			t.Run(string(kind)+" "+name, func(t *testing.T) {
				b := newTestbed(t, kind, unframedServer(t, c.crashes, c.leaves))
				b.agent.gate.serve(v1)
				got := last(b.run(request(v1)))
				require.Equal(t, c.want, got.Kind)
				if c.crashes && !c.leaves {
					require.EqualValues(t, outcome.AnswerCut, got.Reason)
				}
			})
		}
	}
}
