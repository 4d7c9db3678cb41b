package staging

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Metrics are the metrics of staging.
type Metrics struct {
	pieces   *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	failures *prometheus.CounterVec
	orders   prometheus.Counter
	relaid   prometheus.Counter
	// corrected counts the digests that were wrong, confirmed those that a second answer of the origin confirmed, contested those for
	// which answers differ.
	corrected, confirmed, contested prometheus.Counter
}

// NewMetrics returns metrics registered with r.
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
		corrected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_staging_digests_corrected_total", Help: "Digests of pieces that were received wrong, and corrected.",
		}),
		confirmed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_staging_digests_confirmed_total", Help: "Digests of pieces that a second answer of the origin confirmed.",
		}),
		contested: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lynxgate_staging_digests_contested_total", Help: "Digests of pieces for which answers of the origin differ.",
		}),
	}
	r.MustRegister(m.pieces, m.bytes, m.failures, m.orders, m.relaid, m.corrected, m.confirmed, m.contested)
	return m
}

// Register registers the rpc.Pieces service for other agents.
func (s *Stager) Register(mux drpc.Mux) error {
	return rpc.DRPCRegisterPieces(mux, &server{stager: s})
}

// server implements rpc.DRPCPiecesServer.
type server struct{ stager *Stager }

// setPollInterval is how often requests of peers check for a version that is not known yet.
const setPollInterval = 100 * time.Millisecond

// updateInterval is the minimum time between two updates. A link of 7.3 Mbit/s receives a
// piece every 27 ms.
const updateInterval = 50 * time.Millisecond

// Held streams the pieces that this agent has of one version.
func (s *server) Held(req *rpc.HeldRequest, stream rpc.DRPCPieces_HeldStream) error {
	k := key{req.Model, req.Version}
	sent := 0
	if s.stager.sets.get(k) == nil && s.stager.engineHolds(stream.Context(), k) {
		return s.streamStaged(k, stream)
	}
	for {
		set := s.stager.sets.get(k)
		var changed <-chan struct{}
		if set != nil {
			var added []uint32
			added, changed = set.addedAfter(sent)
			if len(added) > 0 {
				sent += len(added)
				if err := stream.Send(&rpc.HeldUpdate{Added: added}); err != nil {
					return err
				}
				time.Sleep(updateInterval) // pieces added meanwhile share the next update
				continue
			}
		}
		select {
		case <-changed:
		case <-time.After(setPollInterval):
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// streamStaged streams the pieces staged at the engine. They are not verified here; peers
// verify them.
func (s *server) streamStaged(k key, stream rpc.DRPCPieces_HeldStream) error {
	staged, err := s.stager.cfg.Engine.StagedPieces(stream.Context(), k.model)
	if err != nil {
		return err
	}
	u := &rpc.HeldUpdate{}
	for _, piece := range staged {
		u.Added = append(u.Added, uint32(piece))
	}
	if err := stream.Send(u); err != nil {
		return err
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}

// engineHolds reports whether the engine has loaded exactly this version, so that the
// pieces staged there most likely belong to it.
func (s *Stager) engineHolds(ctx context.Context, k key) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := s.cfg.Engine.Report(ctx)
	return err == nil && holds(report, k.model, 0) == k.version
}

// Piece returns one piece, or a response without data if the piece is not available or no
// upload slot is free in time. With req.Wait it waits for a piece that has not arrived yet.
func (s *server) Piece(ctx context.Context, req *rpc.PieceRequest) (*rpc.PieceResponse, error) {
	began := clock.Now()
	if req.Wait && !s.waitFor(ctx, key{req.Model, req.Version}, int(req.Piece)) {
		return &rpc.PieceResponse{}, nil
	}
	timeout := uploadWait
	if req.Wait {
		timeout = maxPieceWait
	}
	if !s.acquireSlot(ctx, timeout) {
		return &rpc.PieceResponse{Busy: true}, nil
	}
	defer func() { <-s.stager.slots }()
	k := key{req.Model, req.Version}
	data, confirmed, err := s.piece(ctx, k, int(req.Piece))
	if err != nil {
		return &rpc.PieceResponse{}, nil // the peer uses another source
	}
	s.stager.pace(len(data))
	return &rpc.PieceResponse{Data: data, WaitedMs: uint32(clock.Since(began).Milliseconds()), Confirmed: confirmed}, nil
}

// maxPieceWait limits the wait for a piece that has not arrived yet, and then the wait for
// an upload slot; after it the caller uses another source.
const maxPieceWait = 2 * time.Second

// waitFor waits until this agent has a piece; it returns false on timeout.
func (s *server) waitFor(ctx context.Context, k key, piece int) bool {
	deadline := time.NewTimer(maxPieceWait)
	defer deadline.Stop()
	for {
		var changed <-chan struct{}
		if set := s.stager.sets.get(k); set != nil {
			_, changed = set.addedAfter(0)
			if set.get(piece) != nil {
				return true
			}
		}
		select {
		case <-changed:
		case <-time.After(setPollInterval):
		case <-deadline.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// uploadWait is how long a peer waits for an upload slot: the time of sixteen pieces of 24 KB
// on a link of 7.3 Mbit/s. A peer that gets none does not retry before peerBackoff.
const uploadWait = 450 * time.Millisecond

// acquireSlot acquires an upload slot; it returns false on timeout.
func (s *server) acquireSlot(ctx context.Context, timeout time.Duration) bool {
	select {
	case s.stager.slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case s.stager.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// piece returns a piece and whether its digest is confirmed.
func (s *server) piece(ctx context.Context, k key, piece int) (data []byte, confirmed bool, err error) {
	if set := s.stager.sets.get(k); set != nil {
		data, confirmed = set.getConfirmed(piece)
		return data, confirmed, nil
	}
	data, err = s.stager.cfg.Engine.Get(ctx, k.model, piece)
	return data, false, err
}

// pace waits until the link has had time to send the previous pieces, so that the
// connection's buffers never contain several pieces.
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

// Digests returns the digests of a version, or none if they are not known here or in doubt.
func (s *server) Digests(_ context.Context, req *rpc.DigestsRequest) (*rpc.DigestsResponse, error) {
	set := s.stager.sets.get(key{req.Model, req.Version})
	if set == nil || set.inDoubt() {
		return &rpc.DigestsResponse{}, nil
	}
	return encodeDigests(set.answer(), req.Known), nil
}
