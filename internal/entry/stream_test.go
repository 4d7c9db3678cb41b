package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/frames"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/routing"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const (
	chatPath   = "/v1/completions"
	streamBody = `{"model":"chat","prompt":"p","stream":true}`
	wholeBody  = `{"model":"chat","prompt":"p"}`
	lastEvent  = "data: [DONE]\n\n"
)

var eventStream = []*rpc.Header{{Name: "Content-Type", Value: "text/event-stream"}}

func events(version string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "data: %s-%d\n\n", version, i)
	}
	return b.String()
}

// streamTo answers with n events, or fails after cut of them.
func streamTo(version string, cut, n int) runFunc {
	return func(in *rpc.RunRequest, w *frames.Writer, send func(*rpc.ResponseFrame) error, _ context.Context) error {
		from := 0
		for _, h := range in.Headers {
			if h.Name == headerResume {
				_, _ = fmt.Sscan(h.Value, &from)
			}
		}
		_ = send(w.Head(200, eventStream))
		for i := from; i < n; i++ {
			if i == cut {
				return errors.New("cut")
			}
			_ = send(w.Data([]byte(events(version, i, i+1))))
		}
		_ = send(w.Data([]byte(lastEvent)))
		return send(w.End())
	}
}

// A truncated stream is resumed where it ended, on the same version only.
// Without another replica of that version the caller gets an error event and a
// broken connection.
func TestTruncatedStreamResumesOnTheSameVersionOnly(t *testing.T) {
	for _, other := range []string{"v1", "v2"} {
		t.Run("other replica on "+other, func(t *testing.T) {
			cutter := &fakeAgent{version: "v1", run: streamTo("v1", 2, 5)}
			second := &fakeAgent{version: other, run: streamTo(other, -1, 5)}
			b := newTestbed(t, Config{}, cutter, second)
			require.Eventually(t, func() bool {
				got := b.call(chatPath, streamBody)
				if len(cutter.requests()) == 0 {
					return false // the other one was picked first
				}
				if other == "v1" {
					require.Equal(t, events("v1", 0, 5)+lastEvent, got.body)
					require.False(t, got.broken)
					require.Equal(t, "v1", second.requests()[len(second.requests())-1].Version)
					return true
				}
				require.True(t, got.broken, "a cut answer must not end cleanly")
				require.True(t, strings.HasPrefix(got.body, events("v1", 0, 2)+"event: error\n"), got.body)
				require.NotContains(t, got.body, "[DONE]")
				return true
			}, waitLimit, time.Millisecond)
		})
	}
}

// The final event of a stream is sent only after the end frame is checked. Lost
// and corrupt frames abort the stream; duplicate and reordered frames and those
// of another request do no harm.
func TestOnlyAVerifiedStreamEndsCleanly(t *testing.T) {
	whole := events("v1", 0, 2) + lastEvent
	cases := map[string]struct {
		change func([]*rpc.ResponseFrame) []*rpc.ResponseFrame
		clean  bool
	}{
		"as sent":    {func(f []*rpc.ResponseFrame) []*rpc.ResponseFrame { return f }, true},
		"doubled":    {func(f []*rpc.ResponseFrame) []*rpc.ResponseFrame { return append(f[:2:2], f[1:]...) }, true},
		"reordered":  {func(f []*rpc.ResponseFrame) []*rpc.ResponseFrame { f[1], f[2] = f[2], f[1]; return f }, true},
		"no end":     {func(f []*rpc.ResponseFrame) []*rpc.ResponseFrame { return f[:len(f)-1] }, false},
		"one lost":   {func(f []*rpc.ResponseFrame) []*rpc.ResponseFrame { return append(f[:2:2], f[3:]...) }, false},
		"bad digest": {func(f []*rpc.ResponseFrame) []*rpc.ResponseFrame { f[len(f)-1].Digest[0]++; return f }, false},
		"bad byte": {func(f []*rpc.ResponseFrame) []*rpc.ResponseFrame {
			f[2].Data = bytes.Replace(f[2].Data, []byte("v1"), []byte("v9"), 1)
			return f
		}, false},
		"foreign frame": {func(f []*rpc.ResponseFrame) []*rpc.ResponseFrame {
			foreign := &rpc.ResponseFrame{RequestId: "other", Seq: 1, Kind: rpc.FrameKind_FRAME_DATA, Data: []byte("data: secret\n\n")}
			return append([]*rpc.ResponseFrame{f[0], foreign}, f[1:]...)
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			agent := &fakeAgent{version: "v1", run: func(_ *rpc.RunRequest, w *frames.Writer, send func(*rpc.ResponseFrame) error, _ context.Context) error {
				all := []*rpc.ResponseFrame{
					w.Head(200, eventStream), w.Data([]byte(events("v1", 0, 1))), w.Data([]byte(events("v1", 1, 2))),
					w.Data([]byte(lastEvent)), w.End(),
				}
				for _, f := range c.change(all) {
					_ = send(f)
				}
				return nil
			}}
			got := newTestbed(t, Config{}, agent).call(chatPath, streamBody)
			require.Equal(t, c.clean, !got.broken)
			if c.clean {
				require.Equal(t, whole, got.body)
				return
			}
			require.NotContains(t, got.body, "[DONE]")
			require.Contains(t, got.body, "event: error")
		})
	}
}

// An answer that is not a stream is sent only after it is checked. If it is too
// large to buffer and truncated, the connection to the caller is aborted.
func TestTruncatedUnstreamedAnswer(t *testing.T) {
	for size, begun := range map[int]bool{100: false, maxBufferedBytes + 1: true} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			agent := &fakeAgent{run: func(_ *rpc.RunRequest, w *frames.Writer, send func(*rpc.ResponseFrame) error, _ context.Context) error {
				_ = send(w.Head(200, nil))
				_ = send(w.Data(make([]byte, size)))
				return errors.New("cut")
			}}
			got := newTestbed(t, Config{}, agent).call("/services/office/x", "")
			if begun {
				require.True(t, got.broken)
				return
			}
			require.Equal(t, 502, got.status)
			require.Equal(t, "unknown", got.kind)
		})
	}
}

// block runs until its request is cancelled. With begins, it first sends the
// head and one event.
func block(ended chan struct{}, begins bool) runFunc {
	return func(_ *rpc.RunRequest, w *frames.Writer, send func(*rpc.ResponseFrame) error, ctx context.Context) error {
		if begins {
			_ = send(w.Head(200, eventStream))
			_ = send(w.Data([]byte(events("v1", 0, 1))))
		}
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	}
}

func requireEnds(t *testing.T, ended chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Fatal("the agent still runs the request")
	}
}

func TestCallerGoneCancelsTheRequest(t *testing.T) {
	ended := make(chan struct{})
	agent := &fakeAgent{version: "v1", run: block(ended, true)}
	b := newTestbed(t, Config{}, agent)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := b.send(ctx, chatPath, streamBody)
	require.NoError(t, err)
	defer resp.Body.Close()
	cancel()
	requireEnds(t, ended)
	require.Len(t, agent.requests(), 1, "a request whose caller has gone is not retried")
}

func TestDeadlineCancelsAndIsReported(t *testing.T) {
	ended := make(chan struct{})
	agent := &fakeAgent{run: block(ended, false)}
	b := newTestbed(t, Config{}, agent)
	// The estimated service time of a first request would exceed a shorter
	// deadline.
	got := b.call("/services/office/read", "", HeaderDeadline, "1500")
	require.Equal(t, 504, got.status)
	require.Equal(t, outcome.DeadlineExceeded, got.reason)
	require.Equal(t, "unknown", got.kind)
	require.LessOrEqual(t, agent.requests()[0].DeadlineMs, int64(1500))
	requireEnds(t, ended)
	for _, bad := range []string{"0", "-1", "x", "99999999999"} {
		require.Equal(t, 400, b.call(chatPath, wholeBody, HeaderDeadline, bad).status, bad)
	}
}

// A long stream that has begun does not indicate a stalled backend server.
func TestLongStreamsAreNotTakenForStalled(t *testing.T) {
	answer := func(in *rpc.RunRequest, w *frames.Writer, send func(*rpc.ResponseFrame) error, ctx context.Context) error {
		if bytes.Contains(in.Body, []byte("long")) {
			return block(make(chan struct{}), true)(in, w, send, ctx)
		}
		return streamTo("v1", -1, 2)(in, w, send, ctx)
	}
	b := newTestbed(t, Config{}, &fakeAgent{version: "v1", run: answer}, &fakeAgent{version: "v1", run: answer})
	for range 12 {
		b.call(chatPath, streamBody)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 4 {
		resp, err := b.send(ctx, chatPath, `{"model":"chat","prompt":"long","stream":true}`)
		require.NoError(t, err)
		defer resp.Body.Close()
	}
	for _, action := range b.entry.router.table.Step(time.Now().Add(time.Hour), routing.Tick{}) {
		_, ejected := action.(routing.Ejected)
		require.False(t, ejected, "%+v", action)
	}
}
