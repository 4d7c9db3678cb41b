package replica

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/consensus"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

const (
	// peerQueue bounds the messages waiting for one peer; more are dropped,
	// which the protocol repairs.
	peerQueue = 256
	// redialPause is the pause after a failed try.
	redialPause = 100 * time.Millisecond
	// staleTimeouts is for how many election timeouts a connection is trusted
	// while its peer is not heard: after a silent cut, TCP alone would take
	// minutes.
	staleTimeouts = 3
	// peerIdle is after how long without a message a peer is forgotten.
	peerIdle = time.Minute
)

// transport sends messages over one stream per peer. send and sweep are
// called by the event loop only.
type transport struct {
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	metrics *metrics
	// staleAfter is how long a connection is trusted while its peer is not heard.
	staleAfter time.Duration
	peers      map[consensus.ServerID]*peer

	// names and ids hold addresses by name and by identity: from the membership, from
	// servers that ask to join, and, by name, from the settings at first. Messages go
	// to a name where the incarnation is not known: a hello passed on to a leader.
	names map[string]string
	ids   map[consensus.ServerID]string

	// heard holds, by server name, when a message last arrived, as age tells it.
	heard sync.Map
	start time.Time
}

// age returns the time since the transport was made, in nanoseconds. The time of day
// would not do: after a step back of an hour no connection would count as stale for an
// hour.
func (t *transport) age() int64 { return int64(time.Since(t.start)) }

type peer struct {
	addr     string
	queue    chan consensus.Message
	cancel   context.CancelFunc
	lastSend time.Time
}

func newTransport(members []Member, staleAfter time.Duration, m *metrics) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &transport{
		ctx: ctx, cancel: cancel, metrics: m, staleAfter: staleAfter,
		peers: map[consensus.ServerID]*peer{},
		names: map[string]string{},
		ids:   map[consensus.ServerID]string{},
		start: time.Now(),
	}
	for _, member := range members {
		t.names[member.Name] = member.Addr
	}
	return t
}

func (t *transport) close() {
	t.cancel()
	t.done.Wait()
}

// learn notes the address of a server.
func (t *transport) learn(id consensus.ServerID, addr string) {
	if addr != "" {
		t.ids[id] = addr
		t.names[id.Name] = addr
	}
}

func (t *transport) addr(id consensus.ServerID) string {
	if addr, ok := t.ids[id]; ok {
		return addr
	}
	return t.names[id.Name]
}

// send queues a message, or drops it if the peer's queue is full.
func (t *transport) send(m consensus.Message, now time.Time) {
	addr := t.addr(m.To)
	if addr == "" {
		return
	}
	p, ok := t.peers[m.To]
	if ok && p.addr != addr {
		p.cancel()
		ok = false
	}
	if !ok {
		p = t.startPeer(m.To, addr)
	}
	p.lastSend = now
	select {
	case p.queue <- m:
	default:
		t.metrics.dropped.Inc()
	}
}

func (t *transport) startPeer(id consensus.ServerID, addr string) *peer {
	ctx, cancel := context.WithCancel(t.ctx)
	p := &peer{addr: addr, queue: make(chan consensus.Message, peerQueue), cancel: cancel}
	t.peers[id] = p
	heard := t.heardBy(id.Name)
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		t.runPeer(ctx, p.queue, addr, heard)
	}()
	return p
}

// sweep forgets peers that nothing was sent to for a while.
func (t *transport) sweep(now time.Time) {
	for id, p := range t.peers {
		if now.Sub(p.lastSend) > peerIdle {
			p.cancel()
			delete(t.peers, id)
		}
	}
}

// heardBy returns the cell that holds when a server was last heard.
func (t *transport) heardBy(name string) *atomic.Int64 {
	cell, _ := t.heard.LoadOrStore(name, new(atomic.Int64))
	return cell.(*atomic.Int64)
}

// runPeer connects, sends what is queued, and connects again after an error.
func (t *transport) runPeer(ctx context.Context, queue <-chan consensus.Message, addr string, heard *atomic.Int64) {
	failed := 0
	for ctx.Err() == nil {
		var first consensus.Message
		select {
		case first = <-queue:
		case <-ctx.Done():
			return
		}
		conn, err := t.dial(ctx, addr, rpcconn.RedialTimeout(failed))
		failed++
		if err == nil {
			failed = 0
			err = t.stream(ctx, conn, first, queue, heard)
		}
		if err == nil {
			continue
		}
		t.metrics.connectionErrors.Inc()
		select {
		case <-time.After(redialPause):
		case <-ctx.Done():
		}
	}
}

func (t *transport) dial(ctx context.Context, addr string, timeout time.Duration) (*rpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return rpcconn.NewConn(&meteredConn{Conn: raw, writeTimeout: t.staleAfter, metrics: t.metrics}), nil
}

// stream sends messages over one connection until it fails or goes stale, and closes
// it.
func (t *transport) stream(ctx context.Context, conn *rpcconn.Conn, m consensus.Message, queue <-chan consensus.Message, heard *atomic.Int64) error {
	defer conn.Close()
	client, err := rpc.NewDRPCReplicationClient(conn).Messages(ctx)
	if err != nil {
		return err
	}
	trusted := t.age()
	for {
		if err := t.sendOne(client, m); err != nil {
			return err
		}
		if m.Snapshot != nil {
			trusted = t.age() // the peer had nothing to answer meanwhile
		}
		select {
		case m = <-queue:
		case <-conn.Closed():
			return nil
		case <-ctx.Done():
			return nil
		}
		if t.age()-max(trusted, heard.Load()) > int64(t.staleAfter) {
			t.metrics.dropped.Inc()
			return nil
		}
	}
}

func (t *transport) sendOne(client rpc.DRPCReplication_MessagesClient, m consensus.Message) error {
	pieces, err := encodeMessage(m)
	if err != nil {
		return err
	}
	for _, piece := range pieces {
		if err := client.Send(piece); err != nil {
			return err
		}
		t.metrics.sent.Inc()
		t.metrics.sentBytes.Add(float64(proto.Size(piece)))
	}
	return nil
}

// meteredConn bounds each write and counts bytes on the connection.
type meteredConn struct {
	net.Conn
	writeTimeout time.Duration
	metrics      *metrics
}

func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.metrics.wireBytes.Add(float64(n))
	return n, err
}

// receiver serves rpc.Replication.
type receiver struct {
	node *Node
}

// Messages takes one peer's messages in.
func (r *receiver) Messages(stream rpc.DRPCReplication_MessagesStream) error {
	var d decoder
	for {
		in, err := stream.Recv()
		if err != nil {
			return err
		}
		m, whole, err := d.decode(in)
		if err != nil {
			return err
		}
		r.node.transport.heardBy(in.GetFrom().GetName()).Store(r.node.transport.age())
		if !whole {
			continue
		}
		r.node.metrics.received.Inc()
		if err := r.node.post(stream.Context(), messageEvent{message: m}); err != nil {
			return err
		}
	}
}
