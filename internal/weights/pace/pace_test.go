package pace

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

var start = time.Unix(1000, 0)

func TestLiveBytesPrecedeWaitingTransfers(t *testing.T) {
	b := NewBucket(1000)
	b.Advance(start)
	first := b.Add(Transfer, 100)
	granted, _ := b.Advance(start)
	require.Equal(t, []uint64{first}, granted)
	transfer, fromOrigin := b.Add(Transfer, 100), b.Add(FromOrigin, 100)
	live := b.Add(Live, 100)
	var order []uint64
	for now := start; len(order) < 3; now = now.Add(time.Millisecond) {
		granted, _ := b.Advance(now)
		order = append(order, granted...)
	}
	require.Equal(t, []uint64{live, fromOrigin, transfer}, order)
}

// Fails if transfers do not wait for live bytes, or wait for more than maxDebt.
func TestTransfersWaitForLiveBytes(t *testing.T) {
	b := NewBucket(1000)
	grantedAt := func(spend func(now time.Time)) time.Duration {
		b.free, b.transferFree = start, start
		spend(start)
		b.Add(Transfer, 10)
		for now := start; ; now = now.Add(time.Millisecond) {
			if granted, _ := b.Advance(now); len(granted) > 0 {
				return now.Sub(start)
			}
		}
	}
	require.Zero(t, grantedAt(func(time.Time) {}))
	require.Equal(t, 100*time.Millisecond, grantedAt(func(now time.Time) { b.Spend(100, now) }))
	require.Equal(t, maxDebt, grantedAt(func(now time.Time) { b.Spend(100_000, now) }))
}

// Fails if transfers get more bytes in any time than their share of the rate
// allows, plus the burst and one piece in transit.
func TestRateIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1000, 1000000).Draw(t, "rate"))
		share := rapid.Float64Range(0.25, 1).Draw(t, "share")
		b := NewBucket(rate)
		b.SetShare(share)
		sizes := map[uint64]int{}
		now, passed := start, 0.0
		largest := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 4).Draw(t, "added") {
				size := rapid.IntRange(1, 20000).Draw(t, "size")
				largest = max(largest, size)
				sizes[b.Add(Transfer, size)] = size
			}
			granted, _ := b.Advance(now)
			for _, id := range granted {
				passed += float64(sizes[id])
			}
			allowed := rate*share*(now.Sub(start)+burst).Seconds() + float64(largest)
			require.LessOrEqual(t, passed, allowed+1)
			now = now.Add(time.Duration(rapid.IntRange(0, 50000).Draw(t, "micros")) * time.Microsecond)
		}
	})
}

// observe passes latencies that depend on the share to the governor.
func observe(g *Governor, from time.Time, span time.Duration, latency func(share float64) time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(span)); now = now.Add(20 * time.Millisecond) {
		g.Observe(latency(g.Share()), now)
	}
	return now
}

func TestShareDecreasesWhileLatencyImproves(t *testing.T) {
	g := NewGovernor()
	now := observe(g, start, time.Second, func(float64) time.Duration { return 100 * time.Millisecond })
	require.Equal(t, 1.0, g.Share())
	// Live latency is proportional to the transfers' share.
	caused := func(share float64) time.Duration { return time.Duration(share * float64(300*time.Millisecond)) }
	least := 1.0
	for range 50 {
		now = observe(g, now, 200*time.Millisecond, caused)
		least = min(least, g.Share())
	}
	require.Less(t, least, 0.6)
	observe(g, now, time.Minute, func(float64) time.Duration { return 100 * time.Millisecond })
	require.Equal(t, 1.0, g.Share(), "the share must recover")
}

func TestShareIsRestoredAfterDecreaseWithoutEffect(t *testing.T) {
	g := NewGovernor()
	now := observe(g, start, time.Second, func(float64) time.Duration { return 100 * time.Millisecond })
	low := 0
	for range 100 { // the engine is slow at any share
		now = observe(g, now, 100*time.Millisecond, func(float64) time.Duration { return 400 * time.Millisecond })
		if g.Share() < 1 {
			low++
		}
	}
	require.Positive(t, low, "a decrease must be tried")
	require.Less(t, low, 30, "a decrease without effect must be undone")
}

func TestLinkReleasesCancelledWaiters(t *testing.T) {
	l := NewLink(1, 0, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, l.Up(ctx, Transfer, 10))
	done := make(chan error)
	go func() { done <- l.Up(ctx, Transfer, 1000) }()
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	require.NoError(t, l.Down(context.Background(), Transfer, 1<<30), "a link without a rate does not pace")
}
