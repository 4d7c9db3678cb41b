// Package sim compares routing policies in simulated time. It serves tests
// and `make bench-requests`; no daemon uses it.
//
// Several entries, each with its own routing.Table, send Poisson arrivals to
// backend servers with a bounded number of slots, a queue and a small prefix
// cache. Heartbeats and cache events reach the entries late, the load figure
// later still. Time is a number: nothing here sleeps or reads a clock, and a
// seed gives the same run each time.
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
	// Utilisation is the offered load over the capacity without cache hits.
	Utilisation float64
	// Skew is how much slower than the first the last backend server is
	// built: 2 for half the speed.
	Skew float64
	// Prefixes is how many prompt prefixes there are, of falling
	// popularity; 0 gives every request its own. CachedPrefixes is how many
	// a backend server keeps.
	Prefixes       int
	CachedPrefixes int
	// Heartbeat is the time between an agent's states, LoadLag how old the
	// load figure in them is.
	Heartbeat time.Duration
	LoadLag   time.Duration
	// SlowServers backend servers become SlowFactor slower after a fifth
	// of the run; figures are taken from then on.
	SlowServers int
	SlowFactor  float64
	// FailingServers backend servers fail each request at once from then on.
	FailingServers int
	// LyingServers always report no load.
	LyingServers int
	// NewPolicy makes the policy of one entry.
	NewPolicy func() routing.Policy
	// Settings of the entries' tables; name, zone and policy are set here.
	Settings routing.Config
}

// Base returns a run of today's size: 4 entries before 12 backend servers.
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

// Result holds the figures of one run. Times are to the first token.
type Result struct {
	P50, P95, P99 time.Duration
	// HitRate is the share of requests that found their prefix cached.
	HitRate float64
	// Refused counts requests for which no backend server was picked.
	Refused int
	// FailedShare is the share of requests that failed.
	FailedShare float64
	// Asides counts how often an entry set a healthy backend server aside.
	Asides int
	// PerServer counts the requests of each backend server.
	PerServer []int
}

// Service times: the prompt of a request is computed unless its prefix is
// cached, then tokens follow.
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

// happening is something due at a time.
type happening struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// engine is one backend server.
type engine struct {
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

type world struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	agenda  agenda
	seq     int
	tables  []*routing.Table
	engines []*engine
	zipf    []float64
	firsts  []time.Duration
	hits    int
	counted int
	refused int
	asides  int
	failed  int
	ill     map[string]bool // slow or failing
	left    int
	stateNo uint64
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
	w := &world{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), left: cfg.Requests, ill: map[string]bool{}}
	w.build()
	w.schedule(0, w.arrive)
	for w.agenda.Len() > 0 && (w.left > 0 || w.busy()) {
		h := heap.Pop(&w.agenda).(happening)
		w.now = h.at
		h.do()
	}
	return w.result()
}

func (w *world) build() {
	for i := range w.cfg.Servers {
		speed := 1 + (w.cfg.Skew-1)*float64(i)/math.Max(1, float64(w.cfg.Servers-1))
		w.engines = append(w.engines, &engine{vm: vmName(i), speed: speed})
	}
	w.interval = w.meanInterval()
	for e := range w.cfg.Entries {
		w.tables = append(w.tables, w.newTable(e))
	}
	for i := range w.engines {
		w.heartbeat(i)
	}
	w.zipf = popularity(w.cfg.Prefixes)
	w.schedule(time.Second, w.tick)
}

func (w *world) newTable(entry int) *routing.Table {
	settings := w.cfg.Settings
	settings.Entry = fmt.Sprintf("entry-%d", entry)
	settings.Zone = zoneOf(entry)
	settings.Policy = w.cfg.NewPolicy()
	t := routing.NewTable(settings)
	for i := range w.engines {
		t.Step(epoch, routing.MemberChanged{Member: inventory.Member{
			VM: vmName(i), Zone: zoneOf(i), Service: service, Incarnation: 1, State: inventory.MemberUp,
		}})
	}
	return t
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%3) }

func vmName(i int) string { return fmt.Sprintf("vm-%02d", i) }

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func (w *world) schedule(after time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, happening{w.now + after, w.seq, do})
}

func (w *world) busy() bool {
	for _, e := range w.engines {
		if e.running > 0 {
			return true
		}
	}
	return false
}

// meanInterval is the time between arrivals that gives the wanted load.
func (w *world) meanInterval() float64 {
	perSecond := 0.0
	for _, e := range w.engines {
		perSecond += float64(w.cfg.Slots) / (e.speed * (prefillTime + decodeTime).Seconds())
	}
	return 1 / (perSecond * w.cfg.Utilisation)
}

func (w *world) arrive() {
	if w.left == 0 {
		return
	}
	w.left--
	done := w.cfg.Requests - w.left
	if done == int(warmUpShare*float64(w.cfg.Requests)) {
		w.breakSome()
	}
	r := &request{
		id:      fmt.Sprint(done),
		entry:   w.rng.IntN(w.cfg.Entries),
		prefix:  w.drawPrefix(),
		arrived: w.now,
		measure: done > int(warmUpShare*float64(w.cfg.Requests)),
	}
	w.dispatch(r)
	next := -math.Log(1-w.rng.Float64()) * w.interval
	w.schedule(time.Duration(next*float64(time.Second)), w.arrive)
}
