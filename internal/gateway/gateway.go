// Package gateway is the entry of a fleet whose backend servers are called
// directly: it matches requests to routes, sends each to a backend server, and
// gives the caller the whole answer to its own request, or a refusal that is true.
//
// State: the view of the fleet (a snapshot), the balancer, the retry budgets.
// Each request runs on its connection's goroutine; a timer watches each send, and
// another server is asked on a goroutine of its own (handover). Messages: HTTP/1.1 from
// callers and to backend servers.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/backpressure"
	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/retry"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Headers names the header fields that callers and backend servers use. The
// names are the platform's; each field says what the header holds.
type Headers struct {
	// RequestID names one attempt of a caller; echoed by backend servers.
	RequestID string
	// DeadlineMs is how long the sender will wait, in milliseconds.
	DeadlineMs string
	// Key is the organisation's secret; Organisation its name, set by us.
	Key          string
	Organisation string
	// ExpectServer is the id of the backend server that must have the address,
	// ExpectVersion the version of weights it must hold.
	ExpectServer  string
	ExpectVersion string
	// NotRun is set by a backend server that did not run the request.
	NotRun string
	// Signature proves that an answer is a backend server's.
	Signature string
	// ServerID is the id of the backend server that answers; Load its running
	// and waiting requests and its slots, separated by commas.
	ServerID string
	Load     string
	// Limit is how many requests a second, of all entries together, the backend server
	// that answers takes.
	Limit string
	// Leaving is set by a backend server that takes no new requests for good.
	Leaving string
	// Model and its version that wrote the answer.
	Model   string
	Version string
	// Tokens are those of the prompt and the most of the answer, by a comma.
	Tokens string
	// ResumeAfter is the id of the last event that was received.
	ResumeAfter string
	// Priority is for the backend server's queue; only the system sets it.
	Priority string
}

// Config says how an entry works.
type Config struct {
	Headers Headers
	Balance balance.Config
	// RetryShare of the requests to a service in RetryWindow, and RetryFloor
	// beside it, bound the repeats of all entries together.
	RetryShare  float64
	RetryFloor  int
	RetryWindow time.Duration
	// Tell spreads what is known of work that was at servers that ended; it may be nil.
	Tell func([]quarantine.News)
	// TellSignals spreads what backend servers said of themselves; it may be nil.
	TellSignals func([]backpressure.News)
	// Turns are those of suspect work over all entries; it may be nil.
	Turns   Turns
	Logger  zerolog.Logger
	Metrics *Metrics
}

// Gateway serves callers; it is an http.Handler.
type Gateway struct {
	cfg      Config
	log      zerolog.Logger
	view     atomic.Pointer[follow.View]
	balancer *balance.Balancer
	rooms    *roomQueues
	suspects *suspicions
	// start is the origin of the monotonic clock of the budgets: the time of
	// day may jump.
	start time.Time

	leaving  atomic.Bool
	inFlight atomic.Int64

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	entries entryCount
}

// budgetShare is the part of the floor of repeats that the entries give out:
// one that has just died or come may be counted wrongly.
const budgetShare = 0.7

// New makes an entry.
func New(cfg Config) *Gateway {
	b := balance.New(cfg.Balance)
	g := &Gateway{
		cfg: cfg, log: cfg.Logger, balancer: b, rooms: newRoomQueues(b),
		suspects: newSuspicions(cfg.Logger, cfg.Tell, cfg.Turns),
		start:    clock.Now(), budgets: map[string]*retry.Budget{},
	}
	b.OnRoom(g.rooms.offer)
	b.OnSignals(cfg.TellSignals)
	g.view.Store(&follow.View{})
	return g
}

// SetView takes over a new view of the fleet.
func (g *Gateway) SetView(v *follow.View) {
	if before := g.view.Swap(v).Table; v.Table != nil && v.Table != before {
		g.rooms.keepRoutes(v.Table)
	}
	g.balancer.SetView(v)
	g.shareBudgets(clock.Now())
}

// Reported takes an agent's report.
func (g *Gateway) Reported(r *rpc.AgentReport) {
	g.balancer.Reported(clock.Now(), balance.Report{
		Addr: r.Addr, Born: r.Born, Loading: r.Loading, Models: follow.ModelsFromProto(r.Models),
		Running: int(r.Running), Waiting: int(r.Waiting),
	})
}

// Renewed notes that a backend server was heard.
func (g *Gateway) Renewed(id string, at time.Time) { g.balancer.Renewed(id, at) }

// Suspected takes what other entries know of work that was at servers that ended.
func (g *Gateway) Suspected(news []quarantine.News) { g.suspects.take(clock.Now(), news) }

// Suspicions returns all that is known of such work here.
func (g *Gateway) Suspicions() []quarantine.News { return g.suspects.all() }

// LearnSignals takes what backend servers said of themselves to other entries.
func (g *Gateway) LearnSignals(news []backpressure.News) { g.balancer.Learn(clock.Now(), news) }

// Signals returns all that backend servers said of themselves, as far as it is known here.
func (g *Gateway) Signals() []backpressure.News { return g.balancer.Signals() }

// Ready tells whether the entry should get new connections.
func (g *Gateway) Ready() (reason string, ok bool) {
	switch {
	case g.leaving.Load():
		return "stopping", false
	case g.view.Load().Table == nil:
		return "no configuration is known", false
	}
	return "", true
}

// Leave makes the entry not ready, and its answers close their connections.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// InFlight returns how many requests are in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Run closes idle connections and sets the gauges until ctx is done.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := clock.Now()
			g.balancer.Refresh(now)
			g.suspects.forget(now)
			g.shareBudgets(now)
			g.setGauges(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (g *Gateway) setGauges(now time.Time) {
	m := g.cfg.Metrics
	m.Dialled.Set(float64(g.balancer.Dialled()))
	m.suspect.Set(float64(g.suspects.count()))
	if t := g.view.Load().Table; t != nil {
		m.configVersion.Set(float64(t.Config.Version))
	}
	m.directoryAge.Reset()
	for service, age := range g.balancer.DirectoryAge(now) {
		m.directoryAge.WithLabelValues(service).Set(age.Seconds())
	}
	for service, unseen := range g.balancer.Unseen(now) {
		m.unseen.WithLabelValues(service).Set(unseen)
	}
	m.signals.Reset()
	for service, counts := range g.balancer.SignalCounts(now) {
		m.signals.WithLabelValues(service, "limit").Set(float64(counts.Limited))
		m.signals.WithLabelValues(service, "backoff").Set(float64(counts.BackingOff))
		m.signals.WithLabelValues(service, "leaving").Set(float64(counts.Leaving))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, b := range g.budgets {
		m.budgetLeft.WithLabelValues(service).Set(b.Left(g.steady(now)))
	}
}

// budget returns the retry budget of a service.
func (g *Gateway) budget(service string) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retry.NewBudget(retry.BudgetConfig{
			Share: g.cfg.RetryShare * budgetShare, Window: g.cfg.RetryWindow,
			Floor: g.retryFloor(),
		})
		g.budgets[service] = b
	}
	return b
}

// retryFloor is this entry's part of the floor of repeats; the lock is held.
func (g *Gateway) retryFloor() int {
	return int(budgetShare * float64(g.cfg.RetryFloor) / float64(g.entries.most()))
}

// shareBudgets shares the floor out among the entries as of now.
func (g *Gateway) shareBudgets(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.entries.most()
	g.entries.note(now, g.view.Load().EntryCount(), g.cfg.RetryWindow)
	if g.entries.most() == before {
		return
	}
	for _, b := range g.budgets {
		b.SetFloor(g.retryFloor())
	}
}

// steady is the time for budgets: it does not follow steps of the time of day.
func (g *Gateway) steady(now time.Time) time.Time { return time.Unix(0, 0).Add(now.Sub(g.start)) }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := g.newCall(w, r)
	c.serve()
	c.giveTurnBack()
	c.report()
}
