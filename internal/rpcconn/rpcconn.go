// Package rpcconn sets up drpc for the daemons: a server on a listener and a
// pool of client connections by address.
// A drpc connection carries one call at a time, so concurrent calls to one
// address take one pooled connection each. All connections made here count
// their bytes and messages by service; see Collectors.
package rpcconn

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// DialTimeout bounds connecting to another process.
	DialTimeout = 2 * time.Second
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes = 16 << 20

	// idleExpiration is how long an unused connection is kept.
	idleExpiration = 30 * time.Second
	// idlePerAddr covers the requests that a backend server runs at once for
	// one entry; with fewer, each request over that would dial anew.
	idlePerAddr = 32
	// idleTotal bounds the unused connections to all addresses.
	idleTotal = 512
)

const (
	// minRedialTimeout and maxRedialTimeout are the shortest and longest RedialTimeout.
	minRedialTimeout = 250 * time.Millisecond
	maxRedialTimeout = 1 * time.Second
)

// RedialTimeout returns the dial timeout after this many failed dials in a row: 250 ms,
// doubled up to 1 s. A peer without power does not reply and TCP resends a lost SYN only
// after 1 s, so a longer first timeout would delay the connection to a peer that is up
// again. The longer timeouts are for links that queue packets for more than 250 ms.
func RedialTimeout(failed int) time.Duration {
	if failed > 2 {
		return maxRedialTimeout
	}
	return min(minRedialTimeout<<failed, maxRedialTimeout)
}

// Pool keeps idle client connections for reuse. The zero value is not usable.
type Pool struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	opts := drpcpool.Options{
		Expiration:  idleExpiration,
		Capacity:    idleTotal,
		KeyCapacity: idlePerAddr,
	}
	return &Pool{pool: drpcpool.New[string, drpcpool.Conn](opts)}
}

// Get returns a connection to addr ("ip:port"). It dials when the first call
// is made on it, so a dial error is returned by that call as a *DialError.
func (p *Pool) Get(ctx context.Context, addr string) drpc.Conn {
	return p.pool.Get(ctx, addr, func(ctx context.Context, addr string) (drpcpool.Conn, error) {
		return Dial(ctx, addr)
	})
}

// Close closes all idle connections.
func (p *Pool) Close() error { return p.pool.Close() }

// DialError means that no connection could be made, so nothing was sent.
type DialError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Conn is a client connection that counts its traffic.
type Conn struct {
	*drpcconn.Conn
	transport *countedConn
}

// NewConn returns a client connection over an open TCP connection.
func NewConn(tcp net.Conn) *Conn {
	transport := newCountedConn(tcp, sideClient)
	return &Conn{
		Conn:      drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()}),
		transport: transport,
	}
}

// Invoke implements drpc.Conn.
func (c *Conn) Invoke(ctx context.Context, method string, enc drpc.Encoding, in, out drpc.Message) error {
	m := c.transport.setService(method)
	m.messagesOut.Inc()
	err := c.Conn.Invoke(ctx, method, enc, in, out)
	if err == nil {
		m.messagesIn.Inc()
	}
	return err
}

// NewStream implements drpc.Conn.
func (c *Conn) NewStream(ctx context.Context, method string, enc drpc.Encoding) (drpc.Stream, error) {
	m := c.transport.setService(method)
	stream, err := c.Conn.NewStream(ctx, method, enc)
	if err != nil {
		return nil, err
	}
	return &countedStream{Stream: stream, meter: m}, nil
}

// Dial opens a connection to addr ("ip:port") outside of any pool.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	conn, err := DialTCP(ctx, addr, DialTimeout)
	if err != nil {
		return nil, err
	}
	return NewConn(conn), nil
}

// DialTCP opens a TCP connection to addr for NewConn. Errors are of type *DialError.
func DialTCP(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &DialError{Addr: addr, Err: err}
	}
	boundUnacked(conn)
	return conn, nil
}

// Serve serves the calls registered on mux until ctx is done.
func Serve(ctx context.Context, lis net.Listener, mux *drpcmux.Mux) error {
	server := drpcserver.NewWithOptions(countedHandler{mux}, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, countedListener{lis})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: MaxMessageBytes},
	}
}
