package balance

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// The engine of view reads a usual prompt in 100 ms, a pass takes 10 ms and a usual request 350 ms.

// reportPace reports the load and the pace of a server.
func reportPace(b *Balancer, now time.Time, id string, pace float64, running, waiting int) {
	b.Reported(now, Report{Addr: "127.0.0.1:" + id, Models: []fleet.Loaded{{Model: model, Version: 1, To: 16}}, Running: running, Waiting: waiting, Pace: pace})
}

// sized returns the requirements of a request whose prompt is usually read in this time. It is due 400 ms
// after start.
func sized(read time.Duration) Requirements {
	w := want()
	w.Read, w.Due = read, start.Add(400*time.Millisecond)
	return w
}

// Guards against predictions with the times of a usual engine.
func TestPredictionIsScaledWithPace(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	reportPace(b, start, "1", 2.5, 4, 2)
	first := pick(t, b, start, sized(40*time.Millisecond))
	assert.Equal(t, 2.5, first.Pace)
	assert.Equal(t, 2625*time.Millisecond, first.Wait, "3 requests before it")
	assert.Equal(t, 100*time.Millisecond, first.Read)
	assert.Equal(t, 2750*time.Millisecond, first.FirstEvent)
	assert.Equal(t, 100*time.Millisecond, first.Server.pendingRead)
	second := pick(t, b, start, sized(40*time.Millisecond))
	assert.Equal(t, 3600*time.Millisecond, second.Wait, "one more request and one unread prompt")
	b.FirstEvent(first, start.Add(first.FirstEvent+excessTolerance))
	assert.Zero(t, first.Server.excess.value, "it came as predicted")
	b.Done(second, start, ResultUnknown)
	assert.Zero(t, first.Server.pendingRead)
}

// Guards against an unreported prompt of another entry that is predicted with the time of a usual engine.
func TestUnseenPromptsAreScaledWithPace(t *testing.T) {
	b := balancer(view(record("1", "there", 1)))
	reportPace(b, start, "1", 2.5, 0, 0)
	require.Equal(t, 1.0, b.otherSenders(b.servers["1"]))
	assert.Equal(t, 250*time.Millisecond, pick(t, b, start, want()).Wait)
}

func TestBudgetIsLessAtSlowEngine(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	reportPace(b, start, "1", 2.5, 0, 0)
	pick(t, b, start, sized(100*time.Millisecond)) // read for 250 ms
	w := sized(0)
	w.Budget = 410 * time.Millisecond // 165 ms less there
	none, _ := b.Pick(start, w)
	assert.Nil(t, none.Server)
	w.Budget = 420 * time.Millisecond
	pick(t, b, start, w)
}

// Guards against a slow engine that gets no requests at all, because nothing is left of a small budget.
func TestSlowEngineWithFreeSlotFitsASmallBudget(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	reportPace(b, start, "1", 2.5, 0, 0)
	w := sized(0)
	w.Budget = minSlowBudget
	pick(t, b, start, w)
}

func TestSlowEngineGetsNoPromptThatIsLateThere(t *testing.T) {
	b := balancer(view(record("1", "here", 1), record("2", "there", 1)))
	reportPace(b, start, "1", 2.5, 0, 0)
	reportPace(b, start, "2", 1, 4, 2) // costs a second more than the free slot
	large, small := sized(160*time.Millisecond), sized(140*time.Millisecond)
	choice := pick(t, b, start, small)
	assert.Equal(t, "1", choice.Server.ID, "375 ms until its first event")
	b.Done(choice, start, ResultUnknown)
	choice = pick(t, b, start, large)
	assert.Equal(t, "2", choice.Server.ID, "425 ms at the other")
	b.Done(choice, start, ResultUnknown)
	large.Due = time.Time{}
	assert.Equal(t, "1", pick(t, b, start, large).Server.ID, "it is late anyway")
}

func TestSlowEngineIsChosenIfNoOtherFits(t *testing.T) {
	b := balancer(view(record("1", "here", 1), record("2", "there", 1)))
	reportPace(b, start, "1", 2.5, 0, 0)
	reportPace(b, start, "2", 1, 4, 2)
	large := sized(160 * time.Millisecond)
	large.Budget = time.Second // less than the wait at the other
	assert.Equal(t, "1", pick(t, b, start, large).Server.ID)
}

// Guards against a slow engine that is chosen because the few servers that are evaluated are slow.
func TestSearchContinuesPastSlowEngines(t *testing.T) {
	for range 10 { // the order of evaluation is random
		b := named("entry-0", manyEntries(fullScanEntries+1, 30))
		fast := ""
		for id, s := range b.servers {
			if !s.owned && fast == "" {
				fast = id
				continue
			}
			reportPace(b, start, id, 2.5, 0, 0)
		}
		assert.Equal(t, fast, pick(t, b, start, sized(160*time.Millisecond)).Server.ID)
	}
}

// Guards against a preference for other engines at the usual pace or a faster one, which are not judged by
// the request's prompt.
func TestOnlySlowEnginesAreALastResort(t *testing.T) {
	for _, pace := range []float64{0, 0.8, 1} {
		b := balancer(view(record("1", "here", 1), record("2", "here", 1)))
		late, other := b.servers["1"], b.servers["2"]
		reportPace(b, start, "1", pace, 0, 0)
		unread := sized(100 * time.Millisecond)
		unread.Exclude = []*Server{other}
		pick(t, b, start, unread)
		other.heldBytes = 8 << 20 // costs more than the unread prompt
		w := sized(300 * time.Millisecond)
		w.Due = start.Add(late.predict(start, 1, 0, w.Read).firstEvent - 1)
		require.False(t, start.Add(other.predict(start, 0, 0, w.Read).firstEvent).After(w.Due))
		assert.Equal(t, "1", pick(t, b, start, w).Server.ID, "pace %v", pace)
	}
}

// Guards against slow engines that get as many requests as others while those have free slots.
func TestFasterOfTwoIdleEnginesIsChosen(t *testing.T) {
	b := balancer(view(record("1", "here", 1), record("2", "here", 1)))
	reportPace(b, start, "1", 1.3, 0, 0)
	for range 20 { // the order of equal servers is random
		c := pick(t, b, start, sized(30*time.Millisecond))
		assert.Equal(t, "2", c.Server.ID)
		b.Done(c, start, ResultUnknown)
	}
}

func TestUnknownPaceCountsAsUsual(t *testing.T) {
	b := balancer(view(record("1", "here", 1)))
	s := b.servers["1"]
	assert.Equal(t, 1.0, s.pace(start), "no report")
	for _, pace := range []float64{0, -1, math.NaN(), 1} {
		reportPace(b, start, "1", pace, 0, 0)
		assert.Equal(t, 1.0, s.pace(start), "%v", pace)
	}
	reportPace(b, start, "1", math.Inf(1), 4, 100)
	assert.Greater(t, s.predict(start, 104, 1, time.Second).firstEvent, time.Duration(0), "no overflow")
	reportPace(b, start, "1", 2.5, 0, 0)
	assert.Equal(t, 2.5, s.pace(start.Add(maxReportAge-1)))
	assert.Equal(t, 1.0, s.pace(start.Add(maxReportAge)), "the report is too old")
	assert.Equal(t, 1.0, pick(t, b, start.Add(maxReportAge), want()).Pace)
}

// Guards against a change for fleets whose engines report the usual pace or none.
func TestUsualPaceChangesNoPrediction(t *testing.T) {
	b := balancer(view(record("1", "there", 1)))
	s := b.servers["1"]
	s.pendingRead, s.excess = 123456789, excess{value: 98765432, at: start}
	const read = 87654321
	for _, pace := range []float64{0, 1} {
		reportPace(b, start, "1", pace, 4, 2)
		p := s.predict(start, 6.3, 0.7, read)
		over := 6.3 - 4 + 1
		wait := s.pendingRead + time.Duration(0.7*float64(s.pendingRead+100*time.Millisecond)) + time.Duration(over*float64(350*time.Millisecond)) + s.excess.value
		assert.Equal(t, prediction{pace: 1, wait: wait, read: read, firstEvent: wait + read + 10*time.Millisecond}, p)
		assert.Equal(t, time.Duration(7), s.budget(7, p.pace))
	}
}
