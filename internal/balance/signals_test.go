package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/follow"
)

var oneASecond = backpressure.LimitSignal{Named: true, Rate: 1}

// limitedServer returns a balancer whose only server has named a limit of one request per second.
func limitedServer(t *testing.T) *Balancer {
	b := balancer(view(record("1", "here", 1)))
	first := pick(t, b, start, want())
	b.LimitSignalled(first, start, oneASecond)
	return b
}

func TestLimitedServerIsChosenWhenLimitAllows(t *testing.T) {
	b := limitedServer(t)
	none, availability := b.Pick(start, want())
	assert.Nil(t, none.Server)
	assert.Equal(t, Availability{Known: 1, Limited: 1, Later: 1, Opens: start.Add(2 * time.Second), Throttled: []Throttled{{"1", "limit", 0, 2000}}}, availability, "two entries share the limit")
	assert.Equal(t, "limit", pick(t, b, start.Add(2*time.Second), want()).Signal)
}

func TestLimitSurvivesGapInDirectory(t *testing.T) {
	b := limitedServer(t)
	b.SetView(view())
	b.Refresh(start.Add(time.Second))
	b.SetView(view(record("1", "here", 1)))
	none, _ := b.Pick(start.Add(time.Second), want())
	assert.Nil(t, none.Server)
}

func TestNewIncarnationHasNoLimit(t *testing.T) {
	first, again := record("1", "here", 1), record("1", "here", 1)
	first.StartUnixMs, again.StartUnixMs = 1, 2
	b := balancer(view(first))
	b.LimitSignalled(pick(t, b, start, want()), start, oneASecond)
	b.SetView(view(again))
	pick(t, b, start, want())
	pick(t, b, start, want())
}

func TestUnlistedEntriesKeepTheirPartForAWhile(t *testing.T) {
	b := limitedServer(t)
	alone := view(record("1", "here", 1))
	alone.Entries = []follow.Entry{{Name: "entry", Zone: "here"}}
	b.SetView(alone)
	part := func(now time.Time) float64 {
		b.Refresh(now)
		return b.partOf(b.servers["1"], b.servers["1"].signals.limit.Rate, false).Rate
	}
	assert.Equal(t, 0.5, part(start.Add(time.Second)))
	require.Equal(t, 1.0, part(start.Add(time.Minute)))
}

func TestLimitAndItsEndArePublished(t *testing.T) {
	b, other := balancer(view(record("1", "here", 1))), named("other", view(record("1", "here", 1)))
	b.OnSignals(func(updates []backpressure.Update) { other.ApplyUpdates(start, updates) })
	b.LimitSignalled(pick(t, b, start, want()), start, oneASecond)
	none, availability := other.Pick(start, want())
	assert.Nil(t, none.Server)
	assert.Equal(t, 1, availability.Limited)
	later := start.Add(2 * time.Second)
	b.LimitSignalled(pick(t, b, later, want()), later.Add(time.Millisecond), backpressure.LimitSignal{})
	pick(t, other, later, want())
	pick(t, other, later, want())
	assert.Len(t, b.Signals(), 1)
}

func TestFrequentLimitChangesAreThrottled(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	published := 0
	b.OnSignals(func(updates []backpressure.Update) { published += len(updates) })
	c := pick(t, b, start, want())
	for i := range 100 {
		now := start.Add(time.Duration(i+1) * 10 * time.Millisecond)
		c.pickedAt = now
		b.LimitSignalled(c, now.Add(time.Millisecond), backpressure.LimitSignal{Named: true, Rate: float64(100 - i)})
	}
	assert.Equal(t, 2, published)
	b.Refresh(start.Add(3 * time.Second))
	assert.Equal(t, 3, published, "the last change is published")
}

func TestBackingOffServerIsNotChosen(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	first := pick(t, b, start, want())
	b.BackoffRequested(first, start, 3*time.Second)
	b.Done(first, start, ResultBusy)
	none, availability := b.Pick(start.Add(2900*time.Millisecond), want())
	assert.Nil(t, none.Server)
	assert.Equal(t, Availability{Known: 1, BackingOff: 1, Later: 1, Opens: start.Add(3 * time.Second), Throttled: []Throttled{{"1", "backoff", 2900, 100}}}, availability)
}

func TestServerIsProbedAfterBackoff(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	before := pick(t, b, start, want())
	refused := pick(t, b, start, want())
	b.BackoffRequested(refused, start.Add(time.Millisecond), time.Second)
	b.Done(refused, start.Add(time.Millisecond), ResultBusy)
	b.AcceptedWork(before) // it was sent before the backoff
	after := start.Add(2 * time.Second)
	probe := pick(t, b, after, want())
	none, availability := b.Pick(after, want())
	require.Nil(t, none.Server)
	assert.Equal(t, Availability{Known: 1, BackingOff: 1, Later: 1, Throttled: []Throttled{{"1", "backoff", 1999, -999}}}, availability)
	b.Done(probe, after, ResultUnknown)
	probe = pick(t, b, after, want())
	b.AcceptedWork(probe)
	pick(t, b, after, want())
	pick(t, b, after, want())
}

func TestLeavingIncarnationIsNotChosenAgain(t *testing.T) {
	first := record("1", "here", 1)
	first.StartUnixMs = 1
	b, other := balancer(view(first)), named("other", view(first))
	b.OnSignals(func(updates []backpressure.Update) { other.ApplyUpdates(start, updates) })
	b.LeavingSignalled(pick(t, b, start, want()), start)
	later := *first
	later.Seq, later.SeenAt = 9, start.Add(time.Second)
	for name, x := range map[string]*Balancer{"that heard it": b, "that was told": other} {
		x.SetView(view(&later)) // an announcement that still says ready
		none, _ := x.Pick(start, want())
		assert.Nil(t, none.Server, name)
		x.SetView(view())
		x.SetView(view(&later))
		none, _ = x.Pick(start, want())
		assert.Nil(t, none.Server, "%s, after a gap in the directory", name)
		again := later
		again.StartUnixMs = 2
		x.SetView(view(&again))
		pick(t, x, start, want())
	}
}
