package reservation

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed"
)

// lostPlan describes requests of two entries to one engine, of which one is killed at lostKilledAt.
type lostPlan struct {
	seed uint64
	// interval is the time between two asks, lasts how long a request runs, at most.
	interval, lasts time.Duration
	// doomedShare is the share of requests that are of the entry which is killed; keptShare that of its requests which the engine
	// keeps after that.
	doomedShare, keptShare float64
	// releaseDelay is how long a release takes at most.
	releaseDelay time.Duration
	// restarts: the other requests are of the killed entry, too, started again under its name.
	restarts bool
}

const (
	lostKilledAt   = 2 * time.Second
	lostEnd        = 6 * time.Second
	lostStep       = 5 * ms
	mostSettleTime = 2 * lease
	// settledBy is when the requests have ended for which reservations of the entry that was started again were dropped at first.
	settledBy = lostKilledAt + 3*time.Second
)

// lostSim plays a lostPlan in steps of lostStep. The engine's reports have no delay.
type lostSim struct {
	plan   lostPlan
	random *rand.Rand
	ledger *Ledger
	now    time.Duration
	todo   map[time.Duration][]func()
	// atEngine are the requests there, doomed those of the killed entry that were not released.
	atEngine, doomed map[string]bool
	// onTheWay is the number of requests that were granted and will arrive.
	onTheWay int
	// lost counts reservations whose requests are not at the engine, and that are never released; dropped those that the ledger
	// has dropped as such. peak is the highest number of requests at the engine.
	lost, dropped, peak int
	// lastLostAt is when the last reservation was lost, settledAt when as many had been dropped.
	lastLostAt, settledAt time.Duration
	// missing is the highest number of requests, at the engine and on their way, that had no reservation.
	missing int
	// excess is the least number of reservations without a request in a report from settledBy on.
	excess int
}

func playLost(plan lostPlan) *lostSim {
	s := &lostSim{
		plan: plan, random: rand.New(rand.NewPCG(plan.seed, 1)), ledger: New(model()), todo: map[time.Duration][]func(){},
		atEngine: map[string]bool{}, doomed: map[string]bool{}, excess: math.MaxInt,
	}
	s.ledger.Observe(start, Report{Version: 1})
	s.after(plan.interval, s.ask)
	for ; s.now < lostEnd; s.now += lostStep {
		if s.now == lostKilledAt {
			s.kill()
		}
		for _, do := range s.todo[s.now] {
			do()
		}
		delete(s.todo, s.now)
		s.peak = max(s.peak, len(s.atEngine))
	}
	return s
}

func (s *lostSim) after(d time.Duration, do func()) {
	at := s.now + max(d.Truncate(lostStep), lostStep)
	s.todo[at] = append(s.todo[at], do)
}

func (s *lostSim) draw(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)+1))
}

// report has the ledger observe what is at the engine.
func (s *lostSim) report() {
	s.ledger.Observe(start.Add(s.now), Report{Running: min(len(s.atEngine), 12), Waiting: max(len(s.atEngine)-12, 0), Version: 1})
	for _, d := range s.ledger.TakeDropped() {
		if d.Cause == DropNotCounted {
			s.dropped++
		}
	}
	excess := s.ledger.Held(start.Add(s.now)) - len(s.atEngine) - s.onTheWay
	s.missing = max(s.missing, -excess)
	if s.now >= settledBy {
		s.excess = min(s.excess, excess)
	}
	if s.settledAt <= s.lastLostAt && s.dropped == s.lost {
		s.settledAt = s.now
	}
}

func (s *lostSim) ask() {
	s.after(s.draw(lostStep, s.plan.interval), s.ask)
	s.report()
	id := fmt.Sprint(s.now)
	doomed := s.random.Float64() < s.plan.doomedShare
	lasts, release := s.draw(s.plan.lasts/2, s.plan.lasts), s.draw(lostStep, s.plan.releaseDelay)
	if doomed && s.now >= lostKilledAt {
		return
	}
	r := ask(id)
	r.Entry = fmt.Sprint(doomed && !s.plan.restarts)
	r.Budget, r.Due, r.Gap, r.Prompt = minBudget, 0, 0, 1
	if !s.ledger.Ask(start.Add(s.now), r).Granted {
		return
	}
	if doomed {
		s.doomed[id] = true
	}
	if doomed && s.now+lostStep >= lostKilledAt {
		return // it will not be sent
	}
	s.onTheWay++
	s.after(lostStep, func() {
		s.onTheWay--
		s.atEngine[id] = true
		s.after(lasts, func() { s.end(id, release) })
	})
}

// end ends a request at the engine.
func (s *lostSim) end(id string, release time.Duration) {
	if !s.atEngine[id] {
		return
	}
	delete(s.atEngine, id)
	if s.doomed[id] && s.now+release >= lostKilledAt {
		s.loses(id)
		return
	}
	s.after(release, func() {
		s.ledger.Release(start.Add(s.now), id)
		delete(s.doomed, id)
	})
}

// kill ends the doomed entry. The engine drops its requests, but for those that it keeps.
func (s *lostSim) kill() {
	for _, id := range slices.Sorted(maps.Keys(s.doomed)) {
		if s.atEngine[id] && s.random.Float64() < s.plan.keptShare {
			continue
		}
		delete(s.atEngine, id)
		s.loses(id)
	}
}

func (s *lostSim) loses(id string) {
	delete(s.doomed, id)
	s.lost++
	s.lastLostAt = s.now
}

// Guards against reservations of a killed entry that outlast its requests at an engine which others keep busy: each hid a free
// slot whenever a request of another entry had just come.
func TestReservationsOfAKilledEntryEndBesideRequestsOfOthers(t *testing.T) {
	for _, kept := range []float64{0, 0.25, 1} {
		for seed := range uint64(10) {
			s := playLost(lostPlan{
				seed: seed, interval: 40 * ms, lasts: time.Second, doomedShare: 0.5, keptShare: kept, releaseDelay: 10 * ms,
			})
			what := fmt.Sprintf("kept %.2f, seed %d: %d lost, %d dropped", kept, seed, s.lost, s.dropped)
			assert.Positive(t, s.lost, what)
			assert.Equal(t, s.lost, s.dropped, what)
			assert.Less(t, s.settledAt-s.lastLostAt, mostSettleTime, what)
		}
	}
}

// Guards against reservations of an entry before its restart that its later ones hide until their deadlines.
func TestReservationsOfARestartedEntryEndBesideItsLaterOnes(t *testing.T) {
	for seed := range uint64(10) {
		s := playLost(lostPlan{
			seed: seed, interval: 40 * ms, lasts: time.Second, doomedShare: 0.5, keptShare: 0.25, releaseDelay: 10 * ms, restarts: true,
		})
		assert.Positive(t, s.lost, "seed %d", seed)
		assert.Zero(t, s.excess, "seed %d", seed)
	}
}

// Guards against reservations that are dropped while their requests, or the releases of ended ones, are on their way, and against
// slots that are granted twice then, also those of kept requests.
func TestNoReservationIsDroppedForARequestOnItsWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := playLost(lostPlan{
			seed:         rapid.Uint64().Draw(t, "seed"),
			interval:     lostStep * time.Duration(rapid.IntRange(1, 40).Draw(t, "interval")),
			lasts:        lostStep * time.Duration(rapid.IntRange(20, 300).Draw(t, "lasts")),
			doomedShare:  rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "doomed"),
			keptShare:    rapid.SampledFrom([]float64{0, 0.25, 1}).Draw(t, "kept"),
			releaseDelay: lostStep * time.Duration(rapid.IntRange(1, 9).Draw(t, "release")),
		})
		assert.LessOrEqual(t, s.missing, 0)
		assert.LessOrEqual(t, s.peak, model().Slots)
		if s.lost == 0 {
			assert.Zero(t, s.dropped)
		}
	})
}

// Guards against a slot that is granted to another request while its own is sent late, within its lease.
func TestReservationOfARequestThatIsSentLateKeepsItsSlot(t *testing.T) {
	l := ledger(Report{})
	old := ask("old")
	old.Prompt, old.Due = 1, 0
	assert.True(t, l.Ask(start, old).Granted)
	l.Observe(start.Add(lease), Report{Running: 1, Version: 1})
	late := ask("late")
	late.Prompt, late.Due = 1, 0
	granted := start.Add(lease)
	assert.True(t, l.Ask(granted, late).Granted)
	for now := granted.Add(ms); now.Before(granted.Add(SendTime)); now = now.Add(5 * ms) {
		l.Observe(now, Report{Running: 1, Version: 1})
		assert.Equal(t, 2, l.Held(now))
		assert.Equal(t, 1, l.Load(now).Reserved)
	}
	l.Observe(granted.Add(lease), Report{Running: 2, Version: 1})
	assert.Equal(t, 2, l.Held(granted.Add(lease)))
}

// Guards against reservations of a living entry that are dropped for those of a killed one: their releases would have no effect.
func TestReservationsOfTheEntryWithoutGrantsAreDroppedFirst(t *testing.T) {
	l := ledger(Report{})
	grant := func(at time.Time, id, entry string) {
		r := ask(id)
		r.Entry, r.Prompt, r.Due = entry, 1, 0
		assert.True(t, l.Ask(at, r).Granted)
	}
	grant(start, "living 1", "living")
	grant(start.Add(50*ms), "killed", "killed")
	grant(start.Add(100*ms), "living 2", "living")
	for now := start.Add(400 * ms); now.Before(start.Add(time.Second)); now = now.Add(50 * ms) {
		l.Observe(now, Report{Running: 2, Version: 1})
	}
	assert.Equal(t, 2, l.Held(start.Add(time.Second)))
	assert.Equal(t, []string{"killed"}, entriesOf(l.TakeDropped()))
}

func entriesOf(dropped []Dropped) (entries []string) {
	for _, d := range dropped {
		entries = append(entries, d.Entry)
	}
	return entries
}

// Guards against reservations of others that are dropped for requests which change from report to report: each is on its way to the
// engine, or has ended and its release comes soon.
func TestWhatIsOnItsWayAtEachReportIsNotLost(t *testing.T) {
	type report struct {
		missing, sent int
		released      bool
	}
	for name, c := range map[string]struct {
		reports []report
		want    int
	}{
		"lost":                   {[]report{{2, 0, false}, {2, 0, false}, {2, 0, false}}, 2},
		"on their way":           {[]report{{1, 1, false}, {1, 1, false}, {1, 1, false}}, 0},
		"releases on their way":  {[]report{{1, 0, true}, {1, 0, true}, {1, 0, true}}, 0},
		"one lost, others ended": {[]report{{2, 0, true}, {2, 0, true}, {1, 0, false}}, 1},
		"one lost, others sent":  {[]report{{3, 2, false}, {2, 1, false}, {1, 0, false}}, 1},
		"once no more than one":  {[]report{{3, 0, false}, {1, 0, false}, {3, 0, false}}, 1},
		"once all counted":       {[]report{{3, 0, false}, {0, 0, false}, {3, 0, false}}, 0},
		"release of the last":    {[]report{{1, 0, false}, {1, 0, false}, {1, 0, true}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var count lostCount
			now := start
			for i, r := range c.reports {
				now = start.Add(time.Duration(i) * lostTime / 2)
				count.observe(now, lostTime, r.missing, r.sent)
				if r.released {
					count.released(now.Add(releaseTime/2), now.Add(-lease))
				}
			}
			assert.Equal(t, c.want, count.lost(now, lostTime))
			assert.Zero(t, count.lost(now, lostTime+ms), "no reports of that age")
		})
	}
}

// Guards against reservations that are dropped twice for the same requests.
func TestDroppedReservationsAreNotLostAgain(t *testing.T) {
	var count lostCount
	for i, missing := range []int{1, 3, 3, 3} {
		count.observe(start.Add(time.Duration(i)*lostTime/2), 2*lostTime, missing, 0)
	}
	now := start.Add(3 * lostTime / 2)
	assert.Equal(t, 1, count.lost(now, 3*lostTime/2))
	count.dropped(1)
	assert.Zero(t, count.lost(now, 3*lostTime/2), "the others are not missed for long enough")
	assert.Equal(t, 2, count.lost(now, lostTime))
}
