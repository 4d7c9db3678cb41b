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

// TestRetryFloorIsSharedWithEntriesMissingBriefly: after a restart of all control servers, the first
// one lists only the entries that have reconnected to it.
func TestRetryFloorIsSharedWithEntriesMissingBriefly(t *testing.T) {
	g := New(Config{
		Headers: headers, Balance: balance.Config{Zone: "z", Logger: zerolog.Nop()},
		RetryShare: 0, RetryFloor: 100, RetryWindow: 10 * time.Second,
		Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	four := []follow.Entry{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	g.SetView(&follow.View{Entries: four})
	now := g.monotonic(time.Now())
	taken := 0
	for g.budget("s").TryRetry(now) {
		taken++
	}
	assert.Equal(t, 17, taken, "0.7 of 100, divided by four entries")
	g.SetView(&follow.View{Entries: four[:1]})
	assert.False(t, g.budget("s").TryRetry(now))
}

func TestEntryCountDropsAfterTheWindow(t *testing.T) {
	var e entryCount
	now := time.Now()
	e.note(now, 4, 10*time.Second)
	e.note(now.Add(100*time.Millisecond), 1, 10*time.Second)
	for s := range 10 {
		e.note(now.Add(time.Duration(s+1)*time.Second), 1, 10*time.Second)
	}
	assert.Equal(t, 4, e.highest())
	e.note(now.Add(11*time.Second), 1, 10*time.Second)
	assert.Equal(t, 1, e.highest())
}
