package follow

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/rpc"
	_ "lynxgate.dev/lynxgate/internal/testseed"
)

// testClock is the clock of one end: it differs from the true time by its start and its rate.
type testClock struct {
	start time.Time
	ppm   int
}

func (c testClock) at(t time.Duration) time.Time {
	return c.start.Add(t + t*time.Duration(c.ppm)/1e6)
}

func TestMessageIsDatedByTheReceiversOwnStamp(t *testing.T) {
	receiver := testClock{start: time.Unix(1000, 0)}
	sender := testClock{start: time.Unix(5_000_000, 0)}
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		stampDelay, held, delay time.Duration
		early                   time.Duration // at most, without drift
	}{
		"no delay":                   {0, 0, 0, 0},
		"message delayed":            {0, 0, 2 * time.Second, 0},
		"held for long, delayed":     {3 * ms, 9 * time.Second, 2 * time.Second, 3 * ms},
		"stamp delayed":              {2 * time.Second, time.Second, 5 * ms, 2 * time.Second},
		"stamp received after as-of": {20 * ms, -15 * ms, 50 * ms, 20 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			s, peer := NewStamps(receiver.at(0)), NewStamps(sender.at(0))
			sentAt := time.Second
			readAt := sentAt + c.stampDelay
			asOf := readAt + c.held
			peer.Receive(s.Stamp(receiver.at(sentAt)), sender.at(readAt))
			receivedAt := receiver.at(max(asOf, readAt) + c.delay)
			a := s.Anchor(peer.Echo(sender.at(asOf)), receivedAt)
			require.True(t, a.Echoed)
			assert.Equal(t, receivedAt, a.ReceivedAt)
			early := receiver.at(asOf).Sub(a.AsOf)
			assert.GreaterOrEqual(t, early, time.Duration(0))
			assert.LessOrEqual(t, early, c.early+c.held.Abs()/driftDivisor+3*time.Microsecond)
			assert.Equal(t, a.ReceivedAt.Sub(a.AsOf), a.Path())
		})
	}
}

func TestMessageWithoutUsableEchoIsDatedAtItsReceipt(t *testing.T) {
	at := time.Unix(1000, 0)
	s := NewStamps(at)
	assert.Nil(t, s.Echo(at), "no stamp was received")
	s.Receive(0, at)
	assert.Nil(t, s.Echo(at), "the peer is of an earlier build")
	assert.Positive(t, s.Stamp(at), "0 is no stamp")
	for name, echo := range map[string]*rpc.Echo{
		"none": nil, "no stamp": {HeldUs: 5}, "stamp of another stream": {StampUs: 1e15},
	} {
		assert.Equal(t, Received(at), s.Anchor(echo, at), name)
	}
	assert.Equal(t, at, s.Anchor(&rpc.Echo{StampUs: 1, HeldUs: 1 << 62}, at).AsOf, "not after its receipt")
	assert.False(t, s.Anchor(&rpc.Echo{StampUs: 1, HeldUs: -1 << 62}, at).AsOf.After(at))
}

// Guards against ages that a delay of the message, or a standstill of either end between any two steps, makes too low.
func TestMessageIsNeverDatedLaterThanItsAges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(most time.Duration, label string) time.Duration {
			if rapid.Bool().Draw(t, label+" is short") {
				most = 5 * time.Millisecond
			}
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		ppm := rapid.IntRange(-250, 250)
		receiver := testClock{time.Unix(1000, 0), ppm.Draw(t, "rate of the receiver")}
		sender := testClock{time.Unix(90_000, 0), ppm.Draw(t, "rate of the sender")}
		s, peer := NewStamps(receiver.at(0)), NewStamps(sender.at(0))
		type event struct {
			at  time.Duration
			run func()
		}
		var events []event
		var bounds []func(asOf, encodedAt time.Duration) time.Duration // by how much each stamp received dates too early at most
		for range rapid.IntRange(1, 6).Draw(t, "stamps") {
			stampedAt := duration(20*time.Second, "stamped")
			readAt := stampedAt + duration(3*time.Second, "stamp under way")
			stamp := s.Stamp(receiver.at(stampedAt))
			events = append(events, event{readAt, func() {
				peer.Receive(stamp, sender.at(readAt))
				bounds = append(bounds, func(asOf, encodedAt time.Duration) time.Duration {
					drift := ((asOf - readAt).Abs() + encodedAt - readAt) / 500
					return readAt - stampedAt + drift + 10*time.Microsecond
				})
			}})
		}
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			asOf := duration(25*time.Second, "as of")
			encodedAt := asOf + duration(3*time.Second, "encoding")
			receivedAt := encodedAt + duration(3*time.Second, "message under way")
			events = append(events, event{encodedAt, func() {
				a := s.Anchor(peer.Echo(sender.at(asOf)), receiver.at(receivedAt))
				if !a.Echoed {
					return
				}
				early := receiver.at(asOf).Sub(a.AsOf)
				if early < 0 {
					t.Fatalf("dated %v too late", -early)
				}
				least := bounds[0](asOf, encodedAt)
				for _, bound := range bounds {
					least = min(least, bound(asOf, encodedAt))
				}
				if early > least {
					t.Fatalf("dated %v too early, where a stamp tells it to %v", early, least)
				}
			}})
		}
		slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		for _, e := range events {
			e.run()
		}
	})
}
