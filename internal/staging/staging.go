// Package staging brings named versions of weights onto the engine beside it: it
// fetches the pieces from other agents and from the origin, checks each digest,
// lays them at the engine, reads them back and orders the engine to load them.
//
// State: the pieces held by version, behind one lock; one goroutine decides and
// gives orders, one at a time. Messages: rpc.Pieces between agents; the engine
// and the origin behind interfaces.
package staging

import (
	"context"
	"errors"
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

// Config says how an agent stages weights.
type Config struct {
	// Service of the engine, and its ip:port.
	Service    string
	EngineAddr string
	// PeerAddr returns the rpc address of the agent beside a backend server.
	PeerAddr func(serverAddr string) string
	Engine   Engine
	Origin   Origin
	View     func() *follow.View
	// Tell sends a report to the control servers, to all of them or to one.
	Tell func(r *rpc.AgentReport, all bool)
	// LinkMbps is the bandwidth of the VM's link, which live requests share; 0 is
	// not known.
	LinkMbps float64
	// Zone of this agent: bytes from other zones are paid for.
	Zone string
	// VersionBound is how long a version may take to be in use.
	VersionBound time.Duration
	Logger       zerolog.Logger
	Metrics      *Metrics
}

const (
	// pollInterval is how often the engine is asked for its state and the entries
	// are told: an engine takes a new request every 60 ms. The call is free on the
	// own machine.
	pollInterval = 100 * time.Millisecond
	// pollServers is up to how many engines pollInterval holds; with more, it grows
	// in proportion up to maxPollInterval.
	pollServers     = 40
	maxPollInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the engine.
	callTimeout = 1 * time.Second
	// orderRetry is the pause after an order without effect.
	orderRetry = 500 * time.Millisecond
	// verifiedFor is for how long the verification of what lies at the engine is
	// relied on, from its begin: what turned bad in the 3 s before a load is excused
	// by the users' rules, and the order is on its way for callTimeout at most. A
	// process that stood still or crawled meanwhile verifies again.
	verifiedFor = 2 * time.Second
)

// Stager is one agent's staging.
type Stager struct {
	cfg   Config
	log   zerolog.Logger
	pool  *rpcconn.Pool
	sets  *sets
	slots chan struct{}
	// now is the clock by which verifications age.
	now func() time.Time
	// uploadFree is when the link will have sent the pieces given out so far.
	uploadMu   sync.Mutex
	uploadFree time.Time

	// holding is the version that the engine holds whole, as it last told.
	holding atomic.Uint64
	// reported: the engine has told its state at least once. absent: it has not, and
	// refuses connections, so it holds nothing yet.
	reported, absent atomic.Bool

	// goingFor is the version that was chosen last of two that were named shortly after
	// each other.
	goingFor atomic.Uint64
	// originFailedAt and originSentAt are when the origin last failed and last answered,
	// in nanoseconds since start, which the time of day does not change; 0 never.
	start                        time.Time
	originFailedAt, originSentAt atomic.Int64

	// atEngine is what was seen of what lies at the engine.
	atEngine verification

	// Below: owned by the goroutine of step.
	orderedAt time.Time
	loading   bool
	// born is the engine's start that reported last.
	born int64
	// laid is the version that was last laid at the engine.
	laid  uint64
	epoch uint64
	told  *rpc.AgentReport
}

// New makes a stager.
func New(cfg Config) *Stager {
	return &Stager{
		cfg: cfg, log: cfg.Logger, pool: rpcconn.NewPool(), sets: newSets(),
		slots: make(chan struct{}, maxUploads), now: clock.Now,
		start: clock.Now(),
		epoch: uint64(time.Now().UnixNano()), told: &rpc.AgentReport{},
	}
}

// tell sends the engine's state to the entries, by the control servers.
func (s *Stager) tell(r Report) {
	next := &rpc.AgentReport{
		Addr: s.cfg.EngineAddr, Born: r.Born, Epoch: s.epoch, Seq: s.told.Seq + 1, Loading: s.loading,
		Models: follow.ModelsToProto(r.Models), Running: uint32(r.Running), Waiting: uint32(r.Waiting),
	}
	urgent := next.Loading != s.told.Loading || !follow.SameModels(next.Models, s.told.Models)
	s.told = next
	s.cfg.Tell(next, urgent)
}

// Run works until ctx is done: one goroutine fetches, one learns of the next version,
// one gives orders.
func (s *Stager) Run(ctx context.Context) error {
	fetched := make(chan struct{})
	go func() {
		defer close(fetched)
		s.fetchAll(ctx)
	}()
	learned := make(chan struct{})
	go func() {
		defer close(learned)
		s.learnNewest(ctx)
	}()
	for {
		s.step(ctx)
		timer := time.NewTimer(s.pollPause())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			<-fetched
			<-learned
			return ctx.Err()
		}
	}
}

// pollPause grows with the number of engines: so the reports of all of them take a
// bounded part of the entries' time.
func (s *Stager) pollPause() time.Duration {
	n := len(s.servers())
	return min(maxPollInterval, pollInterval*time.Duration(max(n, pollServers))/pollServers)
}

// fetchAll keeps what the engine holds, and is to hold, at hand: for its own loads
// and for other agents.
func (s *Stager) fetchAll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		for _, g := range s.wanted() {
			tryCtx, cancel := context.WithTimeout(ctx, completeTimeout)
			err := s.haveAtHand(tryCtx, g)
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

// haveAtHand completes a version, or takes in what lies at an engine that has
// loaded it: what is spoilt there nobody needs but peers, who check it.
func (s *Stager) haveAtHand(ctx context.Context, g goal) error {
	if s.holding.Load() >= g.version {
		_, err := s.openSet(ctx, g)
		return err
	}
	_, err := s.complete(ctx, g)
	return err
}

// step brings the engine one step nearer to the goal.
func (s *Stager) step(ctx context.Context) {
	g, ok := s.goal()
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	report, err := s.cfg.Engine.Report(callCtx)
	cancel()
	if err != nil {
		s.log.Debug().Err(err).Msg("engine gives no report")
		s.absent.Store(errors.Is(err, syscall.ECONNREFUSED))
		return
	}
	s.noteStart(report.Born)
	held := holds(report, g.model, g.engine.Layers)
	s.holding.Store(held)
	s.reported.Store(true)
	s.noteLoading(report, g, held)
	s.tell(report)
	if report.Busy || held >= g.version {
		return
	}
	set := s.sets.get(key{g.model, g.version})
	if set == nil || len(set.missing()) > 0 {
		return
	}
	if s.laid != g.version {
		if _, err := s.verified(ctx, g, set); err != nil {
			s.log.Warn().Err(err).Str("model", g.model).Uint64("version", g.version).Msg("weights not laid at the engine")
			return
		}
		s.laid = g.version
	}
	if held > 0 && !s.mayLoad(g, held, set) {
		return
	}
	s.load(ctx, g, set, report)
}

// noteStart notes which start of the engine reports: one that has started again holds
// nothing of before, and has no order in progress.
func (s *Stager) noteStart(born int64) {
	if s.born != 0 && born > s.born {
		s.log.Info().Int64("born", born).Int64("before", s.born).Msg("engine has started again")
		s.laid, s.loading, s.orderedAt = 0, false, time.Time{}
		s.atEngine.forget()
	}
	s.born = max(s.born, born)
}

func holds(r Report, model string, layers int) uint64 {
	b := fleet.BackendServer{Models: r.Models}
	return b.Holds(model, layers)
}

func (s *Stager) noteLoading(r Report, g goal, held uint64) {
	if s.loading && !r.Busy {
		s.loading = false
		s.log.Info().Str("model", g.model).Uint64("version", held).Dur("took_ms", clock.Since(s.orderedAt)).
			Msg("engine has loaded")
	}
}
