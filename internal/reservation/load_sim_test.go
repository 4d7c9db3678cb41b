package reservation

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// The simulated load: entries, every second one with twice the callers of the others, dispatch
// requests to engines of twelve slots. Demand and choices are drawn from separate generators, so that
// runs with one seed have the same callers.
const (
	loadObjective = 400 * ms
	loadTimeout   = 6 * time.Second
	loadDelay     = 1 * ms // one way, between any two parts
	// An entry asks loadStrictAsks engines for a slot with a part of the accepted wait, and then those that refused
	// for what they have, loadMostAsks in all.
	loadStrictAsks, loadMostAsks = 3, 5
	loadStrictShare              = 0.4
	// loadSample is the number of engines among which an entry chooses the next one to ask, unless the plan says
	// otherwise. With more, entries that see the same reports ask the same engines.
	loadSample    = 2
	loadReport    = 150 * ms
	loadReportLag = 200 * ms
	// loadStepRead is how many prompt tokens an engine reads in a step at most.
	loadStepRead = 2048
	// Callers that arrive between loadFrom and loadTo are counted: queues that grow without reservations have
	// their length by then. Arrivals go on until loadEnd, so that client retries of the last of them meet the same load.
	loadFrom, loadTo, loadEnd = 4 * time.Second, 12 * time.Second, 14 * time.Second
	// The medians give the capped log-normal sizes means of 983 and 94 tokens.
	loadPromptMedian, loadPromptSigma, loadPromptCap = 647.8, 1.0, 4 * 983
	loadAnswerMedian, loadAnswerSigma, loadAnswerCap = 73.76, 0.8, 255
	// loadHintSigma is the error of the caller's estimate of the answer's length, which 9 in 10 answers do not exceed by
	// more than the factor loadHintHigh.
	loadHintSigma = 0.5
	loadHintHigh  = 1.9
	// Priorities in an engine's queue, as in package urgency.
	loadUnranked, loadRetryPriority = 5, 8
)

func loadModel() *fleet.Engine {
	return &fleet.Engine{
		Slots: 12, Step: 9270 * time.Microsecond, PerSequence: 23200 * time.Nanosecond, ReadPerSecond: 20700,
		Stride: 5, UsualPrompt: 983, UsualAnswer: 94, Layers: 16,
	}
}

// loadWay is how entries find an engine for a request.
type loadWay string

const (
	byReports loadWay = "reports only"
	inTurn    loadWay = "in turn"
	twoAtOnce loadWay = "two at once"
)

// loadRank is a group of callers with the weight and engine priority of their rank.
type loadRank struct{ demand, weight, priority float64 }

// loadPlan describes a run.
type loadPlan struct {
	seed             uint64
	way              loadWay
	entries, engines int
	load             float64
	sample           int
	ranks            []loadRank
	// zones, if not 0, divides entries and engines; entries prefer engines of their zone to others by one
	// request. Without zones, each prefers its own.
	zones int
	// factor changes an entry's demand over time.
	factor func(entry int, now time.Duration) float64
	// slow returns whether an engine is slow at all times; at others it is for pauses of slowFor,
	// this share of the time.
	slow      func(engine int) bool
	slowShare float64
}

const (
	loadSlowPace = 2.5
	// loadPaceCost is the number of requests that twice the usual pace weighs for an entry: a first event there comes
	// a pass and a prompt later, the time in which a usual engine serves one.
	loadPaceCost = 2
	loadSlowFor  = 600 * ms
)

// loadCaller is a caller with what became of its request.
type loadCaller struct {
	at          time.Duration
	entry, rank int
	prompt      int
	answer      int
	hint        int           // the length that the answer will hardly exceed
	comesBack   time.Duration // after a refusal
	// first is the time from the first attempt to the first event, 0 if there was none.
	first    time.Duration
	refused  bool // twice
	cut      bool
	asks     []int           // of each attempt
	refusals []time.Duration // how long each refusal took
}

// loadAttempt is one attempt of a caller, and its state at an engine.
type loadAttempt struct {
	id       string
	caller   *loadCaller
	at       time.Duration
	retry    bool
	priority int
	asks     int
	engine   *loadEngine
	unread   int
	events   int // still to be written
	decoding bool
}

// loadKnown is a load of an engine and its pace, as of a moment.
type loadKnown struct {
	at   time.Duration
	n    int
	pace float64
}

type loadEntry struct {
	number int
	// learned by engine from refusals, sent by engine since the last report.
	learned []loadKnown
	sent    [][]time.Duration
	sample  []*loadEngine
}

// loadEngine is a simulated engine with its agent's ledger.
type loadEngine struct {
	p         *loadSim
	number    int
	pace      float64
	ledger    *Ledger
	running   []*loadAttempt
	waiting   []*loadAttempt
	passing   bool
	published loadKnown
}

type loadEvent struct {
	at    time.Duration
	order int
	do    func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int { return len(e) }
func (e loadEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e loadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type loadSim struct {
	plan           loadPlan
	model          *fleet.Engine
	demand, choice *rand.Rand
	now            time.Duration
	scheduled      int
	events         loadEvents
	engines        []*loadEngine
	entries        []*loadEntry
	callers        loadCallers
}

func (p *loadSim) after(d time.Duration, do func()) {
	p.scheduled++
	heap.Push(&p.events, loadEvent{p.now + d, p.scheduled, do})
}

// play simulates a run, and returns the callers that count.
func play(plan loadPlan) loadCallers {
	p := &loadSim{
		plan: plan, model: loadModel(),
		demand: rand.New(rand.NewPCG(plan.seed, 1)), choice: rand.New(rand.NewPCG(plan.seed, 2)),
	}
	if plan.sample == 0 {
		p.plan.sample = loadSample
	}
	if len(plan.ranks) == 0 {
		p.plan.ranks = []loadRank{{1, 1, loadUnranked}}
	}
	capacity := 0.0
	for i := range plan.engines {
		e := &loadEngine{p: p, number: i, pace: 1, ledger: New(p.model), published: loadKnown{pace: 1}}
		if plan.slow != nil && plan.slow(i) {
			e.pace = loadSlowPace
		}
		capacity += (1 - plan.slowShare + plan.slowShare/loadSlowPace) / e.pace / p.model.RequestTime().Seconds()
		p.engines = append(p.engines, e)
		p.after(time.Duration(p.choice.Float64()*float64(loadReport)), e.report)
		if plan.slowShare > 0 {
			p.after(e.usualFor(), e.slowDown)
		}
	}
	weights := 0.0
	for i := range plan.entries {
		weights += 1 + float64(i%2)
		p.entries = append(p.entries, &loadEntry{
			number: i, learned: make([]loadKnown, plan.engines), sent: make([][]time.Duration, plan.engines), sample: slices.Clone(p.engines),
		})
	}
	for i, en := range p.entries {
		p.offer(en, capacity*plan.load*(1+float64(i%2))/weights)
	}
	for len(p.events) > 0 && p.now < loadEnd+2*loadTimeout {
		e := heap.Pop(&p.events).(loadEvent)
		p.now = e.at
		e.do()
	}
	return p.callers.only(func(c *loadCaller) bool { return c.at >= loadFrom && c.at < loadTo })
}

// offer makes callers arrive at an entry at this rate per second.
func (p *loadSim) offer(en *loadEntry, rate float64) {
	now := rate
	if p.plan.factor != nil {
		now *= p.plan.factor(en.number, p.now)
	}
	p.after(time.Duration(p.demand.ExpFloat64()/now*float64(time.Second)), func() {
		if p.now < loadEnd {
			p.arrive(en)
			p.offer(en, rate)
		}
	})
}

func (p *loadSim) size(median, sigma, most float64) int {
	return int(math.Ceil(min(median*math.Exp(sigma*p.demand.NormFloat64()), most)))
}

func (p *loadSim) arrive(en *loadEntry) {
	c := &loadCaller{
		at: p.now, entry: en.number, prompt: p.size(loadPromptMedian, loadPromptSigma, loadPromptCap),
		answer:    p.size(loadAnswerMedian, loadAnswerSigma, loadAnswerCap),
		comesBack: 800*ms + time.Duration(p.demand.Int64N(int64(1200*ms))),
	}
	c.hint = min(int(loadHintHigh*float64(p.size(float64(c.answer), loadHintSigma, math.Inf(1)))), loadAnswerCap)
	sum := 0.0
	for _, r := range p.plan.ranks {
		sum += r.demand
	}
	for u := p.demand.Float64()*sum - p.plan.ranks[0].demand; u >= 0; u -= p.plan.ranks[c.rank].demand {
		c.rank++
	}
	p.callers = append(p.callers, c)
	p.attempt(en, c, false)
}

func (p *loadSim) attempt(en *loadEntry, c *loadCaller, retry bool) {
	a := &loadAttempt{
		id: fmt.Sprint(p.plan.seed, "-", c.at, "-", c.entry, "-", retry), caller: c, at: p.now, retry: retry,
		priority: int(p.plan.ranks[c.rank].priority), unread: c.prompt, events: (c.answer + p.model.Stride - 1) / p.model.Stride,
	}
	if retry && len(p.plan.ranks) > 1 {
		a.priority = loadRetryPriority
	}
	if p.plan.way != byReports {
		p.askNext(en, a, &loadAsked{})
		return
	}
	e := p.best(en, nil)
	wait := time.Duration(max(p.known(en, e)-p.model.Slots+1, 0)) * p.model.RequestTime()
	if wait > p.budget() {
		p.refuse(en, a)
		return
	}
	p.send(en, a, e)
}

func (p *loadSim) budget() time.Duration {
	return 6*loadObjective/10 - p.model.PrefillTime(p.model.UsualPrompt) - p.model.PassTime()
}

// known returns how many requests an engine has as far as an entry knows.
func (p *loadSim) known(en *loadEntry, e *loadEngine) int {
	k := e.published
	if l := en.learned[e.number]; l.at > k.at {
		k = l
	}
	en.sent[e.number] = slices.DeleteFunc(en.sent[e.number], func(at time.Duration) bool { return at <= k.at })
	return k.n + len(en.sent[e.number])
}

// best returns the engine to which an entry would send a request, nil if all have been asked.
func (p *loadSim) best(en *loadEntry, asked []*loadEngine) *loadEngine {
	var best *loadEngine
	least, drawn := 0, 0
	for i := range en.sample {
		j := i + p.choice.IntN(len(en.sample)-i)
		en.sample[i], en.sample[j] = en.sample[j], en.sample[i]
		e := en.sample[i]
		if slices.Contains(asked, e) {
			continue
		}
		score := p.known(en, e)
		if p.plan.way != byReports { // the pace is reported, too
			score += int(loadPaceCost * (e.published.pace - 1))
		}
		if p.near(en, e) {
			score--
		}
		if best == nil || score < least {
			best, least = e, score
		}
		if drawn++; drawn == p.plan.sample {
			break
		}
	}
	return best
}

func (p *loadSim) near(en *loadEntry, e *loadEngine) bool {
	if p.plan.zones > 0 {
		return e.number%p.plan.zones == en.number%p.plan.zones
	}
	return e.number%len(p.entries) == en.number
}

// loadAnswer is the answer of an engine's agent.
type loadAnswer struct {
	engine *loadEngine
	Decision
}

// loadAsked are the engines that were asked for a slot, and those that refused as full or slow.
type loadAsked struct {
	engines    []*loadEngine
	full, slow []loadAnswer
}

// again returns the engine to be asked once more, and whether for a slot at any rate: the one with the least wait, or
// else the one with the earliest first event.
func (l *loadAsked) again() (e *loadEngine, anyway bool) {
	byTime := func(a, b loadAnswer) int { return cmp.Compare(a.Wait+a.FirstEvent, b.Wait+b.FirstEvent) }
	for _, refused := range []*[]loadAnswer{&l.full, &l.slow} {
		if len(*refused) > 0 {
			slices.SortFunc(*refused, byTime)
			e, *refused = (*refused)[0].engine, (*refused)[1:]
			return e, refused == &l.slow
		}
	}
	return nil, false
}

// askNext asks for a slot with little wait at the next engine, or at the next two at once; then those
// that refused once more.
func (p *loadSim) askNext(en *loadEntry, a *loadAttempt, asked *loadAsked) {
	atOnce := 1
	if p.plan.way == twoAtOnce {
		atOnce = 2
	}
	var open []*loadEngine
	for len(open) < atOnce && len(asked.engines) < loadStrictAsks {
		e := p.best(en, asked.engines)
		if e == nil {
			break
		}
		open, asked.engines = append(open, e), append(asked.engines, e)
	}
	if len(open) == 0 {
		p.askAgain(en, a, asked)
		return
	}
	missing := len(open)
	var granted *loadAnswer
	for _, e := range open {
		p.ask(en, a, e, loadStrictShare, false, func(got loadAnswer) {
			switch {
			case got.Granted && granted == nil:
				granted = &got
			case got.Granted:
				other := &got
				if other.FirstEvent < granted.FirstEvent {
					granted, other = other, granted
				}
				p.release(a, other.engine)
			case got.Reason == ReasonFull:
				asked.full = append(asked.full, got)
			case got.Reason == ReasonSlow:
				asked.slow = append(asked.slow, got)
			}
			if missing--; missing > 0 {
				return
			}
			if granted != nil {
				p.send(en, a, granted.engine)
				return
			}
			p.askNext(en, a, asked)
		})
	}
}

// askAgain asks the engines that refused once more, until one grants a slot.
func (p *loadSim) askAgain(en *loadEntry, a *loadAttempt, asked *loadAsked) {
	e, anyway := asked.again()
	if e == nil || a.asks >= loadMostAsks {
		p.refuse(en, a)
		return
	}
	p.ask(en, a, e, 1, anyway, func(got loadAnswer) {
		if got.Granted {
			p.send(en, a, got.engine)
			return
		}
		p.askAgain(en, a, asked)
	})
}

// ask asks an engine's agent for a slot.
func (p *loadSim) ask(en *loadEntry, a *loadAttempt, e *loadEngine, share float64, anyway bool, done func(loadAnswer)) {
	a.asks++
	r := Request{
		ID: a.id, Rank: a.caller.rank, Weight: p.plan.ranks[a.caller.rank].weight, Retry: a.retry, Prompt: a.caller.prompt, Answer: a.caller.hint,
		Budget: time.Duration(share * float64(p.budget())), AcceptLate: anyway, Gap: loadObjective, Left: a.at + loadTimeout - p.now,
	}
	if !a.retry {
		r.Due = a.at + loadObjective - p.now
	}
	p.after(loadDelay, func() {
		at := start.Add(p.now)
		e.ledger.Observe(at, Report{Running: len(e.running), Waiting: len(e.waiting), Pace: e.pace, Version: 1})
		d := e.ledger.Ask(at, r)
		known := loadKnown{p.now, d.Load.Running + d.Load.Waiting + d.Load.Reserved, e.pace}
		p.after(loadDelay, func() {
			if !d.Granted {
				en.learned[e.number] = known
			}
			done(loadAnswer{e, d})
		})
	})
}

func (p *loadSim) release(a *loadAttempt, e *loadEngine) {
	p.after(loadDelay, func() { e.ledger.Release(start.Add(p.now), a.id) })
}

func (p *loadSim) refuse(en *loadEntry, a *loadAttempt) {
	c := a.caller
	c.asks, c.refusals = append(c.asks, a.asks), append(c.refusals, p.now-a.at)
	if a.retry {
		c.refused = true
		return
	}
	p.after(c.comesBack, func() { p.attempt(en, c, true) })
}

func (p *loadSim) send(en *loadEntry, a *loadAttempt, e *loadEngine) {
	a.engine, a.caller.asks = e, append(a.caller.asks, a.asks)
	en.sent[e.number] = append(en.sent[e.number], p.now+loadDelay)
	p.after(loadDelay, func() { e.receive(a) })
}

// report publishes an engine's load.
func (e *loadEngine) report() {
	known := loadKnown{e.p.now, len(e.running) + len(e.waiting), e.pace}
	e.p.after(loadReportLag, func() { e.published = known })
	if e.p.now < loadEnd+loadTimeout {
		e.p.after(loadReport, e.report)
	}
}

// usualFor draws how long an engine has its usual pace.
func (e *loadEngine) usualFor() time.Duration {
	mean := float64(loadSlowFor) * (1 - e.p.plan.slowShare) / e.p.plan.slowShare
	return time.Duration(mean * e.p.choice.ExpFloat64())
}

func (e *loadEngine) slowDown() {
	e.pace = loadSlowPace
	e.p.after(loadSlowFor, func() {
		e.pace = 1
		e.p.after(e.usualFor(), e.slowDown)
	})
}

func (e *loadEngine) receive(a *loadAttempt) {
	if len(e.running) < e.p.model.Slots {
		e.running = append(e.running, a)
	} else {
		i, _ := slices.BinarySearchFunc(e.waiting, a.priority+1, func(w *loadAttempt, priority int) int { return w.priority - priority })
		e.waiting = slices.Insert(e.waiting, i, a)
	}
	if !e.passing {
		e.pass()
	}
}

// pass simulates one pass of the requests in slots. It reads the prompts that are unread when it begins.
func (e *loadEngine) pass() {
	e.passing = len(e.running) > 0
	if !e.passing {
		return
	}
	read := 0
	for _, a := range e.running {
		n := min(a.unread, loadStepRead*e.p.model.Stride-read)
		a.unread -= n
		read += n
		a.decoding = a.unread == 0
	}
	d := time.Duration(e.p.model.Stride)*(e.p.model.Step+time.Duration(len(e.running))*e.p.model.PerSequence) + e.p.model.PrefillTime(read)
	e.p.after(time.Duration(float64(d)*e.pace), func() {
		e.running = slices.DeleteFunc(e.running, e.write)
		for len(e.running) < e.p.model.Slots && len(e.waiting) > 0 {
			e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
		}
		e.pass()
	})
}

// write writes an event of a request, and reports whether its stream has ended.
func (e *loadEngine) write(a *loadAttempt) bool {
	received := e.p.now + loadDelay
	if received > a.at+loadTimeout {
		a.caller.cut = true
	} else if !a.decoding {
		return false
	} else if a.caller.first == 0 {
		a.caller.first = received - a.caller.at
	}
	a.events--
	if a.events > 0 && !a.caller.cut {
		return false
	}
	e.p.after(loadDelay, func() { e.p.release(a, e) })
	return true
}

// loadCallers is a group of callers.
type loadCallers []*loadCaller

func (g loadCallers) only(keep func(*loadCaller) bool) loadCallers {
	return slices.DeleteFunc(slices.Clone(g), func(c *loadCaller) bool { return !keep(c) })
}

func (g loadCallers) ofRank(rank int) loadCallers {
	return g.only(func(c *loadCaller) bool { return c.rank == rank })
}

func (g loadCallers) between(from, to time.Duration) loadCallers {
	return g.only(func(c *loadCaller) bool { return c.at >= from && c.at < to })
}

func (g loadCallers) share(of func(*loadCaller) bool) float64 {
	return float64(len(g.only(of))) / float64(max(len(g), 1))
}

func (c *loadCaller) inTime() bool { return c.first > 0 && c.first <= loadObjective }
func (c *loadCaller) late() bool   { return !c.refused && !c.inTime() }
func (c *loadCaller) served() bool { return !c.refused && !c.cut }

func (g loadCallers) inTime() float64  { return g.share((*loadCaller).inTime) }
func (g loadCallers) late() float64    { return g.share((*loadCaller).late) }
func (g loadCallers) served() float64  { return g.share((*loadCaller).served) }
func (g loadCallers) refused() float64 { return g.share(func(c *loadCaller) bool { return c.refused }) }
func (g loadCallers) cut() float64     { return g.share(func(c *loadCaller) bool { return c.cut }) }

// meanFirst returns the mean time to the first event of the callers that were served.
func (g loadCallers) meanFirst() time.Duration {
	served := g.only(func(c *loadCaller) bool { return c.first > 0 })
	sum := time.Duration(0)
	for _, c := range served {
		sum += c.first
	}
	return sum / time.Duration(max(len(served), 1))
}

// asks returns the mean and the highest number of asks of an attempt.
func (g loadCallers) asks() (mean float64, most int) {
	n := 0
	for _, c := range g {
		for _, a := range c.asks {
			n++
			mean += float64(a)
			most = max(most, a)
		}
	}
	return mean / float64(max(n, 1)), most
}

// quickRefusals returns the share of refusals within 20 ms.
func (g loadCallers) quickRefusals() float64 {
	n, quick := 0, 0
	for _, c := range g {
		for _, took := range c.refusals {
			n++
			if took <= 20*ms {
				quick++
			}
		}
	}
	if n == 0 {
		return 1
	}
	return float64(quick) / float64(n)
}

func (g loadCallers) String() string {
	mean, most := g.asks()
	first := g.share(func(c *loadCaller) bool { return len(c.asks) > 1 })
	return fmt.Sprintf("%5d callers: in time %.3f, late %.3f (of them after a refusal %.3f), refused %.3f, cut %.4f, quick refusals %.3f, asks %.2f (at most %d), mean first %v",
		len(g), g.inTime(), g.late(), first-g.refused(), g.refused(), g.cut(), g.quickRefusals(), mean, most, g.meanFirst().Round(ms))
}
