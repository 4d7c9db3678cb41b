package replica

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/consensus"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

const (
	// peerQueueLen is the number of messages queued for one peer. Further ones are
	// dropped, which the protocol tolerates.
	peerQueueLen = 256
	// redialDelay is the delay before the next connection after a failed one.
	redialDelay = 100 * time.Millisecond
	// staleTimeouts is the number of election timeouts without an expected receipt after
	// which a connection is replaced. TCP alone would detect a network partition only
	// after minutes.
	staleTimeouts = 3
	// peerIdleTimeout is the time without a message to a peer after which its connection
	// is closed.
	peerIdleTimeout = time.Minute
)

// transport sends messages over one stream per peer. Only the event loop calls
// send, setAddr and closeIdlePeers.
type transport struct {
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	metrics *metrics
	// now returns the current time with a monotonic clock reading.
	now func() time.Time
	// staleAfter is the time without an expected receipt after which a connection is
	// replaced.
	staleAfter time.Duration
	peers      map[consensus.ServerID]*peer

	// names and ids map server names and server IDs to addresses. The addresses come from
	// the membership, from servers that ask to join, and initially, by name, from the
	// settings. names is used for messages to a server of unknown incarnation, as when a
	// hello is forwarded to a leader.
	names map[string]string
	ids   map[consensus.ServerID]string
}

type peer struct {
	addr     string
	queue    chan consensus.Message
	cancel   context.CancelFunc
	lastSend time.Time
}

func newTransport(members []Member, staleAfter time.Duration, m *metrics) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &transport{
		ctx: ctx, cancel: cancel, metrics: m, now: clock.Now, staleAfter: staleAfter,
		peers: map[consensus.ServerID]*peer{},
		names: map[string]string{},
		ids:   map[consensus.ServerID]string{},
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

// setAddr records the address of a server.
func (t *transport) setAddr(id consensus.ServerID, addr string) {
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
	p := &peer{addr: addr, queue: make(chan consensus.Message, peerQueueLen), cancel: cancel}
	t.peers[id] = p
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		t.runPeer(ctx, p.queue, addr)
	}()
	return p
}

// closeIdlePeers removes peers without a message for peerIdleTimeout.
func (t *transport) closeIdlePeers(now time.Time) {
	for id, p := range t.peers {
		if now.Sub(p.lastSend) > peerIdleTimeout {
			p.cancel()
			delete(t.peers, id)
		}
	}
}

// runPeer connects to a peer, sends queued messages, and reconnects after an error.
func (t *transport) runPeer(ctx context.Context, queue <-chan consensus.Message, addr string) {
	failures := 0
	var unsent *consensus.Message
	for ctx.Err() == nil {
		var first consensus.Message
		if unsent != nil {
			first, unsent = *unsent, nil
		} else {
			select {
			case first = <-queue:
			case <-ctx.Done():
				return
			}
		}
		conn, err := t.dial(ctx, addr, rpcconn.RedialTimeout(failures))
		failures++
		if err == nil {
			failures = 0
			unsent, err = t.stream(ctx, conn, first, queue)
		}
		if err == nil {
			continue
		}
		t.metrics.connectionErrors.Inc()
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

func (t *transport) dial(ctx context.Context, addr string, timeout time.Duration) (*rpcconn.Conn, error) {
	raw, err := rpcconn.DialTCP(ctx, addr, timeout)
	if err != nil {
		return nil, err
	}
	return rpcconn.NewConn(&meteredConn{Conn: raw, writeTimeout: t.staleAfter, metrics: t.metrics}), nil
}

// stream sends messages over one connection until it fails or becomes stale, and closes
// it. If it is stale, stream returns the next message, which was not sent.
func (t *transport) stream(ctx context.Context, conn *rpcconn.Conn, m consensus.Message, queue <-chan consensus.Message) (unsent *consensus.Message, err error) {
	defer conn.Close()
	client, err := rpc.NewDRPCReplicationClient(conn).Messages(ctx)
	if err != nil {
		return nil, err
	}
	r := &receipts{now: t.now}
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		for {
			if _, err := client.Recv(); err != nil {
				return // the next send fails, or the connection becomes stale
			}
			r.arrived()
		}
	}()
	for {
		if err := t.sendOne(client, m, r); err != nil {
			return nil, err
		}
		select {
		case m = <-queue:
		case <-conn.Closed():
			return nil, nil
		case <-ctx.Done():
			return nil, nil
		}
		if r.waiting() > t.staleAfter {
			return &m, nil
		}
	}
}

func (t *transport) sendOne(client rpc.DRPCReplication_MessagesClient, m consensus.Message, r *receipts) error {
	chunks, err := encodeMessage(m)
	if err != nil {
		return err
	}
	for _, chunk := range chunks {
		r.sent()
		if err := client.Send(chunk); err != nil {
			return err
		}
		t.metrics.sent.Inc()
		t.metrics.sentBytes.Add(float64(proto.Size(chunk)))
	}
	return nil
}

// meteredConn sets a deadline for each write and counts the bytes written.
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

// Messages receives the messages of one peer, and sends a receipt for each chunk.
func (r *receiver) Messages(stream rpc.DRPCReplication_MessagesStream) error {
	var d decoder
	for {
		in, err := stream.Recv()
		if err != nil {
			return err
		}
		m, complete, err := d.decode(in)
		if err != nil {
			return err
		}
		if err := stream.Send(&rpc.RaftReceipt{}); err != nil {
			return err
		}
		if !complete {
			continue
		}
		r.node.metrics.received.Inc()
		if err := r.node.post(stream.Context(), messageEvent{message: m}); err != nil {
			return err
		}
	}
}
