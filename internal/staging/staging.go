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
	"crypto/sha256"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

// Digest is the SHA-256 of a piece.
type Digest [sha256.Size]byte

// Report is what an engine says of itself.
type Report struct {
	Models []fleet.Loaded
	// Busy tells that an order is in progress.
	Busy             bool
	Running, Waiting int
}

// Errors of an engine.
var (
	// ErrNotHeld says that a piece does not lie at the engine.
	ErrNotHeld = errors.New("piece is not held")
	// ErrOrderRefused says that an order does not fit the engine's state.
	ErrOrderRefused = errors.New("order refused")
)

// Engine is the backend server beside the agent.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Held lists the pieces of a model that lie there, of whatever version.
	Held(ctx context.Context, model string) ([]int, error)
	Get(ctx context.Context, model string, piece int) ([]byte, error)
	Put(ctx context.Context, model string, piece int, data []byte) error
	// Load orders the engine to load what lies there as this version.
	Load(ctx context.Context, model string, version uint64) error
}

// Origin is where weights come from.
type Origin interface {
	Digests(ctx context.Context, addr, model string, version uint64) ([]Digest, error)
	Piece(ctx context.Context, addr, model string, version uint64, piece int) ([]byte, error)
}

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

	// Below: owned by the goroutine of step.
	orderedAt time.Time
	loading   bool
	// laid is the version that was last laid at the engine.
	laid  uint64
	epoch uint64
	told  *rpc.AgentReport
}

// New makes a stager.
func New(cfg Config) *Stager {
	return &Stager{
		cfg: cfg, log: cfg.Logger, pool: rpcconn.NewPool(), sets: newSets(),
		slots: make(chan struct{}, maxUploads), now: time.Now,
		epoch: uint64(time.Now().UnixNano()), told: &rpc.AgentReport{},
	}
}

// tell sends the engine's state to the entries, by the control servers.
func (s *Stager) tell(r Report) {
	next := &rpc.AgentReport{
		Addr: s.cfg.EngineAddr, Epoch: s.epoch, Seq: s.told.Seq + 1, Loading: s.loading,
		Models: follow.ModelsToProto(r.Models), Running: uint32(r.Running), Waiting: uint32(r.Waiting),
	}
	urgent := next.Loading != s.told.Loading || !follow.SameModels(next.Models, s.told.Models)
	s.told = next
	s.cfg.Tell(next, urgent)
}

// Run works until ctx is done: one goroutine fetches, one gives orders.
func (s *Stager) Run(ctx context.Context) error {
	fetched := make(chan struct{})
	go func() {
		defer close(fetched)
		s.fetchAll(ctx)
	}()
	for {
		s.step(ctx)
		timer := time.NewTimer(s.pollPause())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			<-fetched
			return ctx.Err()
		}
	}
}

// pollPause grows with the number of engines: so the reports of all of them take a
// bounded part of the entries' time.
func (s *Stager) pollPause() time.Duration {
	n := len(s.cfg.View().Servers[s.cfg.Service])
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

// wanted returns the versions to have at hand, in the order in which to fetch them:
// the next one to load, then the newest. Pieces are fetched while the engine is still
// starting, from peers only: whether it holds them already is not known. A VM that is
// added serves 0.9 s earlier by that (a played day; its engine starts that much later
// than its agent).
func (s *Stager) wanted() []goal {
	next, ok := s.goal()
	if !ok || !s.reported.Load() && !s.absent.Load() {
		return nil
	}
	newest := next
	if v, named := s.cfg.View().Versions[next.model]; named && v.Number > next.version {
		newest.version, newest.named = v.Number, v
		return []goal{next, newest}
	}
	return []goal{next}
}

// overtaken tells whether another version than g is to be fetched first.
func (s *Stager) overtaken(g goal) bool {
	for _, other := range s.wanted() {
		if other.version == g.version {
			return false
		}
		if set := s.sets.get(key{other.model, other.version}); set == nil || len(set.missing()) > 0 {
			return true
		}
	}
	return true
}

// goal is the version that the engine is to hold.
type goal struct {
	model   string
	version uint64
	engine  *fleet.Engine
	origin  *fleet.Origin
	// named is the version as it was named; zero if it never was.
	named ledger.Version
}

// goal returns what the engine is to hold; false while that is not known.
func (s *Stager) goal() (goal, bool) {
	view := s.cfg.View()
	if view.Table == nil {
		return goal{}, false
	}
	service := view.Table.Service(s.cfg.Service)
	origin := view.Table.Origin()
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 || service.Engine.Pieces == 0 || origin == nil {
		return goal{}, false
	}
	g := goal{model: service.Engine.Models[0], version: 1, engine: service.Engine, origin: origin}
	if v, ok := view.Versions[g.model]; ok && v.Number > g.version {
		v = s.nearest(g, v)
		g.version, g.named = v.Number, v
	}
	return g, true
}

// nearest returns the version to go for: the newest, or the one before it if most
// of that had time to arrive before the newest was named. To begin anew would leave
// the engines without a version that may be used. All agents judge by the same
// times, so that they go for the same.
func (s *Stager) nearest(g goal, newest ledger.Version) ledger.Version {
	before := newest.Previous
	if before == nil || before.Number == 0 || time.Since(before.AppliedAt) > s.cfg.VersionBound {
		return newest
	}
	if s.holding.Load() >= before.Number || newest.AppliedAt.Sub(before.AppliedAt) < g.originTime() {
		return newest
	}
	return *before
}

// originTime is how long the origin's link takes for one copy.
func (g goal) originTime() time.Duration {
	if g.origin.LinkMbps <= 0 {
		return 0
	}
	bits := float64(g.engine.Pieces*g.engine.PieceBytes) * 8
	return time.Duration(bits / (g.origin.LinkMbps * 1e6) * float64(time.Second))
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
		if err := s.verifyStaged(ctx, g, set); err != nil {
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

func holds(r Report, model string, layers int) uint64 {
	b := fleet.BackendServer{Models: r.Models}
	return b.Holds(model, layers)
}

func (s *Stager) noteLoading(r Report, g goal, held uint64) {
	if s.loading && !r.Busy {
		s.loading = false
		s.log.Info().Str("model", g.model).Uint64("version", held).Dur("took_ms", time.Since(s.orderedAt)).
			Msg("engine has loaded")
	}
}

// load lays what was spoilt anew and orders the engine to load.
func (s *Stager) load(ctx context.Context, g goal, set *pieceSet, report Report) {
	if time.Since(s.orderedAt) < orderRetry {
		return
	}
	began := s.now()
	if err := s.verifyStaged(ctx, g, set); err != nil {
		s.log.Warn().Err(err).Str("model", g.model).Uint64("version", g.version).Msg("staged weights not verified")
		return
	}
	s.loading = true
	s.tell(report) // entries stop to send before the engine stops to take
	if age := s.now().Sub(began); age > verifiedFor {
		s.loading = false // the next report says so
		s.log.Warn().Dur("age_ms", age).Str("model", g.model).Uint64("version", g.version).
			Msg("staged weights were verified too long ago; verifying again")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.orderedAt = time.Now()
	err := s.cfg.Engine.Load(callCtx, g.model, g.version)
	s.loading = err == nil
	s.cfg.Metrics.orders.Inc()
	s.log.Info().Err(err).Str("model", g.model).Uint64("version", g.version).
		Dur("since_named_ms", g.age()).Msg("engine ordered to load")
}

func (g goal) age() time.Duration {
	if g.named.Number == 0 {
		return 0
	}
	return time.Since(g.named.AppliedAt)
}

// verifyStaged reads all pieces back from the engine and lays those anew that
// were spoilt: the engine takes them in unchecked.
func (s *Stager) verifyStaged(ctx context.Context, g goal, set *pieceSet) error {
	for i, digest := range set.digests {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		data, err := s.cfg.Engine.Get(callCtx, g.model, i)
		cancel()
		if err == nil && sha256.Sum256(data) == digest {
			continue
		}
		if err != nil && !errors.Is(err, ErrNotHeld) {
			return err
		}
		callCtx, cancel = context.WithTimeout(ctx, callTimeout)
		err = s.cfg.Engine.Put(callCtx, g.model, i, set.get(i))
		cancel()
		if err != nil {
			return err
		}
		s.cfg.Metrics.relaid.Inc()
	}
	return nil
}

// loadWindow is the part of the bound on a version in which engines that serve
// are ordered to load, one after the other: an engine that loads takes nothing
// new until its requests have ended.
const (
	loadWindowStart = 0.38
	loadWindowEnd   = 0.85
	// loadMargin is how long before the bound the last engine is ordered to load at
	// the latest: entries stop to use old weights 1 s before it.
	loadMargin = 1300 * time.Millisecond
)

// mayLoad spreads the loads of engines that serve over the time allowed.
func (s *Stager) mayLoad(g goal, held uint64, set *pieceSet) bool {
	// What is held must not be used VersionBound after the next version was named,
	// which may have been before the newest one.
	named := g.named.NamedAfter(held)
	if named.IsZero() {
		return true
	}
	rank, n := s.rank()
	share := float64(rank) / float64(max(n-1, 1))
	return time.Since(named) >= loadTime(s.cfg.VersionBound, set.completedAt().Sub(named), share)
}

// loadTime returns how long after the naming of a version an engine is ordered to
// load, which comes after this share of the others and has the pieces since complete.
// Where they come late, as from an origin that was down, what is left of the time is
// shared: on a day with that, 58 of 59 engines loaded at once, and nothing was served
// for 1.5 s.
func loadTime(bound, complete time.Duration, share float64) time.Duration {
	begin := max(time.Duration(loadWindowStart*float64(bound)), complete)
	end := max(time.Duration(loadWindowEnd*float64(bound)), bound-loadMargin)
	if begin >= end {
		return begin
	}
	return begin + time.Duration(share*float64(end-begin))
}
