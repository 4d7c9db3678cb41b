// Package client is the entry's side of reservations: it asks the agents beside engines for slots.
//
// State: a circuit breaker for each agent, behind one lock; the last round trip to each, behind another; pooled connections. Messages:
// rpc.Reservations to agents.
package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"storj.io/drpc/drpcerr"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/reservation"
	"lynxgate.dev/lynxgate/internal/reservation/wire"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

const (
	// minTimeout and maxTimeout bound the time for one decision, timeoutShare is the share of the objective
	// that it may take. Between regions a round trip takes up to 4 ms.
	minTimeout   = 15 * time.Millisecond
	maxTimeout   = 25 * time.Millisecond
	timeoutShare = 1.0 / 24
	// minBreak and maxBreak bound how long an agent is not asked after it did not answer.
	minBreak = 500 * time.Millisecond
	maxBreak = 4 * time.Second
	// forgetAfter is how long after its breaker has closed an agent is remembered that was not asked since.
	forgetAfter = 10 * time.Second
	// releaseTimeout bounds a release; without it the lease or the deadline ends the reservation.
	releaseTimeout = 500 * time.Millisecond
)

// heldUp is by how much a call exceeds its timeout if this process did not run meanwhile.
const heldUp = 20 * time.Millisecond

// Conclusive reports whether a call without an answer, which took this long, means that its agent does not answer. A call that had
// less than reservation.AnswerTime tells nothing, nor one whose process was held up: the answer may be here.
func Conclusive(timeout, took time.Duration) bool {
	return timeout >= reservation.AnswerTime && took < timeout+heldUp
}

// ErrNoAgent means that no agent serves beside the backend server, though its VM runs: it has refused or closed the
// connection, or the agent does not know the call.
var ErrNoAgent = errors.New("no agent serves there")

// Config configures a Client.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// AgentAddr returns the rpc address of the agent beside the backend server at serverAddr (ip:port).
	AgentAddr func(serverAddr string) string
	Logger    zerolog.Logger
	Metrics   *Metrics
}

// Client asks agents for reservations. It is safe for concurrent use.
type Client struct {
	cfg        Config
	pool       *rpcconn.Pool
	roundTrips *roundTrips

	mu sync.Mutex
	// breakers are keyed by the address of the backend server.
	breakers map[string]*breaker
}

// breaker is the state of an agent that did not answer.
type breaker struct {
	openUntil time.Time
	duration  time.Duration
}

// New returns a client without connections.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, pool: rpcconn.NewPool(), roundTrips: newRoundTrips(), breakers: map[string]*breaker{}}
}

// Timeout returns the time for one decision on a request with this objective; an objective of 0 is none.
func Timeout(objective time.Duration) time.Duration {
	if objective <= 0 {
		return maxTimeout
	}
	return min(max(time.Duration(timeoutShare*float64(objective)), minTimeout), maxTimeout)
}

// Available reports whether the agent beside a backend server may be asked.
func (c *Client) Available(server string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.breakers[server]
	return b == nil || !now.Before(b.openUntil)
}

// Ask asks the agent beside a backend server, whose incarnation started at born (Unix ms, 0 if not known). An error
// means that there is no decision in time; a decision that comes later is not used. It matches ErrNoAgent if the server's
// VM is known to run.
func (c *Client) Ask(ctx context.Context, server string, born int64, timeout time.Duration, r reservation.Request) (reservation.Decision, error) {
	began := clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn := c.pool.Get(callCtx, c.cfg.AgentAddr(server))
	defer conn.Close()
	r.Entry = c.cfg.Entry
	request := wire.RequestToProto(server, born, r)
	request.TimeoutUs = timeout.Microseconds()
	response, err := rpc.NewDRPCReservationsClient(conn).Reserve(callCtx, request)
	took := clock.Since(began)
	if err != nil {
		if ctx.Err() != nil { // the caller has left
			c.Release(server, born, r.ID)
			return reservation.Decision{}, ctx.Err()
		}
		if Conclusive(timeout, took) || vmRuns(err) {
			c.failed(server, err)
		}
		c.cfg.Metrics.observe("no answer", took)
		c.roundTrips.unanswered(server, began.Add(took))
		if !errors.As(err, new(*rpcconn.DialError)) { // it may be granted later
			c.Release(server, born, r.ID)
		}
		if callCtx.Err() == nil && vmRuns(err) {
			err = fmt.Errorf("%w: %w", ErrNoAgent, err)
		}
		return reservation.Decision{}, fmt.Errorf("reservation at %s: %w", server, err)
	}
	c.answered(server)
	c.roundTrips.answered(server, began, began.Add(took))
	d := wire.DecisionFromProto(response)
	c.cfg.Metrics.observe(d.Result(), took)
	return d, nil
}

// Release ends a reservation, without waiting for the agent.
func (c *Client) Release(server string, born int64, id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		conn := c.pool.Get(ctx, c.cfg.AgentAddr(server))
		defer conn.Close()
		_, err := rpc.NewDRPCReservationsClient(conn).Release(ctx, &rpc.ReleaseRequest{Id: id, Addr: server, Born: born})
		if err != nil {
			c.cfg.Logger.Debug().Err(err).Str("server", server).Msg("release of a reservation failed")
		}
	}()
}

// failed opens the breaker of an agent, for longer with each failure in a row. Calls that were made before it
// opened do not prolong it.
func (c *Client) failed(server string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.prune(now)
	b := c.breakers[server]
	if b == nil {
		b = &breaker{}
		c.breakers[server] = b
	}
	open, unknown := now.Before(b.openUntil), isUnknownCall(err)
	if open && !unknown {
		return // one of several concurrent calls: a short freeze must not count as several failures in a row
	}
	b.duration = min(max(2*b.duration, minBreak), maxBreak)
	if unknown {
		b.duration = maxBreak
	}
	b.openUntil = now.Add(b.duration)
	c.cfg.Metrics.unavailable.Set(float64(len(c.breakers)))
	if !open {
		c.cfg.Logger.Info().AnErr("cause", err).Str("addr", server).Dur("for_ms", b.duration).
			Msg("agent did not answer; its backend server is judged by reports")
	}
}

// vmRuns reports whether the VM, or the agent on it, has answered a call that failed before its timeout. drpc returns
// context.Canceled for a connection that the peer has closed.
func vmRuns(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || isUnknownCall(err)
}

// unknownCall is in the error that drpcmux returns for a call of a service that is not registered; it has no code.
const unknownCall = "unknown rpc: "

// isUnknownCall reports whether the agent does not know the call: it is of an earlier version.
func isUnknownCall(err error) bool {
	return drpcerr.Code(err) == drpcerr.Unimplemented || strings.Contains(err.Error(), unknownCall)
}

// answered closes the breaker of an agent.
func (c *Client) answered(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breakers[server] == nil {
		return
	}
	delete(c.breakers, server)
	c.prune(clock.Now())
	c.cfg.Metrics.unavailable.Set(float64(len(c.breakers)))
	c.cfg.Logger.Info().Str("addr", server).Msg("agent answers again")
}

// prune forgets agents that were not asked since their breaker closed, mostly since they are gone.
func (c *Client) prune(now time.Time) {
	maps.DeleteFunc(c.breakers, func(_ string, b *breaker) bool { return now.Sub(b.openUntil) > forgetAfter })
}

// Metrics are the metrics of a Client.
type Metrics struct {
	asked       *prometheus.CounterVec
	took        prometheus.Histogram
	unavailable prometheus.Gauge
}

// NewMetrics returns metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		asked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_gateway_reservations_total", Help: "Requests to agents for a slot, by result: granted, the reason of the refusal, or no answer.",
		}, []string{"result"}),
		took: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lynxgate_gateway_reservation_seconds", Help: "Time until an agent has decided, or until the entry has stopped waiting.",
			Buckets: []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.04},
		}),
		unavailable: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lynxgate_gateway_agents_unavailable", Help: "Agents that did not answer when they were asked last.",
		}),
	}
	r.MustRegister(m.asked, m.took, m.unavailable)
	return m
}

func (m *Metrics) observe(result string, took time.Duration) {
	m.asked.WithLabelValues(result).Inc()
	m.took.Observe(took.Seconds())
}
