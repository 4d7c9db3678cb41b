// Package fleetcontrol is the control server of a fleet whose operators send
// whole configuration documents with a version, and whose backend servers
// announce themselves.
//
// State: the ledger, driven by the replicated log; the directory of backend
// servers, in memory, and the followers, both guarded by the hub's lock. Messages:
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
	// proposeTimeout bounds a change. Operators' calls time out after a second.
	proposeTimeout = 900 * time.Millisecond
	// readTimeout bounds a linearizable read, for the same reason.
	readTimeout = 800 * time.Millisecond
	// leaderRetryPause is the pause before a change is proposed again while no leader
	// is known: a small part of an election timeout.
	leaderRetryPause = 50 * time.Millisecond
	// leaveTimeout bounds the wait until all followers have acknowledged that a
	// backend server leaves. The server's call times out after a second.
	leaveTimeout = 500 * time.Millisecond
)

// ErrUnavailable is returned for a call that may or may not have had an effect. The
// caller may retry it, here or at another control server.
var ErrUnavailable = errors.New("no quorum of control servers in reach")

// Config is the configuration of a control server.
type Config struct {
	Name string
	// Zone is the availability zone of this server.
	Zone string
	// Addr is the rpc ip:port of this server.
	Addr    string
	Replica replica.Config
	// Seeds returns the rpc addresses of control servers in the settings.
	Seeds func() []string
	// AnnounceInterval is the time between two announcements of a backend server, 0
	// if it is not known.
	AnnounceInterval time.Duration
	// VersionBound is how long after the naming of a version of weights requests may begin on those
	// before it. Until then the naming is repeated to followers; 0: it is not.
	VersionBound time.Duration
	// Decode decodes the operators' document; if it is nil, servers of any service are
	// accepted.
	Decode func(document []byte) (*fleet.Config, error)
	// RegionOf returns the region of a zone, empty if the settings do not name the zone; it may be nil.
	RegionOf func(zone string) string
	Logger   zerolog.Logger
}

// Server is one control server.
type Server struct {
	cfg    Config
	node   *replica.Node
	ledger *ledger.Ledger
	hub    *hub
	peers  *follow.Client
	// replayed is closed when the log is replayed, see endReplay.
	replayed chan struct{}
}

// New opens the replicated log and returns a server.
func New(cfg Config) (*Server, error) {
	l := ledger.New(clock.Now)
	l.BeginReplay()
	evidence := newEvidence()
	node, err := replica.Start(cfg.Replica, stateMachine{Ledger: l, evidence: evidence})
	if err != nil {
		return nil, fmt.Errorf("start replicated log: %w", err)
	}
	s := &Server{cfg: cfg, node: node, ledger: l, replayed: make(chan struct{})}
	s.hub = newHub(l, s.controlAddrs, cfg.AnnounceInterval, cfg.Decode, cfg.Logger)
	s.hub.versionBound, s.hub.regionOf = cfg.VersionBound, cfg.RegionOf
	s.hub.addr, s.hub.zone, s.hub.evidence = cfg.Addr, cfg.Zone, evidence
	s.hub.completeAsOf = node.CompleteAsOf
	s.peers = follow.New(follow.Config{
		Name: cfg.Name, Zone: cfg.Zone, Role: RoleControl, Self: cfg.Addr, Seeds: s.peerAddrs,
		Update: s.hub.mergePeerUpdate, Unchanged: s.hub.peerUnchanged, Lost: func(string) {}, Logger: cfg.Logger,
	})
	s.hub.peers, s.hub.forwarding = s.peers.Zones, s.peers.Forwarding
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

// Run runs the server until ctx is done, Stop has stopped the log, or the log fails. It
// returns the error of ctx or that of the log, nil after Stop.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = s.peers.Run(ctx) }()
	go s.hub.run(ctx)
	go s.recordQuarantined(ctx)
	go s.endReplay(ctx)
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

// endReplay ends the replay of the log once the state is confirmed by a quorum after the start.
func (s *Server) endReplay(ctx context.Context) {
	for {
		_, err := s.readState(ctx)
		if err == nil {
			s.ledger.EndReplay()
			close(s.replayed)
			s.cfg.Logger.Info().Uint64("applied", s.node.Status().Applied).Msg("log replayed; times of versions named from now on are known")
			return
		}
		select {
		case <-time.After(leaderRetryPause):
		case <-ctx.Done():
			return
		}
	}
}

// Stop transfers leadership and stops the log.
func (s *Server) Stop(ctx context.Context) error {
	return s.node.Stop(ctx)
}

// Status returns the state of the replicated log at this server.
func (s *Server) Status() replica.Status { return s.node.Status() }

// Collectors returns the metrics of the replicated log and of the directory.
func (s *Server) Collectors() []prometheus.Collector {
	return append(append(s.hub.collectors(), s.peers.Collectors()...), s.node)
}

// controlAddrs returns the rpc addresses of all members of the log.
func (s *Server) controlAddrs() []string {
	var addrs []string
	for _, m := range s.node.Status().Members {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

func (s *Server) peerAddrs() []string { return append(s.cfg.Seeds(), s.controlAddrs()...) }

// PutConfig puts a valid document in force. It accepts a document whose version is
// not higher than the committed one, too, without effect. After ErrUnavailable the
// document may or may not come into force.
func (s *Server) PutConfig(ctx context.Context, version uint64, document []byte) error {
	if committed := s.ledger.State().ConfigVersion; committed >= version {
		s.cfg.Logger.Info().Uint64("version", version).Uint64("held", committed).Msg("configuration ignored: its version is not higher than the committed one")
		return nil
	}
	err := s.submit(ctx, &rpc.FleetCommand{ConfigVersion: version, Config: ledger.Deflate(document)})
	s.logChange("configuration", version, err)
	return err
}

// NameVersion names a new version of the weights of a model. A version that is not higher
// than the committed one has no effect.
//
// It waits until the log is replayed: only then is a version that is not in the state a new one, and the
// time at which it is named known.
func (s *Server) NameVersion(ctx context.Context, model string, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := s.waitReplayed(ctx)
	if err == nil && s.ledger.State().Versions[model].Number >= version {
		return nil
	}
	if err == nil {
		err = s.submit(ctx, &rpc.FleetCommand{Model: model, Version: version})
	}
	if err == nil {
		s.ledger.Acknowledged(model, version)
	}
	s.logChange("weights of "+model, version, err)
	return err
}

func (s *Server) waitReplayed(ctx context.Context) error {
	select {
	case <-s.replayed:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: log not replayed: %w", ErrUnavailable, ctx.Err())
	}
}

func (s *Server) logChange(what string, version uint64, err error) {
	event := s.cfg.Logger.Info()
	if err != nil {
		event = s.cfg.Logger.Warn().Err(err).Time("quorum_contact", s.node.Status().LastQuorumContact)
	}
	event.Str("change", what).Uint64("version", version).Bool("accepted", err == nil).Msg("change decided")
}

// ReadConfig returns the newest accepted document; nil if there is none. It is
// linearizable, or fails with ErrUnavailable.
func (s *Server) ReadConfig(ctx context.Context) ([]byte, error) {
	state, err := s.readState(ctx)
	if err != nil || state.ConfigVersion == 0 {
		return nil, err
	}
	return ledger.Inflate(state.Config)
}

// readState returns the committed state. It is linearizable, or fails with ErrUnavailable.
func (s *Server) readState(ctx context.Context) (*ledger.State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	index, err := s.node.ReadIndex(ctx)
	if err == nil {
		err = s.node.WaitApplied(ctx, index)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: read: %w", ErrUnavailable, err)
	}
	return s.ledger.State(), nil
}

// Announce processes an announcement of a backend server. If the server leaves, it returns
// once all followers have acknowledged this, or after leaveTimeout: followers that have not
// answered by then are unreachable. An announcement for a service that is not declared, or
// that can't be encoded for followers, is counted and has no effect; the caller gets no error.
func (s *Server) Announce(ctx context.Context, b fleet.BackendServer) error {
	b.SeenAt = clock.Now()
	if err := checkEncodable(&b); err != nil {
		s.hub.refused.add(b.SeenAt, b.ID, reasonUnreadable, err)
		return nil
	}
	if err := s.hub.checkService(&b); err != nil {
		s.hub.refused.add(b.SeenAt, b.ID, reasonUnknownService, err)
		return nil
	}
	return s.hub.announce(ctx, b)
}

// CountRefused counts and logs an announcement of this id that could not be decoded.
func (s *Server) CountRefused(id string, err error) {
	s.hub.refused.add(clock.Now(), id, reasonUnreadable, err)
}

// submit commits a command, through the leader.
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
		case <-time.After(leaderRetryPause):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

func isNotLeader(err error) bool {
	var notLeader *replica.NotLeaderError
	return errors.As(err, &notLeader) || errors.Is(err, replica.ErrNoQuorum)
}

// submitOnce proposes a command at this server, or at the leader if this is another one.
func (s *Server) submitOnce(ctx context.Context, data []byte) error {
	_, err := s.node.Propose(ctx, data)
	var notLeader *replica.NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Leader == "" || notLeader.Leader == s.cfg.Addr {
		return err
	}
	return submitTo(ctx, notLeader.Leader, data)
}

// submitTo sends a command to the leader over a new connection. Changes are rare, and a
// reused connection may be dead without an error, so that each change sent on it would
// time out.
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

// Submit proposes a command that another control server has forwarded. It refuses one that can't be decoded.
func (s *service) Submit(ctx context.Context, req *rpc.SubmitRequest) (*rpc.SubmitResponse, error) {
	if err := ledger.CheckCommand(req.Command); err != nil {
		return nil, err
	}
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

// Follow sends updates to one follower.
func (s *service) Follow(stream rpc.DRPCFleet_FollowStream) error {
	return s.server.hub.serve(stream)
}
