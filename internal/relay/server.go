package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/unacked"
)

const (
	// maxConns bounds the open connections of entries. Config.HeldBytes bounds the bodies of requests on all of them.
	maxConns = 512
	// acceptPause is the wait after a connection could not be accepted, as when descriptors are used up.
	acceptPause = 50 * time.Millisecond
	// unackedTimeout is how long bytes may stay unacknowledged by an entry's kernel. It is longer than the half second by
	// which a saturated link delays a packet.
	unackedTimeout = 1500 * time.Millisecond
	// logBurst lines about requests are written in each logPeriod at most.
	logBurst  = 10
	logPeriod = time.Second
)

// Headers are the names of header fields.
type Headers struct {
	// RequestID identifies a request in the request and its answer.
	RequestID string
	// DeadlineMs is the time that the engine is given, in milliseconds.
	DeadlineMs string
	// NotRun states in an answer that the request was not run.
	NotRun string
}

// Config configures a Server.
type Config struct {
	// EngineAddr is the announced ip:port of the engine. Requests for other addresses are refused.
	EngineAddr string
	// DialAddr is the ip:port at which the agent reaches the engine; empty stands for EngineAddr.
	DialAddr string
	Headers  Headers
	// HeldBytes bounds the bodies of requests that are held at one time for all connections, in bytes; 0 is no bound.
	HeldBytes int64
	// Expires returns the time of package clock from which on no request may begin on a version of weights, zero if the agent does
	// not know of a later version.
	Expires func(model string, version uint64) time.Time
	// Answers reports whether the engine answers its agent now, or did so within the last moments.
	Answers func(ctx context.Context) bool
	// Report returns the engine's report as of the answer to Answers.
	Report  func() EngineReport
	Logger  zerolog.Logger
	Metrics *Metrics
}

// Server passes requests of entries on to one engine. Create it with New.
type Server struct {
	cfg Config
	// log has a bounded number of lines.
	log zerolog.Logger

	held  heldBytes
	slots slotQueue
	// bodies is how the engine asks for bodies.
	bodies continuing

	mu       sync.Mutex
	conns    int
	inFlight int
	draining bool
	// drained is closed once no request is in progress while draining.
	drained chan struct{}
}

// New returns a server without connections.
func New(cfg Config) *Server {
	if cfg.DialAddr == "" {
		cfg.DialAddr = cfg.EngineAddr
	}
	return &Server{
		cfg: cfg, drained: make(chan struct{}), held: heldBytes{most: cfg.HeldBytes},
		log: cfg.Logger.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logPeriod}),
	}
}

// Serve accepts connections of entries until ctx is done, and closes all of them then. It returns an error if it can't go on
// accepting.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var sessions sync.WaitGroup
	defer sessions.Wait()
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = lis.Close() })()
	for {
		conn, err := lis.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept connections of entries: %w", err)
		case err != nil:
			s.log.Warn().Err(err).Msg("connection of an entry not accepted")
			time.Sleep(acceptPause)
		case !s.openConn():
			s.log.Warn().Int("limit", maxConns).Msg("too many connections of entries")
			_ = conn.Close()
		default:
			sessions.Go(func() {
				defer s.closeConn()
				s.serve(ctx, conn)
			})
		}
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	// If the system lacks the option, the entry's deadlines still apply.
	_ = unacked.Bound(conn, unackedTimeout)
	newSession(s, conn).run(ctx)
}

// Drain refuses requests from now on, and waits until those in progress have ended or ctx is done.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	if !s.draining {
		s.draining = true
		s.cfg.Logger.Info().Int("in_progress", s.inFlight).Msg("relay refuses new requests")
		if s.inFlight == 0 {
			close(s.drained)
		}
	}
	s.mu.Unlock()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("relayed requests in progress: %w", ctx.Err())
	}
}

func (s *Server) openConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns >= maxConns {
		return false
	}
	s.conns++
	s.cfg.Metrics.open.Set(float64(s.conns))
	return true
}

func (s *Server) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns--
	s.cfg.Metrics.open.Set(float64(s.conns))
}

// begin reports whether a request may be passed on; each begin that does is followed by an end.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight++
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.draining && s.inFlight == 0 {
		close(s.drained)
	}
}
