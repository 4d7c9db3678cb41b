// Package staging loads the named versions of weights into the agent's engine: it
// fetches the pieces from other agents and from the origin, checks their digests,
// stages them at the engine, reads them back and orders the engine to load them.
//
// State: the verified pieces by version, behind one lock; one goroutine decides
// and gives orders, one at a time. Messages: rpc.Pieces between agents; the engine
// and the origin are interfaces.
package staging

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// Config configures a Stager.
type Config struct {
	// Service and EngineAddr are the service of the engine and its ip:port.
	Service    string
	EngineAddr string
	// PeerAddr returns the RPC address of a backend server's agent.
	PeerAddr func(serverAddr string) string
	Engine   Engine
	Origin   Origin
	View     func() *follow.View
	// Tell sends a report to the control servers, to all of them or to one.
	Tell func(r *rpc.AgentReport, all bool)
	// OnLoading is told when the engine is about to be ordered to load, and when the load is over; it may be nil.
	OnLoading func(loading bool)
	// LinkMbps is the bandwidth of the VM's link, which is shared with live requests;
	// 0 if unknown.
	LinkMbps float64
	// Zone is the availability zone of this agent. Traffic from other zones is charged.
	Zone string
	// VersionBound is the maximum time from the naming of a version until it is in use.
	VersionBound time.Duration
	Logger       zerolog.Logger
	Metrics      *Metrics
}

const (
	// wantedInterval is how often the versions to fetch are looked up.
	wantedInterval = 100 * time.Millisecond
	// callTimeout limits one call to the engine.
	callTimeout = 1 * time.Second
	// orderRetry is the minimum time between two orders to load.
	orderRetry = 500 * time.Millisecond
	// verificationMaxAge is the maximum age of a verification of the staged pieces when the
	// order to load is sent, from its beginning. The users' rules tolerate pieces that
	// became corrupted in the 3 s before a load, and the order takes up to callTimeout.
	// A process that was suspended or slow in between must verify again.
	verificationMaxAge = 2 * time.Second
)

// Stager stages and loads weights at one engine. Create it with New.
type Stager struct {
	cfg   Config
	log   zerolog.Logger
	pool  *rpcconn.Pool
	sets  *sets
	slots chan struct{}
	// now is the clock for the age of verifications.
	now func() time.Time
	// uploadFree is when the link will have sent the uploads so far.
	uploadMu   sync.Mutex
	uploadFree time.Time

	// engineVersion is the version that the engine has loaded completely, by its last report.
	engineVersion atomic.Uint64
	// reported is true once the engine has reported its state. engineDown is true while the
	// engine refuses connections; before its first report it then has no pieces.
	reported, engineDown atomic.Bool

	// chosenVersion is the version that was last chosen from two that were named shortly after
	// each other.
	chosenVersion atomic.Uint64
	// originFailedAt and originServedAt are when the origin last failed and last served an
	// agent, in nanoseconds since start, so that steps of the wall clock have no effect;
	// 0 if never.
	start                          time.Time
	originFailedAt, originServedAt atomic.Int64

	// verification is the last verification of the pieces staged at the engine.
	verification verification

	// The fields below are owned by the goroutine that calls step.
	orderedAt time.Time
	loading   bool
	orders    orderState
	// engineBorn is the start of the newest incarnation of the engine that has reported.
	engineBorn int64
	// stagedVersion is the version that was last staged at the engine.
	stagedVersion uint64
	epoch         uint64
	lastReport    *rpc.AgentReport
}

// New returns a Stager; Run starts it.
func New(cfg Config) *Stager {
	s := &Stager{
		cfg: cfg, log: cfg.Logger, pool: rpcconn.NewPool(),
		slots: make(chan struct{}, maxUploads), now: clock.Now,
		start: clock.Now(),
		epoch: uint64(time.Now().UnixNano()), lastReport: &rpc.AgentReport{},
	}
	s.sets = newSets(func() { s.verification.invalidate(s.now()) })
	return s
}

// sendReport sends the engine's state to the entries through the control servers.
func (s *Stager) sendReport(r Report) {
	next := &rpc.AgentReport{
		Addr: s.cfg.EngineAddr, Born: r.Born, Epoch: s.epoch, Seq: s.lastReport.Seq + 1, Loading: s.loading || r.Busy,
		Models: follow.ModelsToProto(r.Models), Running: uint32(r.Running), Waiting: uint32(r.Waiting), Pace: r.Pace, Relays: true,
	}
	urgent := next.Loading != s.lastReport.Loading || !follow.SameModels(next.Models, s.lastReport.Models) ||
		paceChanged(s.lastReport.Pace, next.Pace)
	s.lastReport = next
	s.cfg.Tell(next, urgent)
}

// maxPaceChange is the relative change of the engine's pace up to which its reports are not urgent.
const maxPaceChange = 0.2

// paceChanged reports whether the pace has changed so much that entries should know it at once. A pace
// that is not reported counts as the usual one.
func paceChanged(before, after float64) bool {
	usual := func(pace float64) float64 {
		if pace <= 0 {
			return 1
		}
		return pace
	}
	before, after = usual(before), usual(after)
	return math.Abs(after-before) > maxPaceChange*before
}

// Run runs the stager until ctx is done. One goroutine fetches pieces, one fetches the
// digests of the newest version, one confirms digests, and one gives orders to the engine.
func (s *Stager) Run(ctx context.Context) error {
	var background sync.WaitGroup
	background.Go(func() { s.fetchAll(ctx) })
	background.Go(func() { s.prefetchDigests(ctx) })
	background.Go(func() { s.confirmDigests(ctx) })
	for {
		s.step(ctx)
		timer := time.NewTimer(s.pollPause())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			background.Wait()
			return ctx.Err()
		}
	}
}

// pollPause returns the time until the next poll of the engine.
func (s *Stager) pollPause() time.Duration { return follow.ReportInterval(len(s.servers())) }

// fetchAll fetches the version that the engine has loaded and those that it is to load, for
// the engine and for other agents.
func (s *Stager) fetchAll(ctx context.Context) {
	ticker := time.NewTicker(wantedInterval)
	defer ticker.Stop()
	for {
		for _, g := range s.wanted() {
			tryCtx, cancel := context.WithTimeout(ctx, completeTimeout)
			err := s.ensureAvailable(tryCtx, g)
			cancel()
			if err != nil && ctx.Err() == nil {
				s.log.Warn().Err(err).Str("model", g.model).Uint64("version", g.version).Msg("weights are not complete")
				break
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ensureAvailable completes a version. If the engine has already loaded it, only the pieces
// staged there are imported: others are not needed, except by peers.
func (s *Stager) ensureAvailable(ctx context.Context, g goal) error {
	if s.engineVersion.Load() >= g.version {
		_, err := s.openSet(ctx, g)
		return err
	}
	_, err := s.complete(ctx, g)
	return err
}

// step polls the engine, and stages or loads the goal's version if possible.
func (s *Stager) step(ctx context.Context) {
	g, ok := s.goal()
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	report, err := s.cfg.Engine.Report(callCtx)
	cancel()
	if err != nil {
		s.log.Debug().Err(err).Msg("engine report failed")
		s.engineDown.Store(errors.Is(err, syscall.ECONNREFUSED))
		return
	}
	s.checkRestart(report.Born)
	loaded := holds(report, g.model, g.engine.Layers)
	s.engineVersion.Store(loaded)
	s.reported.Store(true)
	s.observeOrders(ctx, report, g, loaded)
	s.checkLoaded(report, g, loaded)
	s.sendReport(report)
	if report.Busy {
		return
	}
	if u := s.orders.unanswered; u != nil {
		s.load(ctx, u.goal, u.set, report) // whichever of the two orders begins, the other one is refused
		return
	}
	if loaded >= g.version {
		return
	}
	set := s.sets.get(key{g.model, g.version})
	if set == nil || !set.loadable() {
		return
	}
	if s.stagedVersion != g.version {
		if _, err := s.verified(ctx, g, set); err != nil {
			s.log.Warn().Err(err).Str("model", g.model).Uint64("version", g.version).Msg("staging the weights at the engine failed")
			return
		}
		s.stagedVersion = g.version
	}
	if loaded > 0 && !s.orders.unverified && !s.mayLoad(g, loaded, set) {
		return
	}
	s.load(ctx, g, set, report)
}

// checkRestart detects a restart of the engine: a new incarnation has no staged or loaded
// pieces and no order in progress.
func (s *Stager) checkRestart(born int64) {
	if s.engineBorn != 0 && born > s.engineBorn {
		s.log.Info().Int64("born", born).Int64("before", s.engineBorn).Msg("engine has started again")
		s.setLoading(false)
		s.stagedVersion, s.orderedAt = 0, time.Time{}
		s.verification.reset()
		s.orders = orderState{}
	}
	s.engineBorn = max(s.engineBorn, born)
}

// setLoading records whether the engine loads or is about to.
func (s *Stager) setLoading(loading bool) {
	if s.loading != loading && s.cfg.OnLoading != nil {
		s.cfg.OnLoading(loading)
	}
	s.loading = loading
}

func holds(r Report, model string, layers int) uint64 {
	b := fleet.BackendServer{Models: r.Models}
	return b.Holds(model, layers)
}

func (s *Stager) checkLoaded(r Report, g goal, loaded uint64) {
	if s.loading && !r.Busy && !s.orders.open() {
		s.setLoading(false)
		s.log.Info().Str("model", g.model).Uint64("version", loaded).Dur("took_ms", clock.Since(s.orderedAt)).
			Msg("engine has loaded")
	}
}
