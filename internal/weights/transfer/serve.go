package transfer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/pace"
)

const (
	// Have updates on a stream are told apart by haveInterval, the first ones
	// of a burst by eagerInterval since all depends on them, and by
	// lazyInterval when few chunks have been added for the number told before.
	eagerInterval = 5 * time.Millisecond
	haveInterval  = 20 * time.Millisecond
	lazyInterval  = 60 * time.Millisecond
	eagerCount    = 32
	fewShare      = 16 // fewer than one in fewShare are few
)

// exchange is one peer's stream of chunk requests.
type exchange struct {
	manager *Manager
	stream  rpc.DRPCWeights_ExchangeStream
	running sync.WaitGroup

	sending sync.Mutex

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// Exchange implements rpc.DRPCWeightsServer.
func (m *Manager) Exchange(stream rpc.DRPCWeights_ExchangeStream) error {
	e := &exchange{manager: m, stream: stream, cancels: map[uint64]context.CancelFunc{}}
	ctx, cancel := context.WithCancel(stream.Context())
	defer e.running.Wait()
	defer cancel()
	stop := context.AfterFunc(m.ctx, cancel)
	defer stop()
	for {
		req, err := stream.Recv()
		if err != nil {
			return nil // the peer has gone; nothing to tell it
		}
		m.metrics.controlReceived(proto.Size(req))
		if req.GetCancel() {
			e.cancel(req.GetId())
			continue
		}
		turn := m.uploads.enter(req.GetProgress())
		if turn == nil {
			if e.sendBusy(req.GetId()) != nil {
				return nil
			}
			continue
		}
		e.begin(ctx, req, turn)
	}
}

func (e *exchange) sendBusy(id uint64) error {
	e.manager.metrics.busy.Inc()
	retry := e.manager.uploads.retryAfter().Milliseconds()
	return e.send(&rpc.ChunkPiece{Id: id, BusyRetryMs: max(1, retry), Last: true})
}

func (e *exchange) cancel(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel, ok := e.cancels[id]; ok {
		cancel()
	}
}

func (e *exchange) begin(ctx context.Context, req *rpc.ChunkRequest, turn *turn) {
	ctx, cancel := context.WithCancel(ctx)
	e.mu.Lock()
	e.cancels[req.GetId()] = cancel
	e.mu.Unlock()
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		defer func() {
			e.mu.Lock()
			delete(e.cancels, req.GetId())
			e.mu.Unlock()
			cancel()
		}()
		defer turn.release()
		e.upload(ctx, req, turn)
	}()
}

// send sends one piece; the stream takes one message at a time.
func (e *exchange) send(piece *rpc.ChunkPiece) error {
	piece.Queue = uint32(e.manager.uploads.queue())
	e.sending.Lock()
	defer e.sending.Unlock()
	return e.stream.Send(piece)
}

// upload waits for its turn and sends a chunk in pieces.
func (e *exchange) upload(ctx context.Context, req *rpc.ChunkRequest, turn *turn) {
	if turn.wait(ctx) != nil {
		return
	}
	began := time.Now()
	var digest manifest.Digest
	copy(digest[:], req.GetDigest())
	content, ok := e.manager.lookup(digest)
	if !ok {
		_ = e.send(&rpc.ChunkPiece{Id: req.GetId(), NotHeld: true, Last: true})
		return
	}
	if e.sendContent(ctx, turn, req.GetId(), content) {
		e.manager.uploads.observe(time.Since(began))
	}
}

func (e *exchange) sendContent(ctx context.Context, turn *turn, id uint64, c content) bool {
	buf := e.manager.pieces.get(e.manager.uploads.piece)
	defer e.manager.pieces.put(buf)
	for offset := 0; offset < c.length; {
		p := buf[:min(len(buf), c.length-offset)]
		if err := c.read(p, offset); err != nil {
			_ = e.send(&rpc.ChunkPiece{Id: id, NotHeld: true, Last: true})
			return false
		}
		if turn.wait(ctx) != nil || e.manager.link.Up(ctx, pace.Transfer, len(p)) != nil {
			return false
		}
		offset += len(p)
		piece := &rpc.ChunkPiece{Id: id, Data: p, Last: offset == c.length}
		timer := time.AfterFunc(stallYield, turn.release)
		err := e.send(piece)
		timer.Stop()
		if err != nil {
			return false
		}
		e.manager.metrics.sent.Add(float64(len(p)))
	}
	return true
}

// Haves implements rpc.DRPCWeightsServer.
func (m *Manager) Haves(req *rpc.HavesRequest, stream rpc.DRPCWeights_HavesStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(m.ctx, cancel)
	defer stop()
	m.metrics.controlReceived(proto.Size(req))
	var id manifest.Digest
	copy(id[:], req.GetManifest())
	h := m.hub(id)
	at := &cursor{generation: -1} // the first update says what is held, if nothing
	told := 0
	for ctx.Err() == nil {
		update, changed := h.next(at)
		if update == nil && m.uploads.queue() == told {
			waitAtMost(ctx, changed, lazyInterval)
			continue
		}
		if update == nil {
			update = &rpc.HaveUpdate{}
		}
		told = m.uploads.queue()
		update.Queue = uint32(told)
		m.metrics.controlSent(proto.Size(update))
		if err := stream.Send(update); err != nil {
			return nil
		}
		if at.position < eagerCount {
			waitAtMost(ctx, nil, eagerInterval)
			continue
		}
		waitAtMost(ctx, nil, haveInterval)
		if h.few(at) {
			waitAtMost(ctx, nil, lazyInterval-haveInterval)
		}
	}
	return nil
}

func waitAtMost(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
