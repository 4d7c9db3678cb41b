package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// idempotencyKey is a header that makes net/http retry a request by itself unless
// that is prevented.
var idempotencyKey = &rpc.Header{Name: "Idempotency-Key", Value: "k"}

// rawServer counts the requests that it reads. It answers the given number of
// requests with keep-alive, and closes the connection without an answer to
// every later one.
func rawServer(t *testing.T, answers int64) (addr string, requests *atomic.Int64) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	requests = &atomic.Int64{}
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = reader.Discard(int(req.ContentLength))
			if requests.Add(1) > answers {
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
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
	return lis.Addr().String(), requests
}

// A backend server that closes the connection after it has received a request
// may have run it, and net/http must not send the request again.
func TestCallWithoutAnswerIsUnknownAndNotRepeated(t *testing.T) {
	for _, kind := range []inventory.ServiceKind{inventory.KindPlain, inventory.KindModel} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(string(kind)+method, func(t *testing.T) {
				addr, requests := rawServer(t, 1)
				b := newTestbed(t, kind, addr)
				b.agent.gate.serve(v1)
				for i := range 2 {
					in := request(v1, idempotencyKey)
					in.Method = method
					if method == http.MethodGet {
						in.Body = nil
					}
					got := last(b.run(in))
					want := []rpc.FrameKind{rpc.FrameKind_FRAME_END, rpc.FrameKind_FRAME_UNKNOWN}[i]
					require.Equal(t, want, got.Kind, got.Reason)
				}
				require.EqualValues(t, 2, requests.Load())
			})
		}
	}
}

// FRAME_NOT_RUN is sent only if the backend server cannot have run the request.
func TestNotRunOnlyIfBackendServerCannotHaveRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	busy := func(t *testing.T) string {
		return backendServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	cases := []struct {
		name    string
		kind    inventory.ServiceKind
		backend func(*testing.T) string
		want    rpc.FrameKind
		reason  outcome.Reason
	}{
		{"refused connection", inventory.KindPlain, func(*testing.T) string { return closed.Addr().String() }, rpc.FrameKind_FRAME_NOT_RUN, outcome.BackendRefused},
		{"engine took no work", inventory.KindModel, busy, rpc.FrameKind_FRAME_NOT_RUN, outcome.BackendRefused},
		{"503 is a plain service's answer", inventory.KindPlain, busy, rpc.FrameKind_FRAME_END, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, c.kind, c.backend(t))
			b.agent.gate.serve(v1)
			got := last(b.run(request(v1)))
			require.Equal(t, c.want, got.Kind)
			require.Equal(t, string(c.reason), got.Reason)
		})
	}
}

// The outcome is unknown if the connection breaks within a response.
func TestCutAnswerIsUnknown(t *testing.T) {
	addr := backendServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	b := newTestbed(t, inventory.KindModel, addr)
	b.agent.gate.serve(v1)
	frames := b.run(request(v1))
	require.Equal(t, rpc.FrameKind_FRAME_UNKNOWN, last(frames).Kind)
	require.Equal(t, string(outcome.AnswerCut), last(frames).Reason)
	require.Equal(t, []byte("part"), frames[1].Data)
}

// A response is withheld if its weights digest is not that of the pinned
// version.
func TestResponseFromOtherWeightsIsWithheld(t *testing.T) {
	for _, stated := range []string{"", "right", "wrong"} {
		t.Run("digest "+stated, func(t *testing.T) {
			addr := backendServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerWeightsDigest, stated)
				_, _ = w.Write([]byte("answer"))
			})
			b := newTestbed(t, inventory.KindModel, addr)
			b.agent.staged.Store(&map[orders.Ref]orders.Weights{v1: {Digest: "right"}})
			b.agent.gate.serve(v1)
			frames := b.run(request(v1))
			if stated != "wrong" {
				require.Equal(t, rpc.FrameKind_FRAME_END, last(frames).Kind)
				return
			}
			require.Len(t, frames, 1)
			require.Equal(t, rpc.FrameKind_FRAME_UNKNOWN, frames[0].Kind)
			require.Equal(t, string(outcome.AnswerCorrupt), frames[0].Reason)
		})
	}
}

func TestDeadlineCancelsCall(t *testing.T) {
	ended := make(chan struct{})
	addr := backendServer(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	b := newTestbed(t, inventory.KindModel, addr)
	b.agent.gate.serve(v1)
	in := request(v1)
	in.DeadlineMs = 50
	got := last(b.run(in))
	require.Equal(t, rpc.FrameKind_FRAME_UNKNOWN, got.Kind)
	require.Equal(t, string(outcome.DeadlineExceeded), got.Reason)
	<-ended
}

// An entry that closes the stream cancels the call at the backend server.
func TestCancelReachesBackendServer(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	addr := backendServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	b := newTestbed(t, inventory.KindModel, addr)
	b.agent.gate.serve(v1)
	ctx, cancel := context.WithCancel(context.Background())
	b.open(ctx, request(v1))
	<-begun
	cancel()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatal("the request to the backend server was not cancelled")
	}
	require.Eventually(t, func() bool { return b.agent.gate.state().inFlight == 0 }, waitTimeout, time.Millisecond)
}
