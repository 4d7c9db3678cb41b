package transfer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
	"lynxgate.dev/lynxgate/internal/weights/pace"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

const (
	// redialFirst is the delay after a connection was lost or failed. It doubles each
	// time up to redialMax, and is reset after a connection that lasted longer.
	redialFirst = 100 * time.Millisecond
	redialMax   = 5 * time.Second
	// maxMessage bounds one message from a peer, in bytes: a piece, or a
	// complete bitmap.
	maxMessage = 1 << 20
	// requestBuffer is how many requests may wait to be written to a peer.
	requestBuffer = 64
	// progressEvery is the minimum interval between two reports of a download's
	// progress.
	progressEvery = 50 * time.Millisecond
)

var (
	errLinkDown = errors.New("peer not connected")
)

// download is one request for content to a peer.
type download struct {
	id     uint64
	digest manifest.Digest
	// buf receives the content; it grows up to limit bytes.
	buf           []byte
	limit         int
	progressMilli uint32 // thousandths of the version held here
	progress      func()
	reported      time.Time // when progress was last called
	// done is called once, from the link's goroutine, unless the request is cancelled. It
	// calls release.
	done func(swarm.Outcome, time.Duration)
	// release returns the buffer and its share of the memory bound.
	release func()
}

// link is the connection to one peer for one version: a stream of what the
// peer holds and a stream of chunk requests, each on a connection of its own
// since a drpc connection carries one stream at a time.
type link struct {
	manager *Manager
	peer    Peer
	id      manifest.Digest
	// onUpdate is called for each update, onQueue when the length of the peer's
	// upload queue changes, onLost when a connection fails or closes.
	onUpdate func(*rpc.HaveUpdate)
	onQueue  func(int)
	onLost   func()
	stop     context.CancelFunc

	mu        sync.Mutex
	downloads map[uint64]*download
	requests  chan *rpc.ChunkRequest // nil while not connected
}

// run connects, and reconnects after failures, until ctx is done.
func (l *link) run(ctx context.Context) {
	pause := redialFirst
	for ctx.Err() == nil {
		began := time.Now()
		_ = l.connect(ctx)
		l.failAll()
		l.onLost()
		if time.Since(began) > redialMax {
			pause = redialFirst
		}
		waitAtMost(ctx, nil, pause)
		pause = min(redialMax, 2*pause)
	}
}

// connect opens both streams and returns when either ends.
func (l *link) connect(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	haves, err := l.dial(ctx)
	if err != nil {
		return err
	}
	defer haves.Close()
	chunks, err := l.dial(ctx)
	if err != nil {
		return err
	}
	defer chunks.Close()
	ended := make(chan error, 2)
	go func() { ended <- l.readHaves(ctx, haves) }()
	go func() { ended <- l.readChunks(ctx, chunks) }()
	err = <-ended
	cancel()
	haves.Close()
	chunks.Close()
	<-ended
	return err
}

func (l *link) dial(ctx context.Context) (*drpcconn.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.manager.cfg.Dial(dialCtx, l.peer.Addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", l.peer.Addr, err)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
	}}), nil
}

func (l *link) readHaves(ctx context.Context, conn *drpcconn.Conn) error {
	req := &rpc.HavesRequest{From: l.manager.cfg.VM, Manifest: l.id[:]}
	l.manager.metrics.controlSent(proto.Size(req))
	stream, err := rpc.NewDRPCWeightsClient(conn).Haves(ctx, req)
	if err != nil {
		return err
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return err
		}
		l.manager.metrics.controlReceived(proto.Size(update))
		l.onUpdate(update)
	}
}

func (l *link) readChunks(ctx context.Context, conn *drpcconn.Conn) error {
	stream, err := rpc.NewDRPCWeightsClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	requests := make(chan *rpc.ChunkRequest, requestBuffer)
	l.mu.Lock()
	l.requests = requests
	l.mu.Unlock()
	go l.writeRequests(ctx, stream, requests)
	lastQueue := 0
	piece := &rpc.ChunkPiece{}
	for {
		if err := stream.MsgRecv(piece, pieceEncoding{}); err != nil {
			return err
		}
		if err := l.manager.link.Down(ctx, pace.Transfer, len(piece.GetData())); err != nil {
			return err
		}
		if n := int(piece.GetQueue()); piece.GetLast() && n != lastQueue {
			lastQueue = n
			l.onQueue(n)
		}
		l.receive(piece)
	}
}

func (l *link) writeRequests(ctx context.Context, stream rpc.DRPCWeights_ExchangeClient, requests <-chan *rpc.ChunkRequest) {
	for {
		select {
		case req := <-requests:
			l.manager.metrics.controlSent(proto.Size(req))
			if stream.Send(req) != nil {
				return // readChunks fails too
			}
		case <-ctx.Done():
			return
		}
	}
}

// request queues a request. Unless it returns an error, the outcome is passed to
// d.done.
func (l *link) request(d *download) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.enqueue(&rpc.ChunkRequest{Id: d.id, Digest: d.digest[:], Progress: d.progressMilli}); err != nil {
		return err
	}
	l.downloads[d.id] = d
	return nil
}

// enqueue passes a request to the writer. The caller holds the lock.
func (l *link) enqueue(req *rpc.ChunkRequest) error {
	select {
	case l.requests <- req:
		return nil
	default:
		return errLinkDown // not connected, or the peer does not read
	}
}

// cancel cancels a request; d.done is not called any more.
func (l *link) cancel(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.downloads[id]; d != nil {
		delete(l.downloads, id)
		d.release()
		_ = l.enqueue(&rpc.ChunkRequest{Id: id, Cancel: true})
	}
}

// receive adds a piece to its download.
func (l *link) receive(piece *rpc.ChunkPiece) {
	l.mu.Lock()
	d := l.downloads[piece.GetId()]
	if d == nil {
		l.mu.Unlock()
		return // cancelled
	}
	data := piece.GetData()
	tooLong := len(d.buf)+len(data) > d.limit
	if !tooLong {
		d.buf = append(d.buf, data...) // under the lock: cancel releases the buffer
	}
	l.mu.Unlock()
	l.manager.metrics.fromPeers.Add(float64(len(data)))
	switch {
	case piece.GetNotHeld():
		l.finish(d, swarm.NotHeld, 0)
	case piece.GetBusyRetryMs() > 0:
		l.finish(d, swarm.Busy, time.Duration(piece.GetBusyRetryMs())*time.Millisecond)
	case tooLong:
		l.finish(d, swarm.Corrupt, 0)
	case piece.GetLast():
		l.finish(d, swarm.Verified, 0)
	default:
		if now := time.Now(); now.Sub(d.reported) > progressEvery {
			d.reported = now
			d.progress()
		}
	}
}

// finish removes a download and reports its outcome. The content is not verified
// yet: d.done does that.
func (l *link) finish(d *download, outcome swarm.Outcome, retry time.Duration) {
	l.mu.Lock()
	_, ok := l.downloads[d.id]
	delete(l.downloads, d.id)
	l.mu.Unlock()
	if ok {
		d.done(outcome, retry)
	}
}

// failAll fails all downloads after the connection has closed.
func (l *link) failAll() {
	l.mu.Lock()
	l.requests = nil
	failed := l.downloads
	l.downloads = map[uint64]*download{}
	l.mu.Unlock()
	for _, d := range failed {
		d.done(swarm.Failed, 0)
	}
}
