package rpcconn

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// Values of the labels "side" and "direction".
const (
	sideClient = "client"
	sideServer = "server"

	directionIn  = "in"
	directionOut = "out"
)

// Metrics of the traffic between daemons. Bytes are those written to and read
// from connections: with drpc framing, without TCP and IP headers.
var (
	bytesTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lynxgate_rpc_bytes_total",
		Help: "Bytes on connections between daemons, by service, this end's side and direction.",
	}, []string{"service", "side", "direction"})
	messagesTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lynxgate_rpc_messages_total",
		Help: "Messages on connections between daemons, by service, this end's side and direction.",
	}, []string{"service", "side", "direction"})
	connections = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "lynxgate_rpc_connections",
		Help: "Open connections between daemons, by this end's side.",
	}, []string{"side"})
	unbounded = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "lynxgate_rpc_unbounded_connections_total",
		Help: "Connections between daemons that the system did not let bound what is unacknowledged.",
	})
)

// Collectors returns the counters of this process's traffic. Daemons that
// share a process share them.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{bytesTotal, messagesTotal, connections, unbounded}
}

// meter holds the counters of one service and side.
type meter struct {
	bytesIn, bytesOut       prometheus.Counter
	messagesIn, messagesOut prometheus.Counter
}

// meterKey identifies a meter.
type meterKey struct{ service, side string }

// meters maps a meterKey to its *meter.
var meters sync.Map

func meterOf(service, side string) *meter {
	key := meterKey{service, side}
	if m, ok := meters.Load(key); ok {
		return m.(*meter)
	}
	m, _ := meters.LoadOrStore(key, &meter{
		bytesIn:     bytesTotal.WithLabelValues(service, side, directionIn),
		bytesOut:    bytesTotal.WithLabelValues(service, side, directionOut),
		messagesIn:  messagesTotal.WithLabelValues(service, side, directionIn),
		messagesOut: messagesTotal.WithLabelValues(service, side, directionOut),
	})
	return m.(*meter)
}

// serviceOf returns "Feed" for "/lynxgate.rpc.Feed/Subscribe".
func serviceOf(method string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(method, "/"), "/")
	return service[strings.LastIndexByte(service, '.')+1:]
}

// countedConn counts bytes under the service called last on the connection.
type countedConn struct {
	net.Conn
	side  string
	meter atomic.Pointer[meter]
	// unattributed counts bytes read before the service was known.
	unattributed atomic.Int64
	closed       atomic.Bool
}

func newCountedConn(conn net.Conn, side string) *countedConn {
	connections.WithLabelValues(side).Inc()
	return &countedConn{Conn: conn, side: side}
}

// setService sets the service under which bytes are counted from now on.
func (c *countedConn) setService(method string) *meter {
	m := meterOf(serviceOf(method), c.side)
	c.meter.Store(m)
	m.bytesIn.Add(float64(c.unattributed.Swap(0)))
	return m
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if m := c.meter.Load(); m != nil {
		m.bytesIn.Add(float64(n))
	} else {
		c.unattributed.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if m := c.meter.Load(); m != nil {
		m.bytesOut.Add(float64(n))
	}
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		connections.WithLabelValues(c.side).Dec()
	}
	return c.Conn.Close()
}

// countedListener counts the connections it accepts.
type countedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	boundUnacked(conn)
	return newCountedConn(conn, sideServer), nil
}

// countedHandler counts the messages of the calls it serves.
type countedHandler struct{ handler drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h countedHandler) HandleRPC(stream drpc.Stream, method string) error {
	m := serverMeter(stream.Context(), method)
	return h.handler.HandleRPC(&countedStream{Stream: stream, meter: m}, method)
}

func serverMeter(ctx context.Context, method string) *meter {
	transport, _ := drpcctx.Transport(ctx)
	if conn, ok := transport.(*countedConn); ok {
		return conn.setService(method)
	}
	return meterOf(serviceOf(method), sideServer)
}

// countedStream counts the messages of one call.
type countedStream struct {
	drpc.Stream
	meter *meter
}

// MsgSend implements drpc.Stream.
func (s *countedStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgSend(msg, enc)
	if err == nil {
		s.meter.messagesOut.Inc()
	}
	return err
}

// MsgRecv implements drpc.Stream.
func (s *countedStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgRecv(msg, enc)
	if err == nil {
		s.meter.messagesIn.Inc()
	}
	return err
}
