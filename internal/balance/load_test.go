package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
)

// The simulated load: entries, some with twice the callers of others, dispatch requests to engines
// of twelve slots. A request occupies its slot for 1.2 s on average; prompts of one engine are read
// one after the other. Engines report their load four times a second, and entries receive the report
// 200 ms later. A refused caller retries once, 0.8 to 2 s later.
const (
	loadSlots       = 12
	loadPerEntry    = 3
	loadServiceTime = 1200 * time.Millisecond
	loadRead        = 32 * time.Millisecond
	loadPass        = 45 * time.Millisecond
	loadObjective   = 400 * time.Millisecond
	loadBudget      = 165 * time.Millisecond
	loadLoadingTime = 350 * time.Millisecond
	loadReport      = 250 * time.Millisecond
	loadReportLag   = 200 * time.Millisecond
	loadDuration    = 12 * time.Second
)

// loadResult counts the requests served in time, served late, and refused twice.
type loadResult struct{ inTime, late, refused int }

func (g loadResult) share(n int) float64 { return float64(n) / float64(g.inTime+g.late+g.refused) }

// note counts a request whose first event was received.
func (g *loadResult) note(inTime bool) {
	if inTime {
		g.inTime++
	} else {
		g.late++
	}
}

func (g *loadResult) add(other loadResult) {
	g.inTime += other.inTime
	g.late += other.late
	g.refused += other.refused
}

func (g loadResult) String() string {
	return fmt.Sprintf("in time %.3f, late %.3f, refused %.3f", g.share(g.inTime), g.share(g.late), g.share(g.refused))
}

// loadEvent is a scheduled step of the simulation.
type loadEvent struct {
	at time.Time
	do func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int           { return len(e) }
func (e loadEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e loadEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)        { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loadEngine is a simulated engine: requests wait for a slot, then for the prompts before their own.
type loadEngine struct {
	addr    string
	running int
	waiting []func()
	readBy  time.Time
	// pace is how many times as long as usual its work takes; it is in its reports if reportsPace is set.
	pace        float64
	reportsPace bool
	// loading engines accept no requests until those in flight have ended, and then load.
	loading bool
}

// loadSimulation simulates the load. The balancer draws its choices itself, so that two simulations
// with one seed differ a little.
type loadSimulation struct {
	draw   *rand.Rand
	now    time.Time
	events loadEvents
	// engines by address, and in a fixed order for random draws.
	engines  map[string]*loadEngine
	order    []*loadEngine
	entries  []*Balancer
	learning bool
	// reportInterval is the time between two reports of an engine, reportLag that until entries receive one.
	reportInterval, reportLag time.Duration
	got                       loadResult
}

func (p *loadSimulation) after(d time.Duration, do func()) {
	heap.Push(&p.events, loadEvent{p.now.Add(d), do})
}

func newLoadSimulation(seed uint64, entries int, learning bool) *loadSimulation {
	p := &loadSimulation{draw: rand.New(rand.NewPCG(seed, 3)), now: start, engines: map[string]*loadEngine{}, learning: learning, reportInterval: loadReport, reportLag: loadReportLag}
	var records []*fleet.BackendServer
	for i := range entries * loadPerEntry {
		r := record(fmt.Sprint(i+1), "here", 1)
		r.Slots, r.SeenAt = loadSlots, start.Add(time.Hour)
		records = append(records, r)
		e := &loadEngine{addr: r.Addr, pace: 1}
		p.engines[r.Addr], p.order = e, append(p.order, e)
	}
	v := view(records...)
	v.Entries = nil
	*v.Table.Service(service).Engine = fleet.Engine{
		Slots: loadSlots, Stride: 6, Step: 7 * time.Millisecond, ReadPerSecond: 30600, UsualPrompt: 964, UsualAnswer: 119, Layers: 16,
	}
	for i := range entries {
		v.Entries = append(v.Entries, follow.Entry{Name: fmt.Sprint("entry-", i), Zone: "here"})
	}
	for _, e := range v.Entries {
		p.entries = append(p.entries, named(e.Name, v))
	}
	for _, e := range p.order {
		p.after(time.Duration(p.draw.Float64()*float64(loadReport)), func() { p.report(e) })
	}
	return p
}

func (p *loadSimulation) report(e *loadEngine) {
	p.sendReport(e)
	p.after(p.reportInterval, func() { p.report(e) })
}

func (p *loadSimulation) sendReport(e *loadEngine) {
	r := Report{Addr: e.addr, Models: []fleet.Loaded{{Model: model, Version: 1, To: 16}}, Running: e.running, Waiting: len(e.waiting), Loading: e.loading}
	if e.reportsPace {
		r.Pace = e.pace
	}
	p.after(p.reportLag, func() {
		for _, b := range p.entries {
			b.Reported(p.now, r)
		}
	})
}

// loadAll makes all engines load at random times within this period.
func (p *loadSimulation) loadAll(begin, within time.Duration) {
	for _, e := range p.order {
		p.after(begin+time.Duration(p.draw.Int64N(int64(within))), func() {
			e.loading = true
			p.sendReport(e)
			p.loadWhenIdle(e)
		})
	}
}

// loadWhenIdle waits until an engine is idle, and makes it load.
func (p *loadSimulation) loadWhenIdle(e *loadEngine) {
	if e.running > 0 {
		p.after(10*time.Millisecond, func() { p.loadWhenIdle(e) })
		return
	}
	p.after(loadLoadingTime, func() {
		e.loading = false
		p.sendReport(e)
	})
}

// play simulates a load of this multiple of the capacity.
func (p *loadSimulation) play(load float64) loadResult {
	capacity := float64(len(p.engines)*loadSlots) / loadServiceTime.Seconds()
	mean := capacity * load / float64(len(p.entries))
	for i, b := range p.entries {
		rate := mean * (2.0 / 3) // every second entry has twice the callers of the others
		if i%2 == 1 {
			rate = mean * (4.0 / 3)
		}
		p.offer(b, rate)
	}
	p.run(loadDuration)
	return p.got
}

// run processes the events of this period.
func (p *loadSimulation) run(d time.Duration) {
	for end := start.Add(d); len(p.events) > 0 && p.now.Before(end); {
		e := heap.Pop(&p.events).(loadEvent)
		p.now = e.at
		e.do()
	}
}

func (p *loadSimulation) offer(b *Balancer, rate float64) {
	p.after(time.Duration(p.draw.ExpFloat64()/rate*float64(time.Second)), func() {
		p.arrive(b, p.now, false)
		p.offer(b, rate)
	})
}

func (p *loadSimulation) arrive(b *Balancer, asked time.Time, retry bool) {
	w := want()
	w.Read, w.Budget = loadRead, loadBudget
	if p.learning && !retry {
		w.Due = p.now.Add(loadObjective)
	}
	c, _ := b.Pick(p.now, w)
	switch {
	case c.Server != nil:
		p.dispatch(b, &c, asked)
	case retry:
		p.got.refused++
	default:
		other := p.entries[p.draw.IntN(len(p.entries))]
		p.after(800*time.Millisecond+time.Duration(p.draw.IntN(1200))*time.Millisecond, func() { p.arrive(other, asked, true) })
	}
}

func (p *loadSimulation) dispatch(b *Balancer, c *Choice, asked time.Time) {
	e := p.engines[c.Server.Addr]
	p.enqueue(e, loadRead, func() {
		p.got.note(p.now.Sub(asked) <= loadObjective)
		p.write(e, b, c)
	})
}

// enqueue puts a request into a slot of an engine once one is free, and calls first at its first event.
func (p *loadSimulation) enqueue(e *loadEngine, read time.Duration, first func()) {
	run := func() {
		e.running++
		if e.readBy.Before(p.now) {
			e.readBy = p.now
		}
		e.readBy = e.readBy.Add(scale(read, e.pace))
		p.after(e.readBy.Sub(p.now)+scale(loadPass, e.pace), first)
	}
	if e.running < loadSlots {
		run()
		return
	}
	e.waiting = append(e.waiting, run)
}

// write simulates the events of a request, the first one now.
func (p *loadSimulation) write(e *loadEngine, b *Balancer, c *Choice) {
	b.FirstEvent(c, p.now)
	p.after(scale(loadServiceTime-loadRead-loadPass, (0.5+p.draw.Float64())*e.pace), func() { p.end(e, b, c) })
}

func (p *loadSimulation) end(e *loadEngine, b *Balancer, c *Choice) {
	e.running--
	b.Done(c, p.now, ResultSucceeded)
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next()
	}
}

// Compares callers with and without the estimate of unseen requests: 0.44 to 0.48 in time in place of
// 0.29 to 0.37 at 1.3 times the capacity (two seeds), the same at 0.7 times.
func TestUnseenEstimateKeepsCallersInTime(t *testing.T) {
	for _, entries := range []int{17, 36} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				t.Parallel()
				without, with := newLoadSimulation(seed, entries, false).play(1.3), newLoadSimulation(seed, entries, true).play(1.3)
				t.Logf("load 1.3: without %v; with %v", without, with)
				assert.Greater(t, with.share(with.inTime), without.share(without.inTime)+0.03)
				assert.Greater(t, with.share(with.inTime+with.late), without.share(without.inTime+without.late)-0.1, "no slot is left unused")
				without, with = newLoadSimulation(seed, entries, false).play(0.7), newLoadSimulation(seed, entries, true).play(0.7)
				t.Logf("load 0.7: without %v; with %v", without, with)
				assert.InDelta(t, without.share(without.inTime), with.share(with.inTime), 0.05, "with free slots it changes nothing")
				assert.Less(t, with.share(with.refused), 0.005)
			})
		}
	}
}

// All engines load within 4 s at 0.8 of the capacity. Callers must be served late rather than refused
// for good, as happens to several times as many if the estimate of unseen requests applies then.
func TestLoadingPhaseIsNotTreatedAsOverload(t *testing.T) {
	var counted, tolerated loadResult
	for seed := range uint64(6) {
		for _, detected := range []bool{false, true} {
			p := newLoadSimulation(seed, 17, true)
			p.loadAll(2*time.Second, 4*time.Second)
			sum := &tolerated
			if !detected {
				sum = &counted
				for _, b := range p.entries { // no server is seen loading
					b.loadingPhases[service] = &loadingPhase{countedAt: start.Add(time.Hour)}
				}
			}
			sum.add(p.play(0.8))
		}
	}
	t.Logf("estimate applied: %v; not applied while engines load: %v", counted, tolerated)
	assert.Less(t, 2*tolerated.refused, counted.refused)
	assert.Greater(t, tolerated.share(tolerated.inTime), counted.share(counted.inTime)-0.02, "no fewer are in time")
}
