// Package gateway is the entry of a fleet whose backend servers are called
// directly: it matches requests to routes and dispatches each to a backend server.
// The caller gets the whole answer to its own request, or a refusal that correctly
// says whether the request may have run.
//
// State: the view of the fleet (a snapshot), the balancer, the retry budgets, the
// wait queues and the suspect content. Each request runs on its connection's
// goroutine; a timer watches each attempt, and a handover to another server runs on
// a goroutine of its own. Messages: HTTP/1.1 from callers and to backend servers.
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
	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/retry"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/shutdown"
	"lynxgate.dev/lynxgate/internal/urgency"
)

// Headers configures the names of the header fields that callers and backend servers
// use. The platform defines the names; the comments describe the values.
type Headers struct {
	// RequestID identifies one request of a caller; client retries have ids of their own.
	// Backend servers echo it.
	RequestID string
	// DeadlineMs is how long the sender waits for the answer, in milliseconds.
	DeadlineMs string
	// Key is the organisation's API key; Organisation is its name, set by the entry.
	Key          string
	Organisation string
	// ExpectServer is the id of the backend server that the request is for,
	// ExpectVersion the version of weights that it must have loaded.
	ExpectServer  string
	ExpectVersion string
	// NotRun is set by a backend server that did not run the request.
	NotRun string
	// Signature proves that a backend server wrote the answer.
	Signature string
	// ServerID is the id of the backend server that answers; Load is its number of
	// running requests, waiting requests and slots, separated by commas.
	ServerID string
	Load     string
	// Limit is how many requests a second, from all entries together, the backend server
	// that answers accepts.
	Limit string
	// Leaving is set by a backend server that stops and accepts no new requests any more.
	Leaving string
	// Model is the requested model; Version is the version of its weights that wrote
	// the answer.
	Model   string
	Version string
	// Tokens is the size of the prompt and the maximum size of the answer, in tokens,
	// separated by a comma.
	Tokens string
	// PromptParts lists the parts of the prompt in their order, as comma-separated ID:TOKENS entries. Requests share
	// parts; the last one belongs to the request itself or to its session.
	PromptParts string
	// LengthHint is the caller's estimate of the size of the answer, in tokens.
	LengthHint string
	// ResumeAfter is the id of the last event that the caller received.
	ResumeAfter string
	// Priority is the priority in the backend server's queue. Only the system may set it;
	// it is removed from the requests of callers.
	Priority string
}

// ofAnswers returns the names of the fields that backend servers add to their answers.
func (h Headers) ofAnswers() headlimit.Fields {
	return headlimit.Fields{h.RequestID, h.NotRun, h.Signature, h.ServerID, h.Load, h.Limit, h.Leaving, h.Version}
}

// Config configures a Gateway.
type Config struct {
	Headers Headers
	Balance balance.Config
	// The retries of all entries together to a service within RetryWindow are limited
	// to RetryShare of its requests plus RetryFloor.
	RetryShare  float64
	RetryFloor  int
	RetryWindow time.Duration
	// HeldBytes bounds the bodies of requests and answers that the entry holds at one time; 0 is no
	// bound.
	HeldBytes int64
	// PublishSuspicions sends reports of suspect content to other entries; it may be nil.
	PublishSuspicions func([]quarantine.Update)
	// PublishSignals sends the signals of backend servers to other entries; it may be nil.
	PublishSignals func([]backpressure.Update)
	// Reservations asks agents for slots of engines, for the services that ReservationMode says; it may be nil.
	Reservations    Reservations
	ReservationMode ReservationMode
	// EngineReport asks the engine at an address for its state; it may be nil.
	EngineReport func(ctx context.Context, addr string) (balance.Report, error)
	// Turns grants the turns of suspect content across entries; it may be nil.
	Turns   Turns
	Logger  zerolog.Logger
	Metrics *Metrics
}

// Gateway is the http.Handler that serves callers.
type Gateway struct {
	cfg      Config
	log      zerolog.Logger
	answers  headlimit.Fields
	view     atomic.Pointer[follow.View]
	ranks    atomic.Pointer[urgency.Ranks]
	balancer *balance.Balancer
	queues   *waitQueues
	learned  *learned
	suspects *suspicions
	stops    *stopForms
	// start is the origin of the monotonic clock of the retry budgets, since the
	// time of day may jump.
	start time.Time

	held     heldBytes
	leaving  atomic.Bool
	inFlight atomic.Int64
	// end is when the process ends, stopped how its stop ended requests.
	end     *shutdown.End
	stopped stopCounts

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	entries entryCount
}

// budgetShare is the part of the retry budget that the entries use: the number of
// entries may be wrong just after one has crashed or joined.
const budgetShare = 0.7

// New returns a Gateway without a view of the fleet; it refuses requests until SetView.
func New(cfg Config) *Gateway {
	b := balance.New(cfg.Balance)
	g := &Gateway{
		cfg: cfg, log: cfg.Logger, answers: cfg.Headers.ofAnswers(), balancer: b, queues: newWaitQueues(b), learned: newLearned(),
		suspects: newSuspicions(cfg.Logger, cfg.PublishSuspicions, cfg.Turns), stops: newStopForms(),
		held: heldBytes{most: cfg.HeldBytes}, end: shutdown.NewEnd(),
		start: clock.Now(), budgets: map[string]*retry.Budget{},
	}
	b.OnSlotFreed(g.queues.grant)
	b.OnSignals(cfg.PublishSignals)
	if cfg.EngineReport != nil {
		b.OnProbe(g.probeEngine)
	}
	g.view.Store(&follow.View{})
	return g
}

// SetView replaces the view of the fleet.
func (g *Gateway) SetView(v *follow.View) {
	if v.Table != nil && v.Table != g.view.Load().Table {
		g.ranks.Store(urgency.New(v.Table))
	}
	if before := g.view.Swap(v).Table; v.Table != nil && v.Table != before {
		g.queues.keepRoutes(v.Table)
		g.learned.keepRoutes(v.Table)
		g.stops.keepServices(func(service string) bool { return v.Table.Service(service) != nil })
	}
	g.balancer.SetView(v)
	g.updateRetryFloors(clock.Now())
}

// AddReport adds a report that an agent made at least age ago.
func (g *Gateway) AddReport(r *rpc.AgentReport, age time.Duration) {
	g.balancer.Reported(clock.Now(), balance.Report{
		Addr: r.Addr, StartUnixMs: r.Born, Loading: r.Loading, Models: follow.ModelsFromProto(r.Models),
		Running: int(r.Running), Waiting: int(r.Waiting), Pace: r.Pace, Relays: r.Relays, Age: age,
	})
}

// Renew records the time of a backend server's last heartbeat.
func (g *Gateway) Renew(id string, at time.Time) { g.balancer.Announced(id, at) }

// MergeSuspicions adds reports of other entries on suspect content.
func (g *Gateway) MergeSuspicions(u []quarantine.Update) { g.suspects.merge(clock.Now(), u) }

// Suspicions returns this entry's records of suspect content.
func (g *Gateway) Suspicions() []quarantine.Update { return g.suspects.all() }

// MergeSignals adds signals of backend servers that other entries received.
func (g *Gateway) MergeSignals(u []backpressure.Update) { g.balancer.ApplyUpdates(clock.Now(), u) }

// Signals returns the signals of backend servers that are known here.
func (g *Gateway) Signals() []backpressure.Update { return g.balancer.Signals() }

// Ready reports whether the entry should get new connections, and if not, why.
func (g *Gateway) Ready() (reason string, ok bool) {
	switch {
	case g.leaving.Load():
		return "stopping", false
	case g.view.Load().Table == nil:
		return "no configuration is known", false
	}
	return "", true
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Run closes idle connections, drops expired records and sets the gauges once a second until ctx
// is done.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := clock.Now()
			g.balancer.Refresh(now)
			g.suspects.removeExpired(now)
			g.updateRetryFloors(now)
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
	m.heldBytes.Set(float64(g.held.now.Load()))
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
		m.signals.WithLabelValues(service, "cold").Set(float64(counts.Cold))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, b := range g.budgets {
		m.budgetLeft.WithLabelValues(service).Set(b.Left(g.monotonic(now)))
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

// retryFloor returns this entry's part of the retry floor. g.mu must be locked.
func (g *Gateway) retryFloor() int {
	return int(budgetShare * float64(g.cfg.RetryFloor) / float64(g.entries.highest()))
}

// updateRetryFloors sets the floors of all budgets again if the number of entries has changed.
func (g *Gateway) updateRetryFloors(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.entries.highest()
	g.entries.note(now, g.view.Load().EntryCount(), g.cfg.RetryWindow)
	if g.entries.highest() == before {
		return
	}
	for _, b := range g.budgets {
		b.SetFloor(g.retryFloor())
	}
}

// monotonic returns the time for retry budgets, which does not follow steps of the time of day.
func (g *Gateway) monotonic(now time.Time) time.Time { return time.Unix(0, 0).Add(now.Sub(g.start)) }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	c := g.newCall(w, r)
	c.extendWriteDeadline()
	c.serve()
	c.rememberClosed()
	c.g.held.release(c.holds.Load())
	c.endTurn()
	c.report()
}
