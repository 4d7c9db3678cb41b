package sim

import (
	"math"
	"slices"
	"sort"
	"time"

	"lynxgate.dev/lynxgate/internal/routing"
)

// retryFull is when a request that found everything full is tried again.
const retryFull = 20 * time.Millisecond

// cacheEventDelay is how late cache events are, and cacheEventLoss the share
// of them that never comes.
const (
	cacheEventDelay = time.Second
	cacheEventLoss  = 0.2
)

func (w *world) dispatch(r *request) {
	req := routing.Request{Service: service, Model: model, Prefix: r.prefix}
	choice, reason := w.tables[r.entry].Pick(w.clock(), req, w.rng)
	if reason != routing.Picked {
		w.refused++
		w.schedule(retryFull, func() { w.dispatch(r) })
		return
	}
	r.server = slices.IndexFunc(w.engines, func(e *engine) bool { return e.vm == choice.VM })
	w.tables[r.entry].Step(w.clock(), routing.Dispatched{VM: choice.VM, ID: r.id})
	e := w.engines[r.server]
	e.served++
	e.queue = append(e.queue, r)
	w.startNext(e)
}

// startNext runs what is queued while slots are free.
func (w *world) startNext(e *engine) {
	for e.running < w.cfg.Slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		w.start(e, r)
	}
}

func (w *world) start(e *engine, r *request) {
	if e.failing {
		w.schedule(failTime, func() { w.fail(e, r) })
		return
	}
	prefill := prefillTime
	if e.lookUp(r.prefix) {
		prefill = cachedTime
		if r.measure {
			w.hits++
		}
	}
	w.remember(e, r.prefix)
	prefill = w.vary(e, prefill)
	decode := w.vary(e, decodeTime)
	w.schedule(prefill, func() {
		r.first = w.now - r.arrived
		w.tables[r.entry].Step(w.clock(), routing.FirstToken{VM: e.vm, ID: r.id, Elapsed: r.first})
	})
	w.schedule(prefill+decode, func() { w.finish(e, r) })
}

// vary draws a time around the mean: half of it is fixed.
func (w *world) vary(e *engine, mean time.Duration) time.Duration {
	factor := 0.5 - 0.5*math.Log(1-w.rng.Float64())
	return time.Duration(float64(mean) * factor * e.speed)
}

func (w *world) finish(e *engine, r *request) {
	e.running--
	w.tables[r.entry].Step(w.clock(), routing.Finished{
		VM: e.vm, ID: r.id, FirstToken: r.first, Total: w.now - r.arrived,
	})
	if r.measure {
		w.counted++
		w.firsts = append(w.firsts, r.first)
	}
	w.startNext(e)
}

func (w *world) fail(e *engine, r *request) {
	e.running--
	w.tables[r.entry].Step(w.clock(), routing.Finished{
		VM: e.vm, ID: r.id, Outcome: routing.Failed, Total: w.now - r.arrived,
	})
	if r.measure {
		w.counted++
		w.failed++
	}
	w.startNext(e)
}

func (e *engine) lookUp(prefix uint64) bool {
	return prefix != 0 && slices.Contains(e.cache, prefix)
}

// remember puts a prefix last in the cache; the least recently used one goes.
func (w *world) remember(e *engine, prefix uint64) {
	if prefix == 0 {
		return
	}
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	} else {
		w.publish(e, routing.CacheEvent{PrefixHash: prefix})
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > w.cfg.CachedPrefixes {
		w.publish(e, routing.CacheEvent{PrefixHash: e.cache[0], Evicted: true})
		e.cache = slices.Delete(e.cache, 0, 1)
	}
}

func (w *world) publish(e *engine, event routing.CacheEvent) {
	if w.rng.Float64() < cacheEventLoss {
		return
	}
	w.schedule(cacheEventDelay, func() { e.events = append(e.events, event) })
}

// heartbeat sends an agent's state to all entries, again and again.
func (w *world) heartbeat(i int) {
	e := w.engines[i]
	w.stateNo++
	st := routing.AgentState{
		VM:           e.vm,
		Incarnation:  1,
		Seq:          w.stateNo,
		Live:         []routing.Version{{Model: model, Version: version}},
		InFlight:     e.running + len(e.queue),
		ReportedLoad: e.load,
		Concurrency:  w.cfg.Slots,
		CacheEvents:  e.events,
	}
	if i < w.cfg.LyingServers {
		st.InFlight, st.ReportedLoad = 0, 0
	}
	e.events = nil
	for _, t := range w.tables {
		t.Step(w.clock(), st)
	}
	load := float64(e.running+len(e.queue)) / float64(w.cfg.Slots)
	w.schedule(w.cfg.LoadLag, func() { e.load = load })
	w.schedule(w.cfg.Heartbeat, func() { w.heartbeat(i) })
}

func (w *world) tick() {
	for _, t := range w.tables {
		w.noteActions(t.Step(w.clock(), routing.Tick{}))
	}
	w.schedule(time.Second, w.tick)
}

func (w *world) noteActions(actions []routing.Action) {
	for _, a := range actions {
		aside, ok := a.(routing.SetAside)
		if ok && !w.ill[aside.VM] {
			w.asides++
		}
	}
}

// breakSome makes the last backend servers slower, or failing.
func (w *world) breakSome() {
	for i := range w.cfg.SlowServers {
		e := w.engines[len(w.engines)-1-i]
		e.speed *= w.cfg.SlowFactor
		w.ill[e.vm] = true
	}
	for i := range w.cfg.FailingServers {
		e := w.engines[len(w.engines)-1-i]
		e.failing = true
		w.ill[e.vm] = true
	}
}

// popularity is the cumulative distribution of prefixes by Zipf's law.
func popularity(n int) []float64 {
	cumulative := make([]float64, n)
	sum := 0.0
	for i := range cumulative {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		cumulative[i] = sum
	}
	return cumulative
}

// drawPrefix returns a prefix by popularity, or 0 where none are shared.
func (w *world) drawPrefix() uint64 {
	if len(w.zipf) == 0 {
		return 0
	}
	x := w.rng.Float64() * w.zipf[len(w.zipf)-1]
	return uint64(sort.SearchFloat64s(w.zipf, x)) + 1
}

func (w *world) result() Result {
	slices.Sort(w.firsts)
	res := Result{
		P50:     quantile(w.firsts, 0.5),
		P95:     quantile(w.firsts, 0.95),
		P99:     quantile(w.firsts, 0.99),
		HitRate: float64(w.hits) / float64(max(1, w.counted)),
		Refused: w.refused,
		Asides:  w.asides,

		FailedShare: float64(w.failed) / float64(max(1, w.counted)),
	}
	for _, e := range w.engines {
		res.PerServer = append(res.PerServer, e.served)
	}
	return res
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
