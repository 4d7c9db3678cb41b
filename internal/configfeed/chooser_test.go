package configfeed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

var testTiming = timing{
	startWait:  5 * time.Second,
	patience:   6 * time.Second,
	minBackoff: 250 * time.Millisecond,
	maxBackoff: 10 * time.Second,
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestChooserNeverFalls offers updates of sources in any state, in any order,
// and checks each verdict.
func TestChooserNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		floor := uint64(rapid.IntRange(0, 5).Draw(t, "floor"))
		c := newChooser(rapid.IntRange(1, 4).Draw(t, "sources"), floor, testTiming, now)
		c.next(now)
		var inForce, bestHeld uint64
		asked := map[int]bool{} // left since the process stopped insisting
		leave := func() {
			if now.Sub(epoch) >= testTiming.startWait {
				asked[c.current] = true
			}
			if v := c.lost(now); v.adopt {
				require.Len(t, asked, c.upstreams, "all neighbours were asked")
				require.Zero(t, inForce)
				require.Equal(t, bestHeld, c.have, "the highest revision of the neighbours")
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
				if v.take {
					require.Greater(t, o.revision, inForce, "a revision never falls")
					require.GreaterOrEqual(t, o.revision, floor, "not below the floor of an earlier run")
					require.True(t, inForce > 0 || o.confirmed, "the first one is confirmed or adopted")
					inForce = o.revision
				}
				if v.hold {
					require.Zero(t, inForce)
					require.GreaterOrEqual(t, o.revision, floor)
					bestHeld = max(bestHeld, o.revision)
				}
				if o.revision > inForce {
					require.True(t, v.take || v.move, "a higher one is taken, or the source left")
				}
				if v.move {
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
	require.Equal(t, attempt{upstream: 0, needConfirmed: true}, c.next(epoch))
	require.True(t, c.offered(offer{5, true}, epoch).take)
	require.Equal(t, verdict{refused: true}, c.offered(offer{4, true}, epoch.Add(time.Second)))
	now := epoch.Add(testTiming.patience + time.Second)
	require.Equal(t, verdict{refused: true, move: true}, c.offered(offer{4, true}, now), "behind for too long")
	c.lost(now)
	require.Equal(t, attempt{upstream: 1}, c.next(now))
	require.Equal(t, verdict{take: true}, c.offered(offer{6, false}, now))
	now = now.Add(testTiming.patience + time.Second)
	require.Equal(t, verdict{move: true}, c.offered(offer{6, false}, now), "unconfirmed for too long")
	c.lost(now)
	require.Equal(t, attempt{upstream: 0, wait: testTiming.minBackoff}, c.next(now), "a pause after each round")
}
