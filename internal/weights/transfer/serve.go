package transfer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/pace"
)

const (
	// uploadTurns is how many chunks are sent at once: few, so that each is
	// soon whole at its receiver and can be passed on.
	uploadTurns = 2
	// uploadQueue bounds the requests waiting for a turn.
	uploadQueue = 12
	// stallYield is how long a send may block before its turn passes on.
	stallYield = 100 * time.Millisecond
	// haveInterval is the least time between two have updates on a stream.
	haveInterval = 20 * time.Millisecond
	// queueInterval is how often a changed queue length alone is told.
	queueInterval = 100 * time.Millisecond

	minPiece     = 16 << 10
	maxPiece     = 64 << 10
	pieceSeconds = 0.002 // of the link's rate

	minBusyRetry = 5 * time.Millisecond
	maxBusyRetry = 2 * time.Second
)

// uploads is the queue of chunk requests that peers have made.
type uploads struct {
	turns   chan struct{}
	waiting atomic.Int32
	// took is the smoothed time of one upload within its turn, nanoseconds.
	took  atomic.Int64
	piece int
}

func newUploads(rate float64) *uploads {
	piece := maxPiece
	if rate > 0 {
		piece = min(maxPiece, max(minPiece, int(rate*pieceSeconds)))
	}
	return &uploads{turns: make(chan struct{}, uploadTurns), piece: piece}
}

func (u *uploads) queue() int { return int(u.waiting.Load()) }

// retryAfter is about when the queue will have room again.
func (u *uploads) retryAfter() time.Duration {
	d := time.Duration(u.took.Load()) * time.Duration(u.queue()) / uploadTurns / 2
	return min(maxBusyRetry, max(minBusyRetry, d))
}

func (u *uploads) observe(d time.Duration) {
	old := u.took.Load()
	u.took.Store(old + (int64(d)-old)/8)
}

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
		if m.uploads.queue() >= uploadQueue {
			m.metrics.busy.Inc()
			retry := m.uploads.retryAfter().Milliseconds()
			if err := e.send(&rpc.ChunkPiece{Id: req.GetId(), BusyRetryMs: max(1, retry), Last: true}); err != nil {
				return nil
			}
			continue
		}
		e.begin(ctx, req)
	}
}

func (e *exchange) cancel(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel, ok := e.cancels[id]; ok {
		cancel()
	}
}

func (e *exchange) begin(ctx context.Context, req *rpc.ChunkRequest) {
	ctx, cancel := context.WithCancel(ctx)
	e.mu.Lock()
	e.cancels[req.GetId()] = cancel
	e.mu.Unlock()
	e.manager.uploads.waiting.Add(1)
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		defer func() {
			e.mu.Lock()
			delete(e.cancels, req.GetId())
			e.mu.Unlock()
			cancel()
		}()
		e.upload(ctx, req)
	}()
}

// send sends one piece; the stream takes one message at a time.
func (e *exchange) send(piece *rpc.ChunkPiece) error {
	piece.Queue = uint32(e.manager.uploads.queue())
	e.sending.Lock()
	defer e.sending.Unlock()
	return e.stream.Send(piece)
}

// upload waits for a turn and sends a chunk in pieces.
func (e *exchange) upload(ctx context.Context, req *rpc.ChunkRequest) {
	u := e.manager.uploads
	turn := &turn{turns: u.turns}
	err := turn.take(ctx)
	u.waiting.Add(-1)
	if err != nil {
		return
	}
	defer turn.release()
	began := time.Now()
	var digest manifest.Digest
	copy(digest[:], req.GetDigest())
	content, ok := e.manager.lookup(digest)
	if !ok {
		_ = e.send(&rpc.ChunkPiece{Id: req.GetId(), NotHeld: true, Last: true})
		return
	}
	if e.sendContent(ctx, turn, req.GetId(), content) {
		u.observe(time.Since(began))
	}
}

func (e *exchange) sendContent(ctx context.Context, turn *turn, id uint64, c content) bool {
	buf := make([]byte, min(e.manager.uploads.piece, c.length))
	for offset := 0; offset < c.length; {
		p := buf[:min(len(buf), c.length-offset)]
		if err := c.read(p, offset); err != nil {
			_ = e.send(&rpc.ChunkPiece{Id: id, NotHeld: true, Last: true})
			return false
		}
		if turn.take(ctx) != nil || e.manager.link.Up(ctx, pace.Transfer, len(p)) != nil {
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

// turn is the right to send, which may be released early by a stalled send.
type turn struct {
	turns chan struct{}
	mu    sync.Mutex
	held  bool
}

// take waits for the turn unless it is held already.
func (t *turn) take(ctx context.Context) error {
	t.mu.Lock()
	held := t.held
	t.mu.Unlock()
	if held {
		return ctx.Err()
	}
	select {
	case t.turns <- struct{}{}:
		t.mu.Lock()
		t.held = true
		t.mu.Unlock()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *turn) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held {
		t.held = false
		<-t.turns
	}
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
	at := &cursor{}
	told := 0
	for ctx.Err() == nil {
		update, changed := h.next(at)
		if update == nil && m.uploads.queue() == told {
			waitAtMost(ctx, changed, queueInterval)
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
		waitAtMost(ctx, nil, haveInterval)
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
