package reservation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// model is an engine of 12 slots: a usual prompt takes 50 ms, a pass 50 ms, a slot becomes free every 133 ms.
func model() *fleet.Engine {
	return &fleet.Engine{Slots: 12, Stride: 5, Step: 10 * ms, ReadPerSecond: 20000, UsualPrompt: 1000, UsualAnswer: 100, Layers: 16}
}

func ask(id string) Request {
	return Request{ID: id, Prompt: 1000, Answer: 100, Due: 400 * ms, Budget: 160 * ms, Gap: 400 * ms, Left: 6 * time.Second}
}

// ledger returns one whose engine has just reported this state.
func ledger(r Report) *Ledger {
	if r.Version == 0 {
		r.Version = 1
	}
	l := New(model())
	l.Observe(start, r)
	return l
}

// Two entries that ask at one moment must not both count on the last slot.
func TestLastSlotIsGrantedOnce(t *testing.T) {
	l := ledger(Report{Running: 11})
	first := l.Ask(start, ask("a"))
	assert.True(t, first.Granted)
	second := l.Ask(start, ask("b"))
	assert.True(t, second.Granted, "the next place is in the engine's queue")
	assert.Greater(t, second.Wait, 100*ms)
	third := l.Ask(start, ask("c"))
	assert.Equal(t, ReasonFull, third.Reason)
	assert.Positive(t, third.Again)
	assert.Equal(t, 2, third.Load.Reserved)
}

// Prompts of requests granted at one moment are read one after the other.
func TestUnreadPromptsAreCounted(t *testing.T) {
	l := ledger(Report{})
	granted := 0
	for i := range 12 {
		if l.Ask(start, ask(fmt.Sprint(i))).Granted {
			granted++
		}
	}
	assert.InDelta(t, 4, granted, 1, "160 ms of wait are three prompts of 50 ms")
	assert.True(t, l.Ask(start.Add(200*ms), ask("later")).Reason == ReasonNone, "they have been read")
}

// A request that has arrived soon after it was granted was taken for one without a reservation: it counted twice in the
// slots, and its prompt twice in the wait.
func TestArrivedReservationIsCountedOnce(t *testing.T) {
	l := ledger(Report{Running: 10})
	assert.True(t, l.Ask(start, ask("a")).Granted)
	later := start.Add(5 * ms)
	l.Observe(later, Report{Running: 11, Version: 1})
	d := l.Ask(later, ask("b"))
	assert.True(t, d.Granted)
	assert.Equal(t, 1, d.Load.Reserved, "its own")
	assert.LessOrEqual(t, d.Wait, 50*ms, "one prompt is before it")
}

// An engine reads all prompts that are unread when a pass begins, and writes first events at its end: a large prompt that joins
// a pass must not make the others of the pass late, and one that arrives during the pass waits for its end.
func TestPromptsOfOnePassDelayEachOther(t *testing.T) {
	l := ledger(Report{})
	urgent := ask("urgent")
	urgent.Due = 150 * ms
	assert.True(t, l.Ask(start, urgent).Granted)
	assert.Equal(t, ReasonFull, l.Ask(start, ask("b")).Reason)
	during := l.Ask(start.Add(40*ms), ask("c"))
	assert.True(t, during.Granted, "it is read in the next pass")
	assert.InDelta(t, 185, float64(during.FirstEvent/ms), 10, "85 ms until the pass ends, 50 ms for its prompt, a pass")
}

func TestReleasedReservationFreesItsSlotAndItsPrompt(t *testing.T) {
	l := ledger(Report{Running: 11})
	l.Ask(start, ask("a"))
	l.Release(start, "a")
	l.Release(start, "a")
	d := l.Ask(start, ask("b"))
	assert.True(t, d.Granted)
	assert.Zero(t, d.Wait)
}

// An entry that is killed with reservations open must not keep the slots.
func TestReservationThatDoesNotArriveEndsWithItsLease(t *testing.T) {
	l := ledger(Report{Running: 10})
	l.Ask(start, ask("a"))
	l.Ask(start, ask("b"))
	later := start.Add(lease + ms)
	l.Observe(later, Report{Running: 10, Version: 1})
	assert.Zero(t, l.Load(later).Reserved)
	assert.Zero(t, l.Ask(later, ask("c")).Wait)
	l.Observe(start.Add(10*time.Second), Report{Running: 1, Version: 1})
	assert.Zero(t, l.Held(start.Add(10*time.Second)), "the rest is dropped after its deadline")
}

// The requests of a killed entry have ended at the engine, but their reservations are never released: as long as they were
// kept, each request of another entry counted twice for 300 ms, as running and as reserved.
func TestReservationsOfAKilledEntryTakeNoSlots(t *testing.T) {
	l := ledger(Report{})
	small := func(id string) Request {
		r := ask(id)
		r.Prompt = 1
		return r
	}
	for i := range 8 {
		assert.True(t, l.Ask(start, small(fmt.Sprint("killed ", i))).Granted)
	}
	l.Observe(start.Add(500*ms), Report{Running: 8, Version: 1})
	now := start.Add(time.Second)
	l.Observe(now, Report{Version: 1})
	assert.Zero(t, l.Load(now).Reserved, "the leases have ended")
	now = now.Add(lease)
	l.Observe(now, Report{Version: 1})
	for i := range 6 {
		assert.True(t, l.Ask(now, small(fmt.Sprint("other ", i))).Granted)
	}
	now = now.Add(20 * ms)
	l.Observe(now, Report{Running: 6, Version: 1})
	assert.Zero(t, l.Load(now).Reserved, "all have arrived")
}

// A request has ended at its engine some ms before its release arrives: if its reservation were taken for one of a killed
// entry, that of a running request would be dropped, and its prompt be counted again.
func TestReservationIsKeptWhileItsReleaseIsOnItsWay(t *testing.T) {
	l := ledger(Report{})
	for i := range 4 {
		l.Ask(start, ask(fmt.Sprint(i)))
	}
	now := start
	for i := range 3 {
		now = now.Add(lease)
		l.Observe(now, Report{Running: 3 - i, Version: 1})
		assert.Equal(t, 4-i, l.Held(now))
		l.Release(now, fmt.Sprint(i))
		l.Observe(now.Add(5*ms), Report{Running: 3 - i, Version: 1})
	}
	assert.Zero(t, l.foreign)
}

func TestAskingAgainReplacesTheReservation(t *testing.T) {
	l := ledger(Report{Running: 11})
	assert.True(t, l.Ask(start, ask("a")).Granted)
	assert.True(t, l.Ask(start, ask("a")).Granted)
	assert.Equal(t, 1, l.Held(start))
}

// A restarted agent knows no reservations; requests of entries that ask for none are not known either.
func TestRequestsWithoutReservationAreSeenInTheReport(t *testing.T) {
	l := ledger(Report{Running: 12, Waiting: 2})
	assert.Equal(t, ReasonFull, l.Ask(start, ask("a")).Reason)
	l.Observe(start, Report{Version: 1})
	l.Observe(start.Add(20*ms), Report{Running: 6, Version: 1})
	assert.Equal(t, ReasonFull, l.Ask(start.Add(20*ms), ask("b")).Reason, "six prompts have just come")
	l.Observe(start.Add(time.Second), Report{Running: 6, Version: 1})
	assert.True(t, l.Ask(start.Add(time.Second), ask("b")).Granted, "they have been read")
}

func TestLaterIncarnationHasNoReservations(t *testing.T) {
	l := ledger(Report{StartUnixMs: 1, Running: 10})
	for i := range 3 {
		l.Ask(start, ask(fmt.Sprint(i)))
	}
	l.Observe(start, Report{StartUnixMs: 2, Version: 1})
	assert.Zero(t, l.Held(start))
	assert.Zero(t, l.Ask(start, ask("a")).Wait)
}

func TestEngineThatCannotServeRefuses(t *testing.T) {
	assert.Equal(t, ReasonUnknown, New(model()).Ask(start, ask("a")).Reason, "no report")
	assert.Equal(t, ReasonUnknown, ledger(Report{}).Ask(start.Add(maxReportAge+1), ask("a")).Reason, "an old report")
	assert.Equal(t, ReasonLoading, ledger(Report{Busy: true}).Ask(start, ask("a")).Reason)
	l := ledger(Report{Version: 3})
	old := ask("a")
	old.Version = 2
	assert.Equal(t, ReasonVersion, l.Ask(start, old).Reason)
	l.SetLoading(true)
	assert.Equal(t, ReasonLoading, l.Ask(start, ask("a")).Reason, "about to load")
	l.SetLoading(false)
	assert.True(t, l.Ask(start, ask("a")).Granted)
}

// At 2.5 times the usual time a prompt of 3,000 tokens is late, and so is the end of an answer of 300 tokens;
// before, such an engine got as many requests as the others.
func TestSlowEngineGetsOnlyWhatIsInTimeThere(t *testing.T) {
	slow := Report{Pace: 2.5}
	assert.True(t, ledger(slow).Ask(start, ask("usual")).Granted)
	large := ask("large prompt")
	large.Prompt = 3000
	assert.Equal(t, ReasonSlow, ledger(slow).Ask(start, large).Reason)
	assert.True(t, ledger(Report{}).Ask(start, large).Granted)
	long := ask("long answer")
	long.Answer = 300
	assert.Equal(t, ReasonSlow, ledger(slow).Ask(start, long).Reason)
	assert.True(t, ledger(Report{}).Ask(start, long).Granted)
	large.AcceptLate, long.AcceptLate = true, true
	assert.True(t, ledger(slow).Ask(start, large).Granted, "late is better than refused")
	assert.True(t, ledger(slow).Ask(start, long).Granted)
	assert.Equal(t, ReasonFull, ledger(Report{Pace: 2.5, Running: 12}).Ask(start, large).Reason, "no slot is free")
}

// Prompts that are read between the tokens of running streams pause these.
func TestPromptThatWouldPauseRunningStreamsIsRefused(t *testing.T) {
	l := ledger(Report{Running: 3})
	big := ask("big")
	big.Prompt, big.Due = 8000, 0
	assert.True(t, l.Ask(start, big).Granted, "no gap objective is known yet")
	l = ledger(Report{Running: 3})
	l.Ask(start, ask("stream"))
	later := start.Add(100 * ms)
	l.Observe(later, Report{Running: 4, Version: 1})
	assert.Equal(t, ReasonSlow, l.Ask(later, big).Reason)
	l.Observe(later, Report{Version: 1})
	assert.True(t, l.Ask(later, big).Granted, "nobody is paused")
}

func TestFreeSlotGoesToAnyRank(t *testing.T) {
	last := ask("last")
	last.Weight, last.Rank = 0.01, 5
	assert.True(t, ledger(Report{Running: 11}).Ask(start, last).Granted)
	retry := ask("retry")
	retry.Retry = true
	assert.True(t, ledger(Report{Running: 10}).Ask(start, retry).Granted)
	assert.Equal(t, ReasonRetry, ledger(Report{Running: 11}).Ask(start, retry).Reason, "the last slot is left to a first attempt")
	assert.Equal(t, ReasonRetry, ledger(Report{Running: 12}).Ask(start, retry).Reason, "first attempts go before it")
}

// A request that the weight of its rank excludes must not be admitted by asking another agent.
func TestPlacesInTheQueueFollowWeights(t *testing.T) {
	admitted := map[float64]int{}
	const n = 2000
	for _, weight := range []float64{1, 0.75, 0.42} {
		for i := range n {
			r := ask(fmt.Sprint(i))
			r.Weight = weight
			first := ledger(Report{Running: 12}).Ask(start, r)
			other := ledger(Report{Running: 12, Waiting: 0, Pace: 1}).Ask(start, r)
			assert.Equal(t, first.Granted, other.Granted)
			if first.Granted {
				admitted[weight]++
			} else {
				assert.Equal(t, ReasonRank, first.Reason)
			}
		}
	}
	assert.Equal(t, n, admitted[1])
	assert.InDelta(t, 0.75*n, admitted[0.75], 0.05*n)
	assert.InDelta(t, 0.42*n, admitted[0.42], 0.05*n)
}

// The rest of a stream has a caller with part of its answer: no rank excludes it.
func TestRestOfAStreamIsNotExcludedByItsRank(t *testing.T) {
	r := ask("rest")
	r.Weight, r.Resumed = 0.001, true
	assert.True(t, ledger(Report{Running: 12}).Ask(start, r).Granted)
	r.Gap = 100 * ms
	assert.Equal(t, ReasonFull, ledger(Report{Running: 12}).Ask(start, r).Reason, "its gap objective does not allow the wait")
}

// The rest of a stream has had its first event, so the objective for it must not refuse the rest.
func TestRestOfAStreamIsNotJudgedByItsFirstEvent(t *testing.T) {
	r := ask("rest")
	r.Due = 200 * ms
	assert.Equal(t, ReasonFull, ledger(Report{Running: 12}).Ask(start, r).Reason, "a first attempt would be late")
	r.Resumed = true
	l := ledger(Report{Running: 12})
	assert.True(t, l.Ask(start, r).Granted)
	assert.True(t, l.held["rest"].due.IsZero(), "nor must it refuse others")
}

// Without a gap objective the rest of a stream must get a place in a queue, too, also once its objective has passed: it would
// lose each free slot to first attempts for as long as an overload lasts.
func TestRestOfAStreamWithoutGapObjectiveIsQueued(t *testing.T) {
	r := ask("rest")
	r.Resumed, r.Gap, r.Due = true, 0, 0
	assert.True(t, ledger(Report{Running: 12}).Ask(start, r).Granted)
	r.Budget = 100 * ms
	assert.Equal(t, ReasonFull, ledger(Report{Running: 12}).Ask(start, r).Reason)
}

func TestReasonNames(t *testing.T) {
	for r := ReasonNone; r <= ReasonUnknown; r++ {
		assert.Equal(t, r, ParseReason(r.String()))
	}
	assert.Equal(t, ReasonUnknown, ParseReason("of a later version"))
}

// A queued request that is predicted to get a slot later must not hide the slots that become free earlier.
func TestQueuedRequestDoesNotHideFreeSlots(t *testing.T) {
	l := ledger(Report{Running: 12})
	assert.True(t, l.Ask(start, ask("queued")).Granted)
	later := start.Add(20 * ms)
	l.Observe(later, Report{Running: 9, Waiting: 0, Version: 1})
	d := l.Ask(later, ask("b"))
	assert.True(t, d.Granted)
	assert.Zero(t, d.Wait)
}

// Reservations of an entry that was killed must not hide requests without one, nor count as not arrived.
func TestReservationsPastTheirLeaseAreDroppedIfTheEngineHasFewerRequests(t *testing.T) {
	l := ledger(Report{})
	for i := range 3 {
		assert.True(t, l.Ask(start.Add(time.Duration(i)*200*ms), ask(fmt.Sprint(i))).Granted)
	}
	later := start.Add(time.Second)
	l.Observe(later, Report{Version: 1})
	later = later.Add(lostTime)
	l.Observe(later, Report{Version: 1})
	assert.Zero(t, l.Held(later))
	l.Observe(later.Add(20*ms), Report{Running: 3, Version: 1})
	assert.Greater(t, l.Ask(later.Add(20*ms), ask("c")).Wait, 100*ms, "three prompts have just come")
}

// After the release of the request that is due first, a prompt is not refused because of it.
func TestReleaseOfTheEarliestDueRequestLiftsItsBound(t *testing.T) {
	l := ledger(Report{})
	urgent := ask("urgent")
	urgent.Due = 150 * ms
	assert.True(t, l.Ask(start, urgent).Granted)
	assert.Equal(t, ReasonFull, l.Ask(start, ask("b")).Reason)
	l.Release(start, "urgent")
	assert.True(t, l.Ask(start, ask("b")).Granted)
}

func TestUnusablePaceCountsAsUsual(t *testing.T) {
	for _, pace := range []float64{-1, math.NaN(), 0} {
		assert.Equal(t, 1.0, ledger(Report{Pace: pace}).Ask(start, ask("a")).Load.Pace)
	}
	assert.Positive(t, ledger(Report{Pace: math.Inf(1), Running: 12}).Ask(start, ask("a")).Wait)
}

func BenchmarkAsk(b *testing.B) {
	l := ledger(Report{Running: 11})
	r := ask("a")
	for i := range b.N {
		now := start.Add(time.Duration(i) * 25 * ms)
		l.Observe(now, Report{Running: 11, Version: 1})
		r.ID = ids[i%len(ids)]
		l.Ask(now, r)
		l.Release(now, r.ID)
	}
}

var ids = []string{"a", "b", "c", "d"}
