// Package sim compares routing policies in simulated time. No daemon uses it.
//
// Several entries, each with its own routing.Table, dispatch Poisson arrivals to
// backend servers with a bounded number of slots, a queue and a small prefix
// cache. Heartbeats and cache events reach the entries with a delay, and the
// reported load with a longer one. Nothing here sleeps or reads a clock, and the
// same seed gives the same run.
package sim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/routing"
)

// Config describes one run.
type Config struct {
	Seed     uint64
	Entries  int
	Servers  int
	Slots    int
	Requests int
	// Utilisation is the offered load divided by the capacity without cache
	// hits.
	Utilisation float64
	// Skew is the service time at the last backend server relative to the
	// first, 2 for half the speed; those between are interpolated.
	Skew float64
	// Prefixes is the number of shared prompt prefixes, with a Zipf
	// distribution; with 0, requests share none. CachedPrefixes is how many
	// a backend server caches.
	Prefixes       int
	CachedPrefixes int
	// Heartbeat is the time between an agent's state messages, and LoadLag the
	// age of the reported load in them.
	Heartbeat time.Duration
	LoadLag   time.Duration
	// SlowServers backend servers become SlowFactor times slower after a
	// fifth of the requests; measurement begins then.
	SlowServers int
	SlowFactor  float64
	// FailingServers backend servers fail every request from then on.
	FailingServers int
	// MisreportingServers backend servers always report no load.
	MisreportingServers int
	// NewPolicy returns a new policy for one entry.
	NewPolicy func() routing.Policy
	// Settings of the entries' tables; name, zone and policy are set here.
	Settings routing.Config
}

// Base returns a run with 4 entries and 12 backend servers.
func Base() Config {
	return Config{
		Seed:           1,
		Entries:        4,
		Servers:        12,
		Slots:          8,
		Requests:       10000,
		Utilisation:    0.75,
		Skew:           2,
		CachedPrefixes: 8,
		Heartbeat:      2 * time.Second,
		LoadLag:        time.Second,
		NewPolicy:      func() routing.Policy { return routing.Balanced{} },
	}
}

// Result holds the measurements of one run. Times are to the first token.
type Result struct {
	P50, P95, P99 time.Duration
	// HitRate is the share of requests that found their prefix cached.
	HitRate float64
	// Refused counts requests for which no backend server was picked.
	Refused int
	// FailedShare is the share of requests that failed.
	FailedShare float64
	// FalseEjections counts how often an entry ejected a healthy backend server.
	FalseEjections int
	// PerServer counts the requests of each backend server.
	PerServer []int
}

// Mean service times. A request takes prefillTime, or cachedTime if its prefix is
// cached, up to the first token, then decodeTime.
const (
	prefillTime = 200 * time.Millisecond
	cachedTime  = 20 * time.Millisecond
	failTime    = 5 * time.Millisecond
	decodeTime  = 600 * time.Millisecond
	// warmUpShare of the requests is not measured.
	warmUpShare = 0.2
	// zipfExponent of the popularity of prefixes.
	zipfExponent = 1.0
)

type request struct {
	id      string
	entry   int
	prefix  uint64
	arrived time.Duration
	first   time.Duration
	server  int
	measure bool
}

// timedEvent is a function to be called at a time.
type timedEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// backendServer is one simulated backend server.
type backendServer struct {
	vm      string
	speed   float64 // times are multiplied by it
	failing bool
	running int
	queue   []*request
	cache   []uint64 // most recent last
	events  []routing.CacheEvent
	load    float64 // as of LoadLag ago
	served  int
}

type simulation struct {
	cfg             Config
	rng             *rand.Rand
	now             time.Duration
	queue           eventQueue
	seq             int
	tables          []*routing.Table
	servers         []*backendServer
	zipf            []float64
	firstTokenTimes []time.Duration
	hits            int
	counted         int
	refused         int
	falseEjections  int
	failed          int
	degraded        map[string]bool // slow or failing
	remaining       int
	lastSeq         uint64
	// interval is the mean time between arrivals, in seconds.
	interval float64
}

const (
	service = "chat"
	model   = "m"
	version = "v1"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run simulates one configuration.
func Run(cfg Config) Result {
	s := &simulation{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), remaining: cfg.Requests, degraded: map[string]bool{}}
	s.build()
	s.schedule(0, s.arrive)
	for s.queue.Len() > 0 && (s.remaining > 0 || s.busy()) {
		h := heap.Pop(&s.queue).(timedEvent)
		s.now = h.at
		h.do()
	}
	return s.result()
}

func (s *simulation) build() {
	for i := range s.cfg.Servers {
		speed := 1 + (s.cfg.Skew-1)*float64(i)/math.Max(1, float64(s.cfg.Servers-1))
		s.servers = append(s.servers, &backendServer{vm: vmName(i), speed: speed})
	}
	s.interval = s.meanInterval()
	for e := range s.cfg.Entries {
		s.tables = append(s.tables, s.newTable(e))
	}
	for i := range s.servers {
		s.heartbeat(i)
	}
	s.zipf = zipfDistribution(s.cfg.Prefixes)
	s.schedule(time.Second, s.tick)
}

func (s *simulation) newTable(entry int) *routing.Table {
	settings := s.cfg.Settings
	settings.Entry = fmt.Sprintf("entry-%d", entry)
	settings.Zone = zoneOf(entry)
	settings.Policy = s.cfg.NewPolicy()
	t := routing.NewTable(settings)
	for i := range s.servers {
		t.Step(epoch, routing.MemberChanged{Member: inventory.Member{
			VM: vmName(i), Zone: zoneOf(i), Service: service, Incarnation: 1, State: inventory.MemberUp,
		}})
	}
	return t
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%3) }

func vmName(i int) string { return fmt.Sprintf("vm-%02d", i) }

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

func (s *simulation) schedule(after time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, timedEvent{s.now + after, s.seq, do})
}

func (s *simulation) busy() bool {
	for _, e := range s.servers {
		if e.running > 0 {
			return true
		}
	}
	return false
}

// meanInterval is the mean time between arrivals that gives cfg.Utilisation.
func (s *simulation) meanInterval() float64 {
	perSecond := 0.0
	for _, e := range s.servers {
		perSecond += float64(s.cfg.Slots) / (e.speed * (prefillTime + decodeTime).Seconds())
	}
	return 1 / (perSecond * s.cfg.Utilisation)
}

func (s *simulation) arrive() {
	if s.remaining == 0 {
		return
	}
	s.remaining--
	done := s.cfg.Requests - s.remaining
	if done == int(warmUpShare*float64(s.cfg.Requests)) {
		s.degradeServers()
	}
	r := &request{
		id:      fmt.Sprint(done),
		entry:   s.rng.IntN(s.cfg.Entries),
		prefix:  s.drawPrefix(),
		arrived: s.now,
		measure: done > int(warmUpShare*float64(s.cfg.Requests)),
	}
	s.dispatch(r)
	next := -math.Log(1-s.rng.Float64()) * s.interval
	s.schedule(time.Duration(next*float64(time.Second)), s.arrive)
}
