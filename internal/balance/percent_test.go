package balance

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
)

// plainView is view without an engine.
func plainView(records ...*fleet.BackendServer) *follow.View {
	v := view(records...)
	v.Table.Service(service).Engine = nil
	return v
}

func wantPlain() Requirements { return Requirements{Service: service} }

func TestPlainRequestsGoToServerWithLowerLoadPercentage(t *testing.T) {
	b := balancer(plainView(record("1", "here", 1), record("2", "there", 1)))
	near, far := b.servers["1"], b.servers["2"]
	chosen := func(at time.Time) string {
		c := pick(t, b, at, wantPlain())
		b.Done(c, at, ResultUnknown)
		return c.Server.ID
	}
	b.LoadReported(near, start, 2, 0, 0)
	b.LoadReported(far, start, 2, 0, 0)
	assert.Equal(t, "1", chosen(start))
	b.LoadReported(near, start, 2, 0, 250)
	assert.Equal(t, "2", chosen(start))
	b.LoadReported(near, start.Add(time.Second), 2, 0, 0)
	assert.Equal(t, "2", chosen(start.Add(maxLoadAge-1)), "three figures leave the last percentage in force")
	b.LoadReported(far, start.Add(time.Second), 2, 0, 0)
	assert.Equal(t, "1", chosen(start.Add(maxLoadAge)), "the percentage is too old")
	b.LoadReported(far, start.Add(maxLoadAge), 2, 0, 20)
	assert.Equal(t, "2", chosen(start.Add(maxLoadAge)))
}

// Guards against a change for fleets whose load headers have three figures.
func TestScoreIsScaledWithLoadPercentage(t *testing.T) {
	const queue = 2
	for _, c := range []struct {
		percent int
		score   time.Duration
	}{
		{0, queue * queuedPenalty}, {100, queue * queuedPenalty}, {-7, queue * queuedPenalty},
		{250, queue*queuedPenalty + (queue+1)*queuedPenalty*3/2}, {50, queue*queuedPenalty - (queue+1)*queuedPenalty/2},
		{math.MaxInt, queue*queuedPenalty + (queue+1)*queuedPenalty*99},
	} {
		b := balancer(plainView(record("1", "here", 1)))
		s := b.servers["1"]
		b.LoadReported(s, start, queue, 0, c.percent)
		score := b.score(start, s, queue, s.predict(start, queue, 0, 0), costsOf(s, Requirements{}, false))
		assert.GreaterOrEqual(t, score, c.score, "%d", c.percent)
		assert.Less(t, score, c.score+maxTieBreak, "%d", c.percent)
	}
}

// Guards against the use of the percentage at engines, where it says nothing about their speed.
func TestLoadPercentageOfEnginesIsNotUsed(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	s := b.servers["1"]
	b.LoadReported(s, start, 0, 0, 250)
	assert.Equal(t, 1.0, s.hostLoad(start))
	assert.True(t, b.SharedHosts(service))
}

func TestServicesOnSharedHostsAreRemembered(t *testing.T) {
	b := balancer(plainView(record("1", "here", 1)))
	s := b.servers["1"]
	b.LoadReported(s, start, 0, 0, 0)
	assert.False(t, b.SharedHosts(service))
	b.LoadReported(s, start, 0, 0, 100)
	assert.True(t, b.SharedHosts(service))
	assert.False(t, b.SharedHosts("another"))
	b.LoadReported(s, start.Add(time.Hour), 0, 0, 0)
	b.SetView(plainView())
	assert.True(t, b.SharedHosts(service), "its servers have left")
	undeclared := plainView()
	undeclared.Table = fleet.NewTable(&fleet.Config{Version: 2})
	b.SetView(undeclared)
	b.SetView(plainView())
	assert.False(t, b.SharedHosts(service), "it was not declared for a time")
}
