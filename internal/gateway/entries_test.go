package gateway

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/follow"
)

// All control servers restart, and the first one lists only who has come back to it.
func TestEntriesThatAreNotListedForAMomentShareTheFloorOfRepeats(t *testing.T) {
	g := New(Config{
		Headers: headers, Balance: balance.Config{Zone: "z", Logger: zerolog.Nop()},
		RetryShare: 0, RetryFloor: 100, RetryWindow: 10 * time.Second,
		Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	four := []follow.Entry{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	g.SetView(&follow.View{Entries: four})
	now := g.steady(time.Now())
	taken := 0
	for g.budget("s").TryRetry(now) {
		taken++
	}
	assert.Equal(t, 17, taken, "0.7 of 100 by four")
	g.SetView(&follow.View{Entries: four[:1]})
	assert.False(t, g.budget("s").TryRetry(now))
}

func TestEntriesThatAreGoneForAWindowCountNoMore(t *testing.T) {
	var e entryCount
	now := time.Now()
	e.note(now, 4, 10*time.Second)
	e.note(now.Add(100*time.Millisecond), 1, 10*time.Second)
	for s := range 10 {
		e.note(now.Add(time.Duration(s+1)*time.Second), 1, 10*time.Second)
	}
	assert.Equal(t, 4, e.most())
	e.note(now.Add(11*time.Second), 1, 10*time.Second)
	assert.Equal(t, 1, e.most())
}
