package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/waiting"
)

// The load of load_test.go, with prompts of all sizes, two kinds of requests with objectives of
// their own, and requests that wait for room as at an entry. It compares how long a wait
// requests may be predicted to have: what their own prompt leaves of their own objective; the
// same for all; and what their own leaves, but the longest that anybody is allowed for sizes
// that are served less often than others.

const (
	sizedShare     = 0.6
	sizedLeast     = 20 * time.Millisecond
	sizedMostRead  = 4 * loadRead
	sizedEntries   = 13
	sizedMisses    = 3
	sizedPlayedFor = 20 * time.Second
	// leastOfSize is how often, against its kind, each band of sizes is served at least,
	// leastOfKind how often each kind against all: the users' aims.
	leastOfSize = 0.5
	leastOfKind = 0.25
	// faultShows is the load from which on the aim is missed with what is left by each one's own.
	faultShows = 1.8
)

// sizedObjectives are those of the two kinds; one caller in three asks for the second.
var sizedObjectives = []time.Duration{loadObjective, 300 * time.Millisecond}

type sizedRequest struct {
	kind  int
	read  time.Duration
	asked time.Time
	back  bool
}

func (r *sizedRequest) objective() time.Duration { return sizedObjectives[r.kind] }

// left is what the request's own prompt leaves of its own objective.
func (r *sizedRequest) left() time.Duration {
	return time.Duration(sizedShare*float64(r.objective())) - r.read - loadPass
}

// sizedBounds are upper bounds of bands of sizes, by the time to read a prompt whose distribution
// is exponential: half of them, the next fifth, the next, and the largest tenth.
var sizedBounds = []time.Duration{22 * time.Millisecond, 39 * time.Millisecond, 74 * time.Millisecond, time.Hour}

func (r *sizedRequest) band() int {
	return slices.IndexFunc(sizedBounds, func(below time.Duration) bool { return r.read < below })
}

// allowing decides the longest predicted wait of requests at one entry.
type allowing interface {
	// asked notes a request when it comes, ended whether it was sent.
	asked(r *sizedRequest)
	ended(r *sizedRequest, sent bool)
	longest(r *sizedRequest) time.Duration
}

// ownLeft allows each what its own prompt and objective leave.
type ownLeft struct{}

func (ownLeft) asked(*sizedRequest)                   {}
func (ownLeft) ended(*sizedRequest, bool)             {}
func (ownLeft) longest(r *sizedRequest) time.Duration { return max(r.left(), sizedLeast) }

// sameForAll allows all the same.
type sameForAll struct{ *waiting.Allowance }

func (a sameForAll) asked(r *sizedRequest) {
	if !r.back {
		a.Asked(r.objective(), r.read)
	}
}
func (sameForAll) ended(*sizedRequest, bool) {}
func (a sameForAll) longest(*sizedRequest) time.Duration {
	return a.Longest(sizedShare, loadPass, sizedLeast)
}

// inTurn allows each what its own leaves, and sizes that are behind the longest of all.
type inTurn struct {
	sent, ends map[[2]int]float64
	most       time.Duration
}

func (*inTurn) asked(*sizedRequest) {}

func (a *inTurn) ended(r *sizedRequest, sent bool) {
	for _, key := range [][2]int{{r.kind, r.band()}, {-1, -1}} {
		const fade = 0.99
		a.ends[key] = fade*a.ends[key] + 1
		a.sent[key] *= fade
		if sent {
			a.sent[key]++
		}
	}
}

func (a *inTurn) longest(r *sizedRequest) time.Duration {
	own := max(r.left(), sizedLeast)
	a.most = max(a.most, own)
	share := func(key [2]int) float64 { return a.sent[key] / max(a.ends[key], 1) }
	if share([2]int{r.kind, r.band()}) < share([2]int{-1, -1})-0.02 {
		return a.most
	}
	return own
}

// sizedPlay plays the load in simulated time.
type sizedPlay struct {
	*loadPlay
	allow  []allowing
	queues []*waiting.Queue
	// waiters are the requests in the queues.
	waiters map[*waiting.Request]*sizedRequest
	// got is by kind and band.
	got map[[2]int]*loadGot
}

func newSizedPlay(seed uint64, way func() allowing) *sizedPlay {
	p := &sizedPlay{loadPlay: newLoadPlay(seed, sizedEntries, true), waiters: map[*waiting.Request]*sizedRequest{}, got: map[[2]int]*loadGot{}}
	for i, b := range p.entries {
		p.allow = append(p.allow, way())
		p.queues = append(p.queues, waiting.New())
		b.OnRoom(func() { p.offerRoom(i) })
	}
	for kind := range sizedObjectives {
		for band := range sizedBounds {
			p.got[[2]int{kind, band}] = &loadGot{}
		}
	}
	return p
}

func (p *sizedPlay) gotOf(r *sizedRequest) *loadGot { return p.got[[2]int{r.kind, r.band()}] }

// play offers this part of what the engines bear.
func (p *sizedPlay) play(load float64) {
	rate := load * loadSlots * loadPerEntry / loadTakes.Seconds()
	for i := range p.entries {
		p.ask(i, rate)
	}
	p.run(sizedPlayedFor)
}

func (p *sizedPlay) ask(entry int, rate float64) {
	p.after(time.Duration(p.draw.ExpFloat64()/rate*float64(time.Second)), func() {
		r := &sizedRequest{asked: p.now, read: min(time.Duration(p.draw.ExpFloat64()*float64(loadRead)), sizedMostRead)}
		if p.draw.IntN(3) == 0 {
			r.kind = 1
		}
		p.arrive(entry, r)
		p.ask(entry, rate)
	})
}

func (p *sizedPlay) want(entry int, r *sizedRequest, waited time.Duration) Want {
	w := want()
	w.Read, w.Budget = r.read, max(p.allow[entry].longest(r)-waited, sizedLeast)
	if !r.back {
		w.Due = p.now.Add(r.objective())
	}
	return w
}

func (p *sizedPlay) arrive(entry int, r *sizedRequest) {
	p.allow[entry].asked(r)
	w := p.want(entry, r, 0)
	pick := p.entries[entry].Pick
	if r.back && p.queues[entry].FirstAttempts() {
		pick = p.entries[entry].Look
	}
	c, room := pick(p.now, w)
	if c.Server != nil {
		p.send(entry, &c, r)
		return
	}
	waits := &waiting.Request{CameBack: r.back, Since: p.now, By: waiting.Until(p.now, r.objective(), r.back)}
	if room.Soonest > w.Budget+waits.By.Sub(p.now) {
		p.refuse(entry, r)
		return
	}
	p.queues[entry].Add(waits)
	p.waiters[waits] = r
	p.after(waits.By.Sub(p.now), func() {
		if p.queues[entry].Remove(waits) {
			delete(p.waiters, waits)
			p.refuse(entry, r)
		}
	})
}

// offerRoom gives room to requests that wait, in their order.
func (p *sizedPlay) offerRoom(entry int) {
	misses := 0
	for _, waits := range p.queues[entry].InOrder(p.now) {
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
		p.send(entry, &c, r)
	}
}

func (p *sizedPlay) refuse(entry int, r *sizedRequest) {
	p.allow[entry].ended(r, false)
	if r.back {
		p.gotOf(r).refused++
		return
	}
	r.back = true
	other := p.draw.IntN(len(p.entries))
	p.after(800*time.Millisecond+time.Duration(p.draw.IntN(1200))*time.Millisecond, func() { p.arrive(other, r) })
}

func (p *sizedPlay) send(entry int, c *Choice, r *sizedRequest) {
	p.allow[entry].ended(r, true)
	e := p.engines[c.Server.Addr]
	p.take(e, r.read, func() {
		p.gotOf(r).note(p.now.Sub(r.asked) <= r.objective())
		p.write(e, p.entries[entry], c)
	})
}

// sum adds up what kinds and bands got; -1 stands for all.
func (p *sizedPlay) sum(kind, band int) loadGot {
	var sum loadGot
	for key, got := range p.got {
		if (kind < 0 || kind == key[0]) && (band < 0 || band == key[1]) {
			sum.add(*got)
		}
	}
	return sum
}

func (g loadGot) served() float64 { return g.share(g.inTime + g.late) }

func (p *sizedPlay) log(t *testing.T, what string) {
	t.Logf("%s: all %v", what, p.sum(-1, -1))
	for kind, objective := range sizedObjectives {
		line := fmt.Sprintf("  objective %v: %v; by size", objective, p.sum(kind, -1))
		for band := range sizedBounds {
			line += fmt.Sprintf(" [%v]", p.sum(kind, band))
		}
		t.Log(line)
	}
}

// TestEachSizeIsServedUnderLastingOverload: with what their own prompt leaves them, the largest tenth of
// a kind is served less than half as often as the kind; with the same wait for all every size and
// kind gets its part, nobody loses by it as a whole, and where there is room nothing changes.
func TestEachSizeIsServedUnderLastingOverload(t *testing.T) {
	ways := map[string]func() allowing{
		"own":  func() allowing { return ownLeft{} },
		"same": func() allowing { return sameForAll{waiting.NewAllowance(loadObjective, loadRead)} },
		"turn": func() allowing { return &inTurn{sent: map[[2]int]float64{}, ends: map[[2]int]float64{}} },
	}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			plays := map[string]*sizedPlay{}
			for _, load := range []float64{1.3, faultShows, 0.7} {
				for _, name := range []string{"own", "same", "turn"} {
					p := newSizedPlay(seed, ways[name])
					p.play(load)
					p.log(t, fmt.Sprintf("load %.1f, %s", load, name))
					plays[name] = p
				}
				same, own := plays["same"].sum(-1, -1), plays["own"].sum(-1, -1)
				assert.Greater(t, same.share(same.inTime), own.share(own.inTime)-0.05, "as many are in time")
				if load < 1 {
					assert.Less(t, same.share(same.refused), 0.005)
					continue
				}
				for kind := range sizedObjectives {
					of := plays["same"].sum(kind, -1)
					assert.Greater(t, of.served(), leastOfKind*same.served(), "kind %d", kind)
					for band := range sizedBounds {
						assert.Greater(t, plays["same"].sum(kind, band).served(), leastOfSize*of.served(), "kind %d, band %d", kind, band)
					}
				}
				if load >= faultShows {
					assert.Less(t, plays["own"].sum(0, 3).served(), leastOfSize*plays["own"].sum(0, -1).served(), "the fault")
				}
			}
		})
	}
}
