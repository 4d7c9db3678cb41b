package balance

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/follow"
)

// coldView is a view with one server that tolerates one request a second while it is cold, for 3 s.
func coldView(cold time.Duration, at time.Time) *follow.View {
	r := record("1", "here", 1)
	r.Cold, r.SeenAt = cold, at
	v := view(r)
	v.Table.Config.Services[0].ColdRate, v.Table.Config.Services[0].ColdStart = 1, 3*time.Second
	return v
}

// accepted counts the requests that are sent within a second.
func accepted(b *Balancer, at time.Time) (n int) {
	for i := range 50 {
		now := at.Add(time.Duration(i) * 20 * time.Millisecond)
		if c, _ := b.Pick(now, want()); c.Server != nil {
			b.FirstEvent(&c, now)
			b.Done(&c, now, ResultSucceeded)
			n++
		}
	}
	return n
}

func TestServerIsColdAsLongAsItAnnounces(t *testing.T) {
	b := New(Config{Name: "entry", Zone: "here", Logger: zerolog.Nop()})
	b.SetView(coldView(0, start))
	assert.Equal(t, 50, accepted(b, start))
	at := start.Add(time.Minute)
	b.SetView(coldView(3*time.Second, at))
	assert.LessOrEqual(t, accepted(b, at), 2)
	assert.LessOrEqual(t, accepted(b, at.Add(2*time.Second)), 2)
	assert.Equal(t, 50, accepted(b, at.Add(4*time.Second)))
}

// A server may restart under its id. Until it announces itself again, only the refused connections
// show that.
func TestServerThatRefusedAConnectionIsTakenToBeColdUntilItsNextAnnouncement(t *testing.T) {
	b := New(Config{Name: "entry", Zone: "here", Logger: zerolog.Nop()})
	b.SetView(coldView(0, start))
	accepted(b, start)
	at := start.Add(5 * time.Second)
	b.ConnectionRefused(b.servers["1"], at)
	assert.LessOrEqual(t, accepted(b, at), 2)
	b.Announced("1", at.Add(1500*time.Millisecond))
	assert.Equal(t, 50, accepted(b, at.Add(2*time.Second)))
}

func TestNewEntrySendsOneRequestToAColdServer(t *testing.T) {
	b := New(Config{Name: "entry", Zone: "here", Logger: zerolog.Nop()})
	b.SetView(coldView(3*time.Second, start))
	assert.Equal(t, 1, accepted(b, start))
	_, availability := b.Pick(start.Add(900*time.Millisecond), want())
	assert.Equal(t, 1, availability.Limited)
	assert.Equal(t, start.Add(newcomerSpan), availability.Opens)
	assert.Equal(t, "cold", availability.Throttled[0].Signal)
}
