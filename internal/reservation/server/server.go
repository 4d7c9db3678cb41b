// Package server is the agent's side of reservations: it decides on the requests of entries for a slot
// of the engine beside it.
//
// State: the reservation.Ledger of the engine, behind one lock. Messages: rpc.Reservations from
// entries; the engine's report.
package server

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"
	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/reservation"
	"lynxgate.dev/lynxgate/internal/reservation/wire"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/staging"
)

const (
	// reportReuse is the age up to which a report serves further decisions: an engine finishes a
	// request each 100 ms.
	reportReuse = 5 * time.Millisecond
	// reportTimeout bounds one request to the engine for its report.
	reportTimeout = 1 * time.Second
)

// Config configures a Server.
type Config struct {
	// Service and EngineAddr are the service of the engine and its ip:port.
	Service    string
	EngineAddr string
	// Report requests the engine's report.
	Report func(ctx context.Context) (staging.Report, error)
	// ConnectedAt returns when the connection was established over which the last report came, a time of package clock; nil if that is
	// not known.
	ConnectedAt func() time.Time
	View        func() *follow.View
	Logger      zerolog.Logger
	Metrics     *Metrics
}

// Server implements rpc.DRPCReservationsServer. Create it with New.
type Server struct {
	cfg     Config
	reports singleflight.Group

	mu sync.Mutex
	// ledger is nil until the configuration declares the engine.
	ledger *reservation.Ledger
	engine *fleet.Engine
	// observedAt is when the newest report was requested.
	observedAt time.Time
	born       int64
	slots      Slots
	loading    bool
	decisions  decisions
	drops      drops
}

// New returns a server without reservations.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	held := s.held
	cfg.Metrics.held.Store(&held)
	return s
}

// held returns the number of reservations that were not released.
func (s *Server) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger == nil {
		return 0
	}
	now := clock.Now()
	open := s.ledger.Held(now)
	s.noteDropped(now)
	return open
}

// noteDropped counts the reservations that the ledger has dropped, for metrics and the log.
func (s *Server) noteDropped(now time.Time) {
	dropped := s.ledger.TakeDropped()
	for _, d := range dropped {
		s.cfg.Metrics.dropped.WithLabelValues(string(d.Cause)).Inc()
	}
	if s.drops.add(dropped); s.drops.due(now) {
		s.drops.log(now, s.ledger.Load(now), s.cfg.Logger)
	}
}

// Register registers the rpc.Reservations service for entries.
func (s *Server) Register(mux drpc.Mux) error { return rpc.DRPCRegisterReservations(mux, s) }

// SetLoading records that the engine is about to be ordered to load weights, or that the load is over. No
// request is granted meanwhile.
func (s *Server) SetLoading(loading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = loading
	if s.updateEngine() {
		s.ledger.SetLoading(loading)
	}
}

// Reserve decides on a request for a slot.
func (s *Server) Reserve(ctx context.Context, req *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
	silent := req.Addr == s.cfg.EngineAddr && !s.refresh(ctx, reservation.ReportWait(time.Duration(req.TimeoutUs)*time.Microsecond))
	if ctx.Err() != nil { // the entry has given it up, and uses no decision
		return nil, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := reservation.Decision{Reason: reservation.ReasonUnknown}
	now := clock.Now()
	switch {
	case !s.meant(req.Addr, req.Born) || !s.updateEngine():
	case silent:
		d.Reason = reservation.ReasonSilent
	default:
		d = s.ledger.Ask(now, wire.RequestFromProto(req))
		s.noteDropped(now)
	}
	s.cfg.Metrics.observe(int(req.Rank), d)
	s.decisions.note(now, d, s.cfg.Logger)
	return wire.DecisionToProto(d), nil
}

// Release ends a reservation.
func (s *Server) Release(_ context.Context, req *rpc.ReleaseRequest) (*rpc.ReleaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger != nil && s.meant(req.Addr, req.Born) {
		s.ledger.Release(clock.Now(), req.Id)
	}
	return &rpc.ReleaseResponse{}, nil
}

// meant reports whether a call is about this engine, in its present incarnation as far as both are known.
func (s *Server) meant(addr string, born int64) bool {
	return addr == s.cfg.EngineAddr && (born == 0 || s.born == 0 || born == s.born)
}

// updateEngine takes the engine's cost model from the configuration; false if there is none.
func (s *Server) updateEngine() bool {
	view := s.cfg.View()
	if view.Table == nil {
		return s.ledger != nil
	}
	service := view.Table.Service(s.cfg.Service)
	if service == nil || service.Engine == nil {
		return s.ledger != nil
	}
	switch {
	case s.ledger == nil:
		s.ledger = reservation.New(service.Engine)
		s.ledger.SetLoading(s.loading)
	case s.engine != service.Engine:
		s.ledger.SetEngine(service.Engine)
	}
	s.engine = service.Engine
	return true
}

// EngineAnswers reports whether the engine answers a question for its report within the wait, or has just answered one.
func (s *Server) EngineAnswers(ctx context.Context, wait time.Duration) bool {
	return s.refresh(ctx, wait)
}

// Slots is what an engine's newest report states of its slots.
type Slots struct {
	// Free is 0 if requests wait for a slot or the number of slots is not known.
	Free int
	// Pace is how many times as long as usual the engine's work takes.
	Pace float64
	// AsOf is when the report was asked for, ConnectedAt when the connection was established over which it came, zero if that is not
	// known. Both are times of package clock.
	AsOf, ConnectedAt time.Time
}

// Slots returns what the engine's newest report states of its slots.
func (s *Server) Slots() Slots {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots
}

// refresh has the ledger observe the engine's report unless one is at hand that is young enough. Concurrent
// calls share one request to the engine. It returns false if the engine has not answered within the wait: a request that is sent
// to an engine that stands still can't be taken back.
func (s *Server) refresh(ctx context.Context, wait time.Duration) bool {
	s.mu.Lock()
	fresh := clock.Since(s.observedAt) < reportReuse
	s.mu.Unlock()
	if fresh {
		return true
	}
	done := s.reports.DoChan("", func() (any, error) { return nil, s.observe() })
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case report := <-done:
		return report.Err == nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (s *Server) observe() error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	asked := clock.Now()
	report, err := s.cfg.Report(ctx)
	if err != nil {
		s.cfg.Logger.Debug().Err(err).Msg("engine report failed")
		return err
	}
	var connectedAt time.Time
	if s.cfg.ConnectedAt != nil {
		connectedAt = s.cfg.ConnectedAt()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.updateEngine() {
		return nil
	}
	s.observedAt, s.born = asked, report.Born
	r := reservation.Report{
		StartUnixMs: report.Born, Running: report.Running, Waiting: report.Waiting, Pace: report.Pace, Busy: report.Busy,
	}
	if len(s.engine.Models) > 0 { // agents load the first one
		loaded := fleet.BackendServer{Models: report.Models}
		r.Version = loaded.Holds(s.engine.Models[0], s.engine.Layers)
	}
	s.slots = Slots{Pace: r.Pace, AsOf: asked, ConnectedAt: connectedAt}
	if r.Waiting == 0 {
		s.slots.Free = max(s.engine.Slots-r.Running, 0)
	}
	now := clock.Now()
	s.ledger.Observe(now, r)
	s.noteDropped(now)
	s.cfg.Metrics.reported(s.engine.Slots, r)
	return nil
}
