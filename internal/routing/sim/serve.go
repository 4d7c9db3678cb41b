package sim

import (
	"math"
	"slices"
	"sort"
	"time"

	"lynxgate.dev/lynxgate/internal/routing"
)

// retryFullDelay is the time after which a request that was not dispatched is
// retried.
const retryFullDelay = 20 * time.Millisecond

// cacheEventDelay is the delay of cache events, and cacheEventLoss the share of
// them that is lost.
const (
	cacheEventDelay = time.Second
	cacheEventLoss  = 0.2
)

func (s *simulation) dispatch(r *request) {
	req := routing.Request{Service: service, Model: model, Prefix: r.prefix}
	choice, reason := s.tables[r.entry].Pick(s.clock(), req, s.rng)
	if reason != routing.Picked {
		s.refused++
		s.schedule(retryFullDelay, func() { s.dispatch(r) })
		return
	}
	r.server = slices.IndexFunc(s.servers, func(e *backendServer) bool { return e.vm == choice.VM })
	s.tables[r.entry].Step(s.clock(), routing.Dispatched{VM: choice.VM, ID: r.id})
	e := s.servers[r.server]
	e.served++
	e.queue = append(e.queue, r)
	s.startNext(e)
}

// startNext starts queued requests while slots are free.
func (s *simulation) startNext(e *backendServer) {
	for e.running < s.cfg.Slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		s.start(e, r)
	}
}

func (s *simulation) start(e *backendServer, r *request) {
	if e.failing {
		s.schedule(failTime, func() { s.fail(e, r) })
		return
	}
	prefill := prefillTime
	if e.lookUp(r.prefix) {
		prefill = cachedTime
		if r.measure {
			s.hits++
		}
	}
	s.remember(e, r.prefix)
	prefill = s.sampleTime(e, prefill)
	decode := s.sampleTime(e, decodeTime)
	s.schedule(prefill, func() {
		r.first = s.now - r.arrived
		s.tables[r.entry].Step(s.clock(), routing.FirstToken{VM: e.vm, ID: r.id, Elapsed: r.first})
	})
	s.schedule(prefill+decode, func() { s.finish(e, r) })
}

// sampleTime draws a service time: half the mean is fixed, and the other half
// exponentially distributed.
func (s *simulation) sampleTime(e *backendServer, mean time.Duration) time.Duration {
	factor := 0.5 - 0.5*math.Log(1-s.rng.Float64())
	return time.Duration(float64(mean) * factor * e.speed)
}

func (s *simulation) finish(e *backendServer, r *request) {
	e.running--
	s.tables[r.entry].Step(s.clock(), routing.Finished{
		VM: e.vm, ID: r.id, FirstToken: r.first, Total: s.now - r.arrived,
	})
	if r.measure {
		s.counted++
		s.firstTokenTimes = append(s.firstTokenTimes, r.first)
	}
	s.startNext(e)
}

func (s *simulation) fail(e *backendServer, r *request) {
	e.running--
	s.tables[r.entry].Step(s.clock(), routing.Finished{
		VM: e.vm, ID: r.id, Outcome: routing.Failed, Total: s.now - r.arrived,
	})
	if r.measure {
		s.counted++
		s.failed++
	}
	s.startNext(e)
}

func (e *backendServer) lookUp(prefix uint64) bool {
	return prefix != 0 && slices.Contains(e.cache, prefix)
}

// remember caches a prefix as the most recently used one and evicts the least
// recently used one from a full cache.
func (s *simulation) remember(e *backendServer, prefix uint64) {
	if prefix == 0 {
		return
	}
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	} else {
		s.publish(e, routing.CacheEvent{PrefixHash: prefix})
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > s.cfg.CachedPrefixes {
		s.publish(e, routing.CacheEvent{PrefixHash: e.cache[0], Evicted: true})
		e.cache = slices.Delete(e.cache, 0, 1)
	}
}

func (s *simulation) publish(e *backendServer, event routing.CacheEvent) {
	if s.rng.Float64() < cacheEventLoss {
		return
	}
	s.schedule(cacheEventDelay, func() { e.events = append(e.events, event) })
}

// heartbeat sends an agent's state to all entries and schedules the next one.
func (s *simulation) heartbeat(i int) {
	e := s.servers[i]
	s.lastSeq++
	st := routing.AgentState{
		VM:           e.vm,
		Incarnation:  1,
		Seq:          s.lastSeq,
		Live:         []routing.Version{{Model: model, Version: version}},
		InFlight:     e.running + len(e.queue),
		ReportedLoad: e.load,
		Concurrency:  s.cfg.Slots,
		CacheEvents:  e.events,
	}
	if i < s.cfg.MisreportingServers {
		st.InFlight, st.ReportedLoad = 0, 0
	}
	e.events = nil
	for _, t := range s.tables {
		t.Step(s.clock(), st)
	}
	load := float64(e.running+len(e.queue)) / float64(s.cfg.Slots)
	s.schedule(s.cfg.LoadLag, func() { e.load = load })
	s.schedule(s.cfg.Heartbeat, func() { s.heartbeat(i) })
}

func (s *simulation) tick() {
	for _, t := range s.tables {
		s.countFalseEjections(t.Step(s.clock(), routing.Tick{}))
	}
	s.schedule(time.Second, s.tick)
}

func (s *simulation) countFalseEjections(actions []routing.Action) {
	for _, a := range actions {
		ejection, ok := a.(routing.Ejected)
		if ok && !s.degraded[ejection.VM] {
			s.falseEjections++
		}
	}
}

// degradeServers makes the last backend servers slow or failing.
func (s *simulation) degradeServers() {
	for i := range s.cfg.SlowServers {
		e := s.servers[len(s.servers)-1-i]
		e.speed *= s.cfg.SlowFactor
		s.degraded[e.vm] = true
	}
	for i := range s.cfg.FailingServers {
		e := s.servers[len(s.servers)-1-i]
		e.failing = true
		s.degraded[e.vm] = true
	}
}

// zipfDistribution returns the cumulative distribution of prefixes by Zipf's law,
// not normalised.
func zipfDistribution(n int) []float64 {
	cumulative := make([]float64, n)
	sum := 0.0
	for i := range cumulative {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		cumulative[i] = sum
	}
	return cumulative
}

// drawPrefix draws a prefix; 0 if the requests share none.
func (s *simulation) drawPrefix() uint64 {
	if len(s.zipf) == 0 {
		return 0
	}
	x := s.rng.Float64() * s.zipf[len(s.zipf)-1]
	return uint64(sort.SearchFloat64s(s.zipf, x)) + 1
}

func (s *simulation) result() Result {
	slices.Sort(s.firstTokenTimes)
	res := Result{
		P50:            quantile(s.firstTokenTimes, 0.5),
		P95:            quantile(s.firstTokenTimes, 0.95),
		P99:            quantile(s.firstTokenTimes, 0.99),
		HitRate:        float64(s.hits) / float64(max(1, s.counted)),
		Refused:        s.refused,
		FalseEjections: s.falseEjections,

		FailedShare: float64(s.failed) / float64(max(1, s.counted)),
	}
	for _, e := range s.servers {
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
