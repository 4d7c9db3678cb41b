package configfeed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

var testTiming = timing{
	startWait:    5 * time.Second,
	staleTimeout: 6 * time.Second,
	minBackoff:   250 * time.Millisecond,
	maxBackoff:   10 * time.Second,
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestChooserNeverLowersRevision offers random updates from sources in any state
// and checks each decision.
func TestChooserNeverLowersRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		floor := uint64(rapid.IntRange(0, 5).Draw(t, "floor"))
		c := newChooser(rapid.IntRange(1, 4).Draw(t, "sources"), floor, testTiming, now)
		c.next(now)
		var inForce, bestKept uint64
		left := map[int]bool{} // sources left after startWait
		leave := func() {
			if now.Sub(epoch) >= testTiming.startWait {
				left[c.current] = true
			}
			if v := c.sourceLeft(now); v.adopt {
				require.Len(t, left, c.upstreams, "all sources were tried")
				require.Zero(t, inForce)
				require.Equal(t, bestKept, c.have, "the highest revision of the sources")
				require.GreaterOrEqual(t, now.Sub(epoch), testTiming.startWait)
				inForce = c.have
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				o := offer{
					revision:  uint64(rapid.IntRange(0, 12).Draw(t, "revision")),
					confirmed: rapid.Bool().Draw(t, "confirmed"),
				}
				v := c.offered(o, now)
				if v.apply {
					require.Greater(t, o.revision, inForce, "a revision never decreases")
					require.GreaterOrEqual(t, o.revision, floor, "not below the floor of an earlier run")
					require.True(t, inForce > 0 || o.confirmed, "the first revision is confirmed or adopted")
					inForce = o.revision
				}
				if v.keep {
					require.Zero(t, inForce)
					require.GreaterOrEqual(t, o.revision, floor)
					bestKept = max(bestKept, o.revision)
				}
				if o.revision > inForce {
					require.True(t, v.apply || v.leave, "a higher revision is applied, or the source left")
				}
				if v.leave {
					leave()
					c.next(now)
				}
			},
			"lost": func(t *rapid.T) {
				leave()
				a := c.next(now)
				require.LessOrEqual(t, a.wait, testTiming.maxBackoff)
				require.Equal(t, inForce == 0 && now.Sub(epoch) < testTiming.startWait, a.needConfirmed)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				require.Equal(t, inForce, c.have)
			},
		})
	})
}

func TestChooserLeavesStaleSources(t *testing.T) {
	c := newChooser(2, 0, testTiming, epoch)
	require.Equal(t, connection{upstream: 0, needConfirmed: true}, c.next(epoch))
	require.True(t, c.offered(offer{5, true}, epoch).apply)
	require.Equal(t, decision{refused: true}, c.offered(offer{4, true}, epoch.Add(time.Second)))
	now := epoch.Add(testTiming.staleTimeout + time.Second)
	require.Equal(t, decision{refused: true, leave: true}, c.offered(offer{4, true}, now), "behind for too long")
	c.sourceLeft(now)
	require.Equal(t, connection{upstream: 1}, c.next(now))
	require.Equal(t, decision{apply: true}, c.offered(offer{6, false}, now))
	now = now.Add(testTiming.staleTimeout + time.Second)
	require.Equal(t, decision{leave: true}, c.offered(offer{6, false}, now), "unconfirmed for too long")
	c.sourceLeft(now)
	require.Equal(t, connection{upstream: 0, wait: testTiming.minBackoff}, c.next(now), "backoff after each round")
}
