package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/standstill"
)

// silentAddr listens at addr and answers no further connection: the accept queue has one place,
// which is taken, so Linux drops each SYN. Once close has been called, connections are refused.
func silentAddr(t testing.TB, addr string) (lis net.Listener, closeListener func()) {
	lis, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	raw, err := lis.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	var listenErr error
	require.NoError(t, raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), 0) }))
	require.NoError(t, listenErr)
	conn, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	closeListener = func() {
		_ = lis.Close()
		_ = conn.Close()
	}
	t.Cleanup(closeListener)
	return lis, closeListener
}

func serverAt(addr string) *balance.Server { return &balance.Server{Pool: dispatch.NewPool(addr)} }

// TestRefusalAfterAnUnansweredProbeIsACrash guards against a crash that is not counted because the
// first connection attempt got no answer, as on a busy machine.
func TestRefusalAfterAnUnansweredProbeIsACrash(t *testing.T) {
	lis, closeListener := silentAddr(t, "127.0.0.1:0")
	time.AfterFunc(20*time.Millisecond, closeListener) // the first SYN is repeated after 1 s
	s := newSuspicions(zerolog.Nop(), nil, nil)
	assert.True(t, s.hasCrashed(serverAt(lis.Addr().String())))
}

// TestUnreachableServerHasNotCrashed: a VM that has lost power answers no probe. It does not count
// as crashed, and its requests must not wait for long.
func TestUnreachableServerHasNotCrashed(t *testing.T) {
	standstill.Run(t, func(t testing.TB) {
		lis, _ := silentAddr(t, "127.0.0.1:0")
		s := newSuspicions(zerolog.Nop(), nil, nil)
		began := time.Now()
		assert.False(t, s.hasCrashed(serverAt(lis.Addr().String())))
		assert.Less(t, time.Since(began), 300*time.Millisecond)
	})
}

// TestCrashesAfterUnansweredProbesAreCounted sends a request to servers that crash on it and whose
// VM answers the first probe too late or not at all: no more than three may crash.
func TestCrashesAfterUnansweredProbesAreCounted(t *testing.T) {
	var backends []*backend
	for _, id := range []string{"b-1", "b-2", "b-3", "b-4", "b-5"} {
		var b *backend
		ready := make(chan struct{})
		b = newBackend(t, id, func(http.ResponseWriter, *http.Request) {
			<-ready
			_ = b.Listener.Close()
			_, closeListener := silentAddr(t, b.Listener.Addr().String())
			time.AfterFunc(20*time.Millisecond, closeListener)
			b.CloseClientConnections()
		})
		close(ready)
		backends = append(backends, b)
	}
	e := newEntry(t, backends...)
	e.onlyEngines()
	for range 5 {
		e.ask(t, http.MethodPost, "/stream/x")
	}
	reached := 0
	for _, b := range backends {
		reached += len(b.requests())
	}
	assert.Equal(t, 3, reached)
}
