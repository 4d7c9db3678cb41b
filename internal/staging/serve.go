package staging

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Metrics counts pieces and orders.
type Metrics struct {
	pieces   *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	failures *prometheus.CounterVec
	orders   prometheus.Counter
	relaid   prometheus.Counter
}

// NewMetrics registers the metrics of staging.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		pieces: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_staging_pieces_total", Help: "Pieces taken in, by source.",
		}, []string{"source"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_staging_bytes_total", Help: "Bytes of pieces taken in, by source.",
		}, []string{"source"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_staging_failures_total", Help: "Fetches that failed, by source.",
		}, []string{"source"}),
		orders: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_staging_orders_total", Help: "Orders to load given to the engine.",
		}),
		relaid: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_staging_relaid_total", Help: "Pieces that were spoilt at the engine and laid anew before a load.",
		}),
	}
	r.MustRegister(m.pieces, m.bytes, m.failures, m.orders, m.relaid)
	return m
}

// Register adds the service that other agents call.
func (s *Stager) Register(mux drpc.Mux) error {
	return rpc.DRPCRegisterPieces(mux, &server{stager: s})
}

// server implements rpc.DRPCPiecesServer.
type server struct{ stager *Stager }

// setWait is how often a peer that asks for a version not known yet is looked after.
const setWait = 100 * time.Millisecond

// heldInterval is the least time between two updates: a link of 7.3 Mbit/s brings a
// piece in 27 ms.
const heldInterval = 50 * time.Millisecond

// Held streams the pieces held of one version.
func (s *server) Held(req *rpc.HeldRequest, stream rpc.DRPCPieces_HeldStream) error {
	k := key{req.Model, req.Version}
	sent := 0
	if s.stager.sets.get(k) == nil && s.stager.engineHolds(stream.Context(), k) {
		return s.heldByEngine(k, stream)
	}
	for {
		set := s.stager.sets.get(k)
		var changed <-chan struct{}
		if set != nil {
			var added []uint32
			added, changed = set.since(sent)
			if len(added) > 0 {
				sent += len(added)
				if err := stream.Send(&rpc.HeldUpdate{Added: added}); err != nil {
					return err
				}
				time.Sleep(heldInterval) // what comes meanwhile shares the next update
				continue
			}
		}
		select {
		case <-changed:
		case <-time.After(setWait):
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// heldByEngine tells what lies at the engine; it is not checked here but by the
// peer that takes it.
func (s *server) heldByEngine(k key, stream rpc.DRPCPieces_HeldStream) error {
	held, err := s.stager.cfg.Engine.Held(stream.Context(), k.model)
	if err != nil {
		return err
	}
	u := &rpc.HeldUpdate{}
	for _, piece := range held {
		u.Added = append(u.Added, uint32(piece))
	}
	if err := stream.Send(u); err != nil {
		return err
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}

// engineHolds tells whether the engine has loaded exactly this version, so that
// what lies there most likely is this version, too.
func (s *Stager) engineHolds(ctx context.Context, k key) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := s.cfg.Engine.Report(ctx)
	return err == nil && holds(report, k.model, 0) == k.version
}

// Piece returns one piece.
func (s *server) Piece(ctx context.Context, req *rpc.PieceRequest) (*rpc.PieceResponse, error) {
	began := clock.Now()
	if req.Wait && !s.waitFor(ctx, key{req.Model, req.Version}, int(req.Piece)) {
		return &rpc.PieceResponse{}, nil
	}
	patience := uploadWait
	if req.Wait {
		patience = maxPieceWait
	}
	if !s.takeSlot(ctx, patience) {
		return &rpc.PieceResponse{Busy: true}, nil
	}
	defer func() { <-s.stager.slots }()
	k := key{req.Model, req.Version}
	data, err := s.piece(ctx, k, int(req.Piece))
	if err != nil {
		return &rpc.PieceResponse{}, nil // not held, or not now: the peer asks elsewhere
	}
	s.stager.pace(len(data))
	return &rpc.PieceResponse{Data: data, WaitedMs: uint32(clock.Since(began).Milliseconds())}, nil
}

// maxPieceWait bounds the wait for a piece that is still to come, and for an upload
// slot after it: the caller asks elsewhere then.
const maxPieceWait = 2 * time.Second

// waitFor waits until a piece is held; false if it is not in time.
func (s *server) waitFor(ctx context.Context, k key, piece int) bool {
	deadline := time.NewTimer(maxPieceWait)
	defer deadline.Stop()
	for {
		var changed <-chan struct{}
		if set := s.stager.sets.get(k); set != nil {
			_, changed = set.since(0)
			if set.get(piece) != nil {
				return true
			}
		}
		select {
		case <-changed:
		case <-time.After(setWait):
		case <-deadline.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// uploadWait is how long a peer may wait for an upload slot: sixteen pieces of 24 KB on a
// link of 7.3 Mbit/s. One that is refused does not come back for badPause.
const uploadWait = 450 * time.Millisecond

// takeSlot takes an upload slot; false if none is free in time.
func (s *server) takeSlot(ctx context.Context, patience time.Duration) bool {
	select {
	case s.stager.slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case s.stager.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (s *server) piece(ctx context.Context, k key, piece int) ([]byte, error) {
	if set := s.stager.sets.get(k); set != nil {
		return set.get(piece), nil
	}
	return s.stager.cfg.Engine.Get(ctx, k.model, piece)
}

// pace waits until the link has had the time to send what was sent before, so
// that the connection's buffers do not hold several pieces.
func (s *Stager) pace(bytes int) {
	if s.cfg.LinkMbps <= 0 {
		return
	}
	took := timeOnLink(bytes, uploadShare*s.cfg.LinkMbps)
	s.uploadMu.Lock()
	now := clock.Now()
	wait := s.uploadFree.Sub(now)
	if wait < 0 {
		wait = 0
	}
	s.uploadFree = now.Add(wait + took)
	s.uploadMu.Unlock()
	time.Sleep(wait)
}

// Digests returns the digests of a version, none if they are not known.
func (s *server) Digests(_ context.Context, req *rpc.HeldRequest) (*rpc.DigestsResponse, error) {
	resp := &rpc.DigestsResponse{}
	if set := s.stager.sets.get(key{req.Model, req.Version}); set != nil {
		for _, d := range set.digests {
			resp.Digests = append(resp.Digests, d[:])
		}
	}
	return resp, nil
}
