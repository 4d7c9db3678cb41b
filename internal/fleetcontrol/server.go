// Package fleetcontrol is the control server of a fleet whose operators send
// whole configuration documents with a version, and whose backend servers
// announce themselves.
//
// State: the ledger, driven by the replicated log; the directory of backend
// servers, in memory, and the followers, both behind the hub's lock. Messages:
// calls of operators and backend servers (through an adapter), rpc.Fleet from
// daemons and other control servers.
package fleetcontrol

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/rpcconn"
)

const (
	// proposeTimeout bounds a change. Operators move on after a second.
	proposeTimeout = 900 * time.Millisecond
	// readTimeout bounds a linearizable read, for the same reason.
	readTimeout = 800 * time.Millisecond
	// leaderWait is the pause before a change is tried again while no leader is
	// known: a small part of an election timeout.
	leaderWait = 50 * time.Millisecond
	// spreadTimeout bounds the wait until all followers know that a backend
	// server leaves. Its call is given up after a second.
	spreadTimeout = 500 * time.Millisecond
)

// ErrUnavailable refuses a call for now: it may or may not have had an effect,
// and may be sent again, here or elsewhere.
var ErrUnavailable = errors.New("no quorum of control servers in reach")

// Config says how a control server works.
type Config struct {
	Name string
	// Addr is the rpc ip:port of this server.
	Addr    string
	Replica replica.Config
	// Seeds returns rpc addresses of control servers that the settings name.
	Seeds func() []string
	// AnnounceInterval is the time between two announcements of a backend server, 0
	// if it isn't known.
	AnnounceInterval time.Duration
	// Decode reads the operators' document; without it servers of any service are known.
	Decode func(document []byte) (*fleet.Config, error)
	Logger zerolog.Logger
}

// Server is one control server.
type Server struct {
	cfg    Config
	node   *replica.Node
	ledger *ledger.Ledger
	hub    *hub
	peers  *follow.Client
}

// New opens the replicated log and makes a server.
func New(cfg Config) (*Server, error) {
	l := ledger.New(clock.Now)
	node, err := replica.Start(cfg.Replica, l)
	if err != nil {
		return nil, fmt.Errorf("start replicated log: %w", err)
	}
	s := &Server{cfg: cfg, node: node, ledger: l}
	s.hub = newHub(l, s.controlAddrs, cfg.AnnounceInterval, cfg.Decode, cfg.Logger)
	s.peers = follow.New(follow.Config{
		Name: cfg.Name, Role: RoleControl, Self: cfg.Addr, Seeds: s.peerAddrs,
		Update: s.hub.peerUpdate, Lost: func(string) {}, Logger: cfg.Logger,
	})
	return s, nil
}

// Register adds the server's drpc services.
func (s *Server) Register(mux drpc.Mux) error {
	if err := s.node.Register(mux); err != nil {
		return fmt.Errorf("register replication: %w", err)
	}
	if err := rpc.DRPCRegisterFleet(mux, &service{server: s}); err != nil {
		return fmt.Errorf("register fleet: %w", err)
	}
	return nil
}

// Run works until ctx is done, Stop has stopped the log, or the log fails, which alone
// is an error beside that of ctx.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = s.peers.Run(ctx) }()
	go s.hub.run(ctx)
	go s.recordHeld(ctx)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.node.Done():
		if err := s.node.Err(); err != nil {
			return fmt.Errorf("replicated log stopped: %w", err)
		}
		return nil
	}
}

// Stop hands leadership over and stops the log.
func (s *Server) Stop(ctx context.Context) error {
	return s.node.Stop(ctx)
}

// Status is the state of the replicated log here.
func (s *Server) Status() replica.Status { return s.node.Status() }

// Collectors returns the metrics of the replicated log and of the directory.
func (s *Server) Collectors() []prometheus.Collector {
	return append(s.hub.collectors(), s.node)
}

// controlAddrs are the rpc addresses of all members of the log.
func (s *Server) controlAddrs() []string {
	var addrs []string
	for _, m := range s.node.Status().Members {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

func (s *Server) peerAddrs() []string { return append(s.cfg.Seeds(), s.controlAddrs()...) }

// PutConfig puts a valid document in force. A document whose version is not
// higher than the one held changes nothing and is accepted, too. After
// ErrUnavailable it may or may not come into force.
func (s *Server) PutConfig(ctx context.Context, version uint64, document []byte) error {
	if held := s.ledger.State().ConfigVersion; held >= version {
		s.cfg.Logger.Info().Uint64("version", version).Uint64("held", held).Msg("configuration is overtaken")
		return nil
	}
	err := s.submit(ctx, &rpc.FleetCommand{ConfigVersion: version, Config: ledger.Deflate(document)})
	s.logChange("configuration", version, err)
	return err
}

// NameVersion names new weights of a model; a lower version changes nothing.
func (s *Server) NameVersion(ctx context.Context, model string, version uint64) error {
	if s.ledger.State().Versions[model].Number >= version {
		return nil
	}
	err := s.submit(ctx, &rpc.FleetCommand{Model: model, Version: version})
	s.logChange("weights of "+model, version, err)
	return err
}

func (s *Server) logChange(what string, version uint64, err error) {
	event := s.cfg.Logger.Info()
	if err != nil {
		event = s.cfg.Logger.Warn().Err(err)
	}
	event.Str("change", what).Uint64("version", version).Bool("accepted", err == nil).Msg("change decided")
}

// ReadConfig returns the newest accepted document; nil if there is none. It is
// linearizable, or fails with ErrUnavailable.
func (s *Server) ReadConfig(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	index, err := s.node.ReadIndex(ctx)
	if err == nil {
		err = s.node.WaitApplied(ctx, index)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: read: %w", ErrUnavailable, err)
	}
	state := s.ledger.State()
	if state.ConfigVersion == 0 {
		return nil, nil
	}
	return ledger.Inflate(state.Config)
}

// Announce takes an announcement of a backend server. A server that leaves is
// acknowledged once all followers know it, or spreadTimeout has passed: those
// that have not answered by then are out of reach. One of a service that isn't declared is
// accepted, and changes nothing.
func (s *Server) Announce(ctx context.Context, b fleet.BackendServer) error {
	b.SeenAt = clock.Now()
	if err := s.hub.mayTell(&b); err != nil {
		s.hub.refused.note(b.SeenAt, b.ID, whyUnknownService, err)
		return nil
	}
	return s.hub.announce(ctx, b)
}

// Refused notes an announcement under an id that could not be read.
func (s *Server) Refused(id string, why error) {
	s.hub.refused.note(clock.Now(), id, whyUnreadable, why)
}

// submit brings a command into the log, through the leader.
func (s *Server) submit(ctx context.Context, c *rpc.FleetCommand) error {
	data, err := proto.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode command: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		err := s.submitOnce(ctx, data)
		if err == nil {
			return nil
		}
		if !isNotLeader(err) {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		select {
		case <-time.After(leaderWait):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

func isNotLeader(err error) bool {
	var notLeader *replica.NotLeaderError
	return errors.As(err, &notLeader) || errors.Is(err, replica.ErrNoQuorum)
}

// submitOnce proposes here, or at the leader.
func (s *Server) submitOnce(ctx context.Context, data []byte) error {
	_, err := s.node.Propose(ctx, data)
	var notLeader *replica.NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Leader == "" || notLeader.Leader == s.cfg.Addr {
		return err
	}
	return submitTo(ctx, notLeader.Leader, data)
}

// submitTo hands a command to the leader over a connection of its own: changes are few,
// and a kept connection may have gone silent, which would cost each change that took it
// its whole time.
func submitTo(ctx context.Context, leader string, data []byte) error {
	conn, err := rpcconn.Dial(ctx, leader)
	if err != nil {
		return fmt.Errorf("submit to leader: %w", err)
	}
	defer conn.Close()
	resp, err := rpc.NewDRPCFleetClient(conn).Submit(ctx, &rpc.SubmitRequest{Command: data})
	if err != nil {
		return fmt.Errorf("submit to leader %s: %w", leader, err)
	}
	switch resp.Status {
	case rpc.Status_STATUS_OK:
		return nil
	case rpc.Status_STATUS_NOT_LEADER, rpc.Status_STATUS_NO_QUORUM:
		return &replica.NotLeaderError{}
	}
	return replica.ErrResultUnknown
}

// service implements rpc.DRPCFleetServer.
type service struct{ server *Server }

// Submit proposes a command of another control server.
func (s *service) Submit(ctx context.Context, req *rpc.SubmitRequest) (*rpc.SubmitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := s.server.node.Propose(ctx, req.Command)
	resp := &rpc.SubmitResponse{}
	switch {
	case err == nil:
	case isNotLeader(err):
		resp.Status = rpc.Status_STATUS_NOT_LEADER
	default:
		resp.Status = rpc.Status_STATUS_RESULT_UNKNOWN
	}
	return resp, nil
}

// Follow serves one follower.
func (s *service) Follow(stream rpc.DRPCFleet_FollowStream) error {
	return s.server.hub.serve(stream)
}
