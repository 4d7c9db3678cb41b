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

// withWallClockStep returns t with its wall clock reading changed by step and the same
// monotonic clock reading. Package time has no function for that, so the caller checks the
// result.
func withWallClockStep(t time.Time, step time.Duration) time.Time {
	// The first word of a time with a monotonic clock reading contains seconds above 30 bits
	// of nanoseconds.
	*(*uint64)(unsafe.Pointer(&t)) += uint64(step/time.Second) << 30
	return t
}

// A backward step of the wall clock must not keep a connection without receipts in use.
func TestClockStepBackDoesNotHideStaleConnection(t *testing.T) {
	const step = -time.Hour
	now := time.Now()
	stepped := withWallClockStep(now, step)
	require.Equal(t, step, stepped.Round(0).Sub(now.Round(0)), "the wall clock reading has changed")
	require.Zero(t, stepped.Sub(now), "the monotonic clock reading has not")

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
			go func() { _, _ = io.Copy(io.Discard, conn) }() // no receipts until the other side closes
		}
	}()

	tr := newTransport([]Member{{Name: "b", Addr: lis.Addr().String()}}, 50*time.Millisecond, newMetrics())
	defer tr.close()
	var calls atomic.Int32
	tr.now = func() time.Time {
		if calls.Add(1) == 1 { // when the first message is sent
			return time.Now()
		}
		return withWallClockStep(time.Now(), step)
	}
	hello := consensus.Message{Kind: consensus.KindHello, To: consensus.ServerID{Name: "b"}}
	require.Eventually(t, func() bool {
		tr.send(hello, time.Now())
		return accepted.Load() > 1
	}, waitLimit, pollInterval)
}
