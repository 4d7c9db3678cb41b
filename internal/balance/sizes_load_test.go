package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/waiting"
)

// The load of load_test.go with prompts of all sizes, two kinds of requests with different
// objectives, and requests that wait for slots as at an entry. It compares policies for the longest
// predicted wait of a request: what its prompt leaves of its objective; the same for all; and
// what its prompt leaves, but the longest wait of all for sizes that are served less often than others.

const (
	sizedShare    = 0.6
	sizedMinWait  = 20 * time.Millisecond
	sizedMaxRead  = 4 * loadRead
	sizedEntries  = 13
	sizedMisses   = 3
	sizedDuration = 20 * time.Second
	// minSizeShare is the least service rate of each band of sizes relative to its kind,
	// minKindShare that of each kind relative to all: the users' targets.
	minSizeShare = 0.5
	minKindShare = 0.25
	// faultLoad is the load from which on the policy perRequest misses the target.
	faultLoad = 1.8
)

// sizedObjectives are those of the two kinds; one request in three is of the second.
var sizedObjectives = []time.Duration{loadObjective, 300 * time.Millisecond}

type sizedRequest struct {
	kind  int
	read  time.Duration
	asked time.Time
	retry bool
}

func (r *sizedRequest) objective() time.Duration { return sizedObjectives[r.kind] }

// remaining is what the request's prompt leaves of its objective.
func (r *sizedRequest) remaining() time.Duration {
	return time.Duration(sizedShare*float64(r.objective())) - r.read - loadPass
}

// sizedBounds are upper bounds of bands of sizes, by the time to read a prompt, whose distribution
// is exponential: half of the prompts, the next fifth, the next, and the largest tenth.
var sizedBounds = []time.Duration{22 * time.Millisecond, 39 * time.Millisecond, 74 * time.Millisecond, time.Hour}

func (r *sizedRequest) band() int {
	return slices.IndexFunc(sizedBounds, func(below time.Duration) bool { return r.read < below })
}

// waitPolicy decides the longest predicted wait of requests at one entry.
type waitPolicy interface {
	// asked records the arrival of a request, ended whether it was dispatched.
	asked(r *sizedRequest)
	ended(r *sizedRequest, sent bool)
	longest(r *sizedRequest) time.Duration
}

// perRequest allows each request what its prompt leaves of its objective.
type perRequest struct{}

func (perRequest) asked(*sizedRequest)                   {}
func (perRequest) ended(*sizedRequest, bool)             {}
func (perRequest) longest(r *sizedRequest) time.Duration { return max(r.remaining(), sizedMinWait) }

// sameForAll allows the same for all requests.
type sameForAll struct{ *waiting.Allowance }

func (a sameForAll) asked(r *sizedRequest) {
	if !r.retry {
		a.Observe(r.objective(), r.read)
	}
}
func (sameForAll) ended(*sizedRequest, bool) {}
func (a sameForAll) longest(*sizedRequest) time.Duration {
	return a.Longest(sizedShare, loadPass, sizedMinWait)
}

// favourUnderserved is perRequest, with the longest wait of all for sizes that are served less often.
type favourUnderserved struct {
	sent, total    map[[2]int]float64
	longestAllowed time.Duration
}

func (*favourUnderserved) asked(*sizedRequest) {}

func (a *favourUnderserved) ended(r *sizedRequest, sent bool) {
	for _, key := range [][2]int{{r.kind, r.band()}, {-1, -1}} {
		const fade = 0.99
		a.total[key] = fade*a.total[key] + 1
		a.sent[key] *= fade
		if sent {
			a.sent[key]++
		}
	}
}

func (a *favourUnderserved) longest(r *sizedRequest) time.Duration {
	own := max(r.remaining(), sizedMinWait)
	a.longestAllowed = max(a.longestAllowed, own)
	share := func(key [2]int) float64 { return a.sent[key] / max(a.total[key], 1) }
	if share([2]int{r.kind, r.band()}) < share([2]int{-1, -1})-0.02 {
		return a.longestAllowed
	}
	return own
}

// sizedSimulation simulates the load.
type sizedSimulation struct {
	*loadSimulation
	allow  []waitPolicy
	queues []*waiting.Queue
	// waiters are the requests in the queues.
	waiters map[*waiting.Request]*sizedRequest
	// got is by kind and band.
	got map[[2]int]*loadResult
}

func newSizedSimulation(seed uint64, way func() waitPolicy) *sizedSimulation {
	p := &sizedSimulation{loadSimulation: newLoadSimulation(seed, sizedEntries, true), waiters: map[*waiting.Request]*sizedRequest{}, got: map[[2]int]*loadResult{}}
	for i, b := range p.entries {
		p.allow = append(p.allow, way())
		p.queues = append(p.queues, waiting.New())
		b.OnSlotFreed(func() { p.grantSlots(i) })
	}
	for kind := range sizedObjectives {
		for band := range sizedBounds {
			p.got[[2]int{kind, band}] = &loadResult{}
		}
	}
	return p
}

func (p *sizedSimulation) gotOf(r *sizedRequest) *loadResult { return p.got[[2]int{r.kind, r.band()}] }

// play simulates a load of this multiple of the capacity.
func (p *sizedSimulation) play(load float64) {
	rate := load * loadSlots * loadPerEntry / loadServiceTime.Seconds()
	for i := range p.entries {
		p.ask(i, rate)
	}
	p.run(sizedDuration)
}

func (p *sizedSimulation) ask(entry int, rate float64) {
	p.after(time.Duration(p.draw.ExpFloat64()/rate*float64(time.Second)), func() {
		r := &sizedRequest{asked: p.now, read: min(time.Duration(p.draw.ExpFloat64()*float64(loadRead)), sizedMaxRead)}
		if p.draw.IntN(3) == 0 {
			r.kind = 1
		}
		p.arrive(entry, r)
		p.ask(entry, rate)
	})
}

func (p *sizedSimulation) want(entry int, r *sizedRequest, waited time.Duration) Requirements {
	w := want()
	w.Read, w.Budget = r.read, max(p.allow[entry].longest(r)-waited, sizedMinWait)
	if !r.retry {
		w.Due = p.now.Add(r.objective())
	}
	return w
}

func (p *sizedSimulation) arrive(entry int, r *sizedRequest) {
	p.allow[entry].asked(r)
	w := p.want(entry, r, 0)
	pick := p.entries[entry].Pick
	if r.retry && p.queues[entry].HasFirstAttempts("") {
		pick = p.entries[entry].Evaluate
	}
	c, availability := pick(p.now, w)
	if c.Server != nil {
		p.dispatch(entry, &c, r)
		return
	}
	waits := &waiting.Request{ClientRetry: r.retry, Since: p.now, WaitDeadline: waiting.WaitDeadline(p.now, r.objective(), r.retry)}
	if availability.Soonest > w.Budget+waits.WaitDeadline.Sub(p.now) {
		p.refuse(entry, r)
		return
	}
	p.queues[entry].Add(waits)
	p.waiters[waits] = r
	p.after(waits.WaitDeadline.Sub(p.now), func() {
		if p.queues[entry].Remove(waits) {
			delete(p.waiters, waits)
			p.refuse(entry, r)
		}
	})
}

// grantSlots dispatches waiting requests in their order.
func (p *sizedSimulation) grantSlots(entry int) {
	misses := 0
	for _, waits := range p.queues[entry].Ordered(p.now) {
		r := p.waiters[waits]
		c, _ := p.entries[entry].Pick(p.now, p.want(entry, r, p.now.Sub(waits.Since)))
		if c.Server == nil {
			if misses++; misses >= sizedMisses {
				return
			}
			continue
		}
		p.queues[entry].Granted(waits)
		delete(p.waiters, waits)
		p.dispatch(entry, &c, r)
	}
}

func (p *sizedSimulation) refuse(entry int, r *sizedRequest) {
	p.allow[entry].ended(r, false)
	if r.retry {
		p.gotOf(r).refused++
		return
	}
	r.retry = true
	other := p.draw.IntN(len(p.entries))
	p.after(800*time.Millisecond+time.Duration(p.draw.IntN(1200))*time.Millisecond, func() { p.arrive(other, r) })
}

func (p *sizedSimulation) dispatch(entry int, c *Choice, r *sizedRequest) {
	p.allow[entry].ended(r, true)
	e := p.engines[c.Server.Addr]
	p.enqueue(e, r.read, func() {
		p.gotOf(r).note(p.now.Sub(r.asked) <= r.objective())
		p.write(e, p.entries[entry], c)
	})
}

// sum adds up the results of kinds and bands; -1 stands for all.
func (p *sizedSimulation) sum(kind, band int) loadResult {
	var sum loadResult
	for key, got := range p.got {
		if (kind < 0 || kind == key[0]) && (band < 0 || band == key[1]) {
			sum.add(*got)
		}
	}
	return sum
}

func (g loadResult) served() float64 { return g.share(g.inTime + g.late) }

func (p *sizedSimulation) log(t *testing.T, what string) {
	t.Logf("%s: all %v", what, p.sum(-1, -1))
	for kind, objective := range sizedObjectives {
		line := fmt.Sprintf("  objective %v: %v; by size", objective, p.sum(kind, -1))
		for band := range sizedBounds {
			line += fmt.Sprintf(" [%v]", p.sum(kind, band))
		}
		t.Log(line)
	}
}

// With perRequest the largest tenth of a kind is served less than half as often as the kind; with the
// same wait for all, every size and kind gets its share, the total does not drop, and nothing changes
// below capacity.
func TestEverySizeIsServedUnderOverload(t *testing.T) {
	ways := map[string]func() waitPolicy{
		"own":  func() waitPolicy { return perRequest{} },
		"same": func() waitPolicy { return sameForAll{waiting.NewAllowance(loadObjective, loadRead)} },
		"turn": func() waitPolicy { return &favourUnderserved{sent: map[[2]int]float64{}, total: map[[2]int]float64{}} },
	}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulations := map[string]*sizedSimulation{}
			for _, load := range []float64{1.3, faultLoad, 0.7} {
				for _, name := range []string{"own", "same", "turn"} {
					p := newSizedSimulation(seed, ways[name])
					p.play(load)
					p.log(t, fmt.Sprintf("load %.1f, %s", load, name))
					simulations[name] = p
				}
				same, own := simulations["same"].sum(-1, -1), simulations["own"].sum(-1, -1)
				assert.Greater(t, same.share(same.inTime), own.share(own.inTime)-0.05, "no fewer are in time")
				if load < 1 {
					assert.Less(t, same.share(same.refused), 0.005)
					continue
				}
				for kind := range sizedObjectives {
					of := simulations["same"].sum(kind, -1)
					assert.Greater(t, of.served(), minKindShare*same.served(), "kind %d", kind)
					for band := range sizedBounds {
						assert.Greater(t, simulations["same"].sum(kind, band).served(), minSizeShare*of.served(), "kind %d, band %d", kind, band)
					}
				}
				if load >= faultLoad {
					assert.Less(t, simulations["own"].sum(0, 3).served(), minSizeShare*simulations["own"].sum(0, -1).served(), "the fault")
				}
			}
		})
	}
}
