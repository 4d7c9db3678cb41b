package control

import (
	"context"
	"errors"
	"time"

	"lynxgate.dev/lynxgate/internal/claims"
	"lynxgate.dev/lynxgate/internal/control/state"
	"lynxgate.dev/lynxgate/internal/placement"
	"lynxgate.dev/lynxgate/internal/registry"
	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// errStopped is returned by calls after the server's loop has ended.
var errStopped = errors.New("control server is stopped")

// service implements rpc.DRPCControlServer.
type service struct{ server *Server }

// ReadIndex answers with a revision confirmed with a quorum.
func (s *service) ReadIndex(ctx context.Context, _ *rpc.ReadIndexRequest) (*rpc.ReadIndexResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.server.cfg.ProposeTimeout)
	defer cancel()
	revision, err := s.server.readIndex(ctx)
	return &rpc.ReadIndexResponse{
		Status:     readStatus(err),
		LeaderAddr: s.server.otherLeader(),
		Revision:   revision,
	}, nil
}

// Announce registers a daemon with the leader.
func (s *service) Announce(ctx context.Context, req *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	a, ok := announcement(req)
	if !ok {
		return &rpc.AnnounceResponse{Status: rpc.Status_STATUS_INVALID}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.server.cfg.ProposeTimeout)
	defer cancel()
	reply := make(chan *rpc.AnnounceResponse, 1)
	if err := s.server.post(ctx, announced{announcement: a, reply: reply}); err != nil {
		return &rpc.AnnounceResponse{Status: rpc.Status_STATUS_NO_QUORUM}, nil
	}
	select {
	case resp := <-reply:
		return resp, nil
	case <-ctx.Done():
		return &rpc.AnnounceResponse{Status: rpc.Status_STATUS_NO_QUORUM}, nil
	}
}

// announcement converts a request. It returns false if the role is unknown, or
// the name or the incarnation is missing.
func announcement(req *rpc.AnnounceRequest) (registry.Announcement, bool) {
	a := registry.Announcement{
		Name:          req.Name,
		Role:          registry.Role(req.Role),
		Zone:          req.Zone,
		Addr:          req.Addr,
		AdminAddr:     req.AdminAddr,
		Service:       req.Service,
		Incarnation:   req.Incarnation,
		Leaving:       req.Leaving,
		Revision:      req.Revision,
		Unconfirmed:   req.Unconfirmed,
		ChecksFencing: req.ChecksFencing,
		Capacity:      int(req.Capacity),
	}
	for _, r := range req.Replicas {
		a.Replicas = append(a.Replicas, registry.Replica{
			Model:       r.Model,
			Version:     r.Version,
			Phase:       placement.ReplicaPhase(r.Phase),
			ChunksHeld:  int(r.ChunksHeld),
			ChunksTotal: int(r.ChunksTotal),
			OriginBytes: r.OriginBytes,
			PeerBytes:   r.PeerBytes,
			Error:       r.Error,
		})
	}
	switch a.Role {
	case registry.RoleControl, registry.RoleEntry, registry.RoleAgent:
		return a, a.Name != "" && a.Incarnation > 0
	}
	return a, false
}

// Claim reserves an idempotency key in the log.
func (s *service) Claim(ctx context.Context, req *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	now := s.server.cfg.Now()
	result, err := s.server.propose(ctx, state.Claim{Claim: claims.Claim{
		Organisation: req.Organisation,
		Key:          req.Key,
		BodyDigest:   req.BodyDigest,
		Attempt:      req.Attempt,
		Timeout:      time.Duration(req.TimeoutMs) * time.Millisecond,
		Now:          claims.Millis(now.UnixMilli()),
		Limits:       s.server.cfg.ClaimLimits,
	}})
	if err != nil {
		return &rpc.ClaimResponse{Status: statusOf(err), LeaderAddr: s.server.otherLeader()}, nil
	}
	r := result.(claims.ClaimResult)
	s.server.metrics.claims.WithLabelValues(r.Verdict.String()).Inc()
	return &rpc.ClaimResponse{
		Status:       rpc.Status_STATUS_OK,
		Verdict:      rpc.ClaimVerdict(r.Verdict),
		Token:        r.Token,
		Answer:       storedAnswer(r.Answer),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}, nil
}

// Settle records the outcome of a claim in the log.
func (s *service) Settle(ctx context.Context, req *rpc.SettleRequest) (*rpc.SettleResponse, error) {
	settle := claims.Settle{
		Organisation: req.Organisation,
		Key:          req.Key,
		Token:        req.Token,
		Outcome:      claims.Outcome(req.Outcome),
		Now:          claims.Millis(s.server.cfg.Now().UnixMilli()),
		Limits:       s.server.cfg.ClaimLimits,
	}
	if a := req.Answer; a != nil {
		settle.Answer = &claims.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
	}
	_, err := s.server.propose(ctx, state.Settle{Settle: settle})
	return &rpc.SettleResponse{Status: statusOf(err), LeaderAddr: s.server.otherLeader()}, nil
}

func storedAnswer(a *claims.Answer) *rpc.StoredAnswer {
	if a == nil {
		return nil
	}
	return &rpc.StoredAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

// propose proposes a command to the log and waits for its result.
func (s *Server) propose(ctx context.Context, c state.Command) (any, error) {
	data, err := state.Encode(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ProposeTimeout)
	defer cancel()
	result, err := s.log.Propose(ctx, data)
	s.metrics.countProposal(c, err)
	return result, err
}

// otherLeader returns the address of the leader, "" if it is this server or
// unknown.
func (s *Server) otherLeader() string {
	st := s.log.Status()
	if st.LeaderName == s.cfg.Name {
		return ""
	}
	return st.LeaderAddr
}

// statusOf returns the status of a proposal that ended with err. The result is
// unknown unless err is known to mean that the command was not applied.
func statusOf(err error) rpc.Status {
	var notLeader *replica.NotLeaderError
	switch {
	case err == nil:
		return rpc.Status_STATUS_OK
	case errors.Is(err, replica.ErrResultUnknown):
		return rpc.Status_STATUS_RESULT_UNKNOWN
	case errors.As(err, &notLeader):
		return rpc.Status_STATUS_NOT_LEADER
	case errors.Is(err, replica.ErrTooLarge):
		return rpc.Status_STATUS_INVALID
	case errors.Is(err, replica.ErrNoQuorum), errors.Is(err, replica.ErrStopped):
		return rpc.Status_STATUS_NO_QUORUM
	default:
		return rpc.Status_STATUS_RESULT_UNKNOWN
	}
}

// readStatus is statusOf for reads. They change nothing, so one with an unknown
// result counts as not done for lack of a quorum.
func readStatus(err error) rpc.Status {
	if s := statusOf(err); s != rpc.Status_STATUS_RESULT_UNKNOWN {
		return s
	}
	return rpc.Status_STATUS_NO_QUORUM
}
