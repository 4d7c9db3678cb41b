package replica

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/consensus"
)

// withTimeOfDay returns a time whose time of day is another one, and whose monotonic part
// is not. Package time has no call for that; the caller checks what comes out.
func withTimeOfDay(t time.Time, step time.Duration) time.Time {
	// The first word of a time with a monotonic part holds seconds above 30 bits of
	// nanoseconds.
	*(*uint64)(unsafe.Pointer(&t)) += uint64(step/time.Second) << 30
	return t
}

// A step back of the time of day doesn't make a connection that has gone silent look
// trusted.
func TestStepBackOfTheTimeOfDayHidesNoSilentConnection(t *testing.T) {
	const step = -time.Hour
	now := time.Now()
	stepped := withTimeOfDay(now, step)
	require.Equal(t, step, stepped.Round(0).Sub(now.Round(0)), "the time of day has another value")
	require.Zero(t, stepped.Sub(now), "the monotonic part has not")

	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() { _, _ = io.Copy(io.Discard, conn) }() // silent until the other side ends
		}
	}()

	tr := newTransport([]Member{{Name: "b", Addr: lis.Addr().String()}}, 50*time.Millisecond, newMetrics())
	defer tr.close()
	var calls atomic.Int32
	tr.now = func() time.Time {
		if calls.Add(1) == 1 { // when the first message is sent
			return time.Now()
		}
		return withTimeOfDay(time.Now(), step)
	}
	hello := consensus.Message{Kind: consensus.KindHello, To: consensus.ServerID{Name: "b"}}
	require.Eventually(t, func() bool {
		tr.send(hello, time.Now())
		return accepted.Load() > 1
	}, waitLimit, tick)
}
