package waiting

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The simulated load: callers send requests at random times, 1.3 times the capacity of the
// servers, and retry once, 0.8 to 2 s after a refusal. A request occupies a slot for a second on
// average. A first event is in time if the request gets a slot within the fifth of the objective
// for which it may wait.
const (
	slots         = 64
	service       = time.Second
	overload      = 1.3
	simulated     = 60 * time.Second
	objective     = 400 * time.Millisecond
	minRetryDelay = 800 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// results count the requests that were served in time, served late, or refused.
type results struct{ inTime, late, refused int }

func (p results) share(n int) float64 { return float64(n) / float64(p.inTime+p.late+p.refused) }

func (p results) served() float64 { return p.share(p.inTime + p.late) }

// event is a scheduled step of the simulation.
type event struct {
	at time.Time
	do func(now time.Time)
}

// simulation simulates the load with a queue, or with requests that are dispatched or refused at once.
type simulation struct {
	draw   *rand.Rand
	events []event
	free   int
	queue  *Queue // nil: none
	// objectives are those of the kinds of requests, which are equally frequent; got is by kind.
	objectives []time.Duration
	kinds      map[*Request]int
	got        []results
}

// newSimulation returns a simulation, without a queue if q is nil.
func newSimulation(seed uint64, q *Queue, objectives ...time.Duration) *simulation {
	return &simulation{
		draw: rand.New(rand.NewPCG(seed, 1)), free: slots, queue: q,
		objectives: objectives, kinds: map[*Request]int{}, got: make([]results, len(objectives)),
	}
}

func (p *simulation) at(when time.Time, do func(now time.Time)) {
	i, _ := slices.BinarySearchFunc(p.events, when, func(e event, at time.Time) int { return cmp.Or(e.at.Compare(at), -1) })
	p.events = slices.Insert(p.events, i, event{when, do})
}

func (p *simulation) run(end time.Time) []results {
	for gap := range p.arrivals() {
		kind := 0
		if len(p.objectives) > 1 {
			kind = p.draw.IntN(len(p.objectives))
		}
		p.at(gap, func(now time.Time) { p.arrive(now, kind, false) })
		if !gap.Before(end) {
			break
		}
	}
	for len(p.events) > 0 {
		e := p.events[0]
		p.events = p.events[1:]
		e.do(e.at)
	}
	return p.got
}

// arrivals yields the times of first attempts.
func (p *simulation) arrivals() func(yield func(time.Time) bool) {
	return func(yield func(time.Time) bool) {
		mean := float64(service) / slots / overload
		for at := start; yield(at); {
			at = at.Add(time.Duration(p.draw.ExpFloat64() * mean))
		}
	}
}

func (p *simulation) arrive(now time.Time, kind int, clientRetry bool) {
	r := &Request{ClientRetry: clientRetry, Since: now, WaitDeadline: WaitDeadline(now, p.objectives[kind], clientRetry)}
	p.kinds[r] = kind
	mayTake := p.queue == nil || !clientRetry || !p.queue.HasFirstAttempts("")
	switch {
	case p.free > 0 && mayTake:
		p.begin(now, r)
	case p.queue == nil:
		p.refuse(now, r)
	default:
		p.queue.Add(r)
		p.at(r.WaitDeadline, func(now time.Time) {
			if p.queue.Remove(r) {
				p.refuse(now, r)
			}
		})
	}
}

func (p *simulation) begin(now time.Time, r *Request) {
	p.free--
	if r.ClientRetry {
		p.got[p.kinds[r]].late++
	} else {
		p.got[p.kinds[r]].inTime++
	}
	p.at(now.Add(time.Duration(p.draw.ExpFloat64()*float64(service))), p.end)
}

func (p *simulation) end(now time.Time) {
	p.free++
	if p.queue == nil {
		return
	}
	for _, r := range p.queue.Ordered(now) {
		if p.free == 0 {
			return
		}
		p.queue.Granted(r)
		p.begin(now, r)
	}
}

func (p *simulation) refuse(now time.Time, r *Request) {
	kind := p.kinds[r]
	if r.ClientRetry {
		p.got[kind].refused++
		return
	}
	after := minRetryDelay + time.Duration(p.draw.Float64()*float64(maxRetryDelay-minRetryDelay))
	p.at(now.Add(after), func(now time.Time) { p.arrive(now, kind, true) })
}

// The simulation with the queue is compared with requests that are dispatched or refused at once.
func TestOverloadFreeSlotsGoToFirstAttempts(t *testing.T) {
	for seed := range uint64(5) {
		without := newSimulation(seed, nil, objective).run(start.Add(simulated))[0]
		with := newSimulation(seed, New(), objective).run(start.Add(simulated))[0]
		t.Logf("seed %d: in time %.3f with the queue, %.3f without; late %.3f, %.3f", seed,
			with.share(with.inTime), without.share(without.inTime), with.share(with.late), without.share(without.late))
		assert.Greater(t, with.share(with.inTime), 0.65)
		assert.Greater(t, with.share(with.inTime), without.share(without.inTime)+0.1)
		assert.Greater(t, with.share(with.inTime+with.late), without.share(without.inTime+without.late)-0.02, "no slot is left unused")
	}
}

// Regression: under lasting overload, requests with an objective of three quarters of the others' were
// refused more often, since the queue was ordered by the time left. They still wait for a shorter time:
// their callers must learn of a refusal early.
func TestShortObjectiveIsNotRefusedMoreOften(t *testing.T) {
	for seed := range uint64(5) {
		got := newSimulation(seed, New(), objective, 3*objective/4).run(start.Add(simulated))
		long, short := got[0], got[1]
		t.Logf("seed %d: in time %.3f and %.3f with the shorter one, served %.3f and %.3f", seed,
			long.share(long.inTime), short.share(short.inTime), long.served(), short.served())
		assert.Less(t, long.served()-short.served(), 0.05, "the users' target: five in a hundred")
	}
}
