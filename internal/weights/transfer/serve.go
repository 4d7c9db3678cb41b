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
	// haveInterval is the interval between have updates on a stream. It is
	// eagerInterval for the first eagerCount changes, since the first chunks
	// have to spread fast, and lazyInterval while the new changes are few in
	// proportion to those already sent.
	eagerInterval = 5 * time.Millisecond
	haveInterval  = 20 * time.Millisecond
	lazyInterval  = 60 * time.Millisecond
	eagerCount    = 32
	fewShare      = 16 // fewer than one in fewShare is few
)

// exchange serves one peer's stream of chunk requests.
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
			return nil // the connection is closed, so an error could not be sent
		}
		m.metrics.controlReceived(proto.Size(req))
		if req.GetCancel() {
			e.cancel(req.GetId())
			continue
		}
		slot := m.uploads.enqueue(req.GetProgress())
		if slot == nil {
			if e.sendBusy(req.GetId()) != nil {
				return nil
			}
			continue
		}
		e.startUpload(ctx, req, slot)
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

func (e *exchange) startUpload(ctx context.Context, req *rpc.ChunkRequest, slot *slot) {
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
		defer slot.release()
		e.upload(ctx, req, slot)
	}()
}

// send sends one piece; the stream takes one message at a time.
func (e *exchange) send(piece *rpc.ChunkPiece) error {
	piece.Queue = uint32(e.manager.uploads.queue())
	e.sending.Lock()
	defer e.sending.Unlock()
	return e.stream.Send(piece)
}

// upload waits for a slot and sends a chunk in pieces.
func (e *exchange) upload(ctx context.Context, req *rpc.ChunkRequest, slot *slot) {
	if slot.wait(ctx) != nil {
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
	if e.sendContent(ctx, slot, req.GetId(), content) {
		e.manager.uploads.observe(time.Since(began))
	}
}

func (e *exchange) sendContent(ctx context.Context, slot *slot, id uint64, c content) bool {
	buf := e.manager.pieces.get(e.manager.uploads.piece)
	defer e.manager.pieces.put(buf)
	for offset := 0; offset < c.length; {
		p := buf[:min(len(buf), c.length-offset)]
		if err := c.read(p, offset); err != nil {
			_ = e.send(&rpc.ChunkPiece{Id: id, NotHeld: true, Last: true})
			return false
		}
		if slot.wait(ctx) != nil || e.manager.link.Up(ctx, pace.Transfer, len(p)) != nil {
			return false
		}
		offset += len(p)
		piece := &rpc.ChunkPiece{Id: id, Data: p, Last: offset == c.length}
		timer := time.AfterFunc(stallYield, slot.release)
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
	at := &cursor{generation: -1} // so that the first update is a full one, even if nothing is held
	sentQueue := 0
	for ctx.Err() == nil {
		update, changed := h.next(at)
		if update == nil && m.uploads.queue() == sentQueue {
			waitAtMost(ctx, changed, lazyInterval)
			continue
		}
		if update == nil {
			update = &rpc.HaveUpdate{}
		}
		sentQueue = m.uploads.queue()
		update.Queue = uint32(sentQueue)
		m.metrics.controlSent(proto.Size(update))
		if err := stream.Send(update); err != nil {
			return nil
		}
		if at.position < eagerCount {
			waitAtMost(ctx, nil, eagerInterval)
			continue
		}
		waitAtMost(ctx, nil, haveInterval)
		if h.fewChanges(at) {
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
