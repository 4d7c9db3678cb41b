package control

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/control/state"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/replica"
)

var _ admin.Backend = (*Server)(nil)

// Apply proposes an operator's request to the log and returns the result.
func (s *Server) Apply(ctx context.Context, req inventory.ChangeRequest) (inventory.ChangeResult, error) {
	result, err := s.propose(ctx, state.Change{Time: s.cfg.Now(), Limits: s.cfg.Limits, Request: req})
	if errors.Is(err, replica.ErrTooLarge) {
		return inventory.ChangeResult{
			Verdict:  inventory.VerdictInvalid,
			Revision: s.store.Revision(),
			Problems: []string{fmt.Sprintf("request is too large: at most %d bytes in the log", replica.MaxCommandBytes)},
		}, nil
	}
	if err != nil {
		return inventory.ChangeResult{}, s.adminError(err)
	}
	r := result.(inventory.ChangeResult)
	s.metrics.changes.WithLabelValues(string(r.Verdict)).Inc()
	return r, nil
}

// Get returns the keys under prefix at a revision confirmed with a quorum.
func (s *Server) Get(ctx context.Context, prefix string) (admin.Snapshot, error) {
	if err := s.confirmRead(ctx); err != nil {
		return admin.Snapshot{}, err
	}
	view := s.store.View()
	snapshot := admin.Snapshot{Revision: view.Revision(), Keys: []admin.KeyValue{}}
	for _, e := range view.Prefix(prefix) {
		snapshot.Keys = append(snapshot.Keys, admin.KeyValue{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	return snapshot, nil
}

// Audit returns the audit records that q selects, confirmed with a quorum.
func (s *Server) Audit(ctx context.Context, q admin.AuditQuery) ([]inventory.AuditRecord, error) {
	if err := s.confirmRead(ctx); err != nil {
		return nil, err
	}
	records := []inventory.AuditRecord{}
	for _, r := range s.machine.Audit() {
		if r.Revision <= q.Since || !matchesQuery(q, r) {
			continue
		}
		records = append(records, r)
		if q.Limit > 0 && len(records) == q.Limit {
			break
		}
	}
	return records, nil
}

func matchesQuery(q admin.AuditQuery, r inventory.AuditRecord) bool {
	if q.Operator != "" && q.Operator != r.Operator {
		return false
	}
	if q.Key == "" {
		return true
	}
	for _, c := range r.Changes {
		if c.Key == q.Key || strings.HasSuffix(q.Key, "/") && strings.HasPrefix(c.Key, q.Key) {
			return true
		}
	}
	return false
}

func (s *Server) confirmRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ProposeTimeout)
	defer cancel()
	if _, err := s.readIndex(ctx); err != nil {
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, replica.ErrResultUnknown) {
			return admin.ErrNoQuorum
		}
		return s.adminError(err)
	}
	return nil
}

// Members lists the members of the replicated log, confirmed with a quorum.
func (s *Server) Members(ctx context.Context) ([]admin.Server, error) {
	if err := s.confirmRead(ctx); err != nil {
		return nil, err
	}
	st := s.log.Status()
	servers := make([]admin.Server, len(st.Members))
	for i, m := range st.Members {
		servers[i] = admin.Server{
			Name:    m.Name,
			Addr:    m.Addr,
			Learner: m.Learner,
			Leader:  m.Name == st.LeaderName,
		}
	}
	return servers, nil
}

// AddServer adds a server to the replicated log as a learner. The leader's loop
// promotes it once it has caught up.
func (s *Server) AddServer(ctx context.Context, name, addr string) error {
	return s.adminError(s.log.AddLearner(ctx, replica.Member{Name: name, Addr: addr, Learner: true}))
}

// RemoveServer removes a server from the replicated log.
func (s *Server) RemoveServer(ctx context.Context, name string) error {
	for _, m := range s.log.Status().Members {
		if m.Name == name {
			return s.adminError(s.log.Remove(ctx, m))
		}
	}
	return nil
}

// adminError maps an error of the log to one of the operators' API.
func (s *Server) adminError(err error) error {
	var notLeader *replica.NotLeaderError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replica.ErrResultUnknown):
		return admin.ErrResultUnknown
	case errors.As(err, &notLeader):
		st := s.log.Status()
		return &admin.NotLeaderError{Leader: st.LeaderName, AdminAddr: s.adminAddrOf(st)}
	case errors.Is(err, replica.ErrNoQuorum), errors.Is(err, replica.ErrStopped):
		return admin.ErrNoQuorum
	case errors.Is(err, replica.ErrUnknownServer), errors.Is(err, replica.ErrChangePending):
		return fmt.Errorf("%w: %w", admin.ErrInvalid, err)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return admin.ErrResultUnknown
	default:
		return err
	}
}

// adminAddrOf returns the operators' API address of the leader, "" if unknown.
func (s *Server) adminAddrOf(st replica.Status) string {
	if st.LeaderName == "" {
		return ""
	}
	if st.LeaderName == s.cfg.Name {
		return s.cfg.AdminAddr
	}
	if known := s.leaderAdmin.Load(); known != nil && known.rpcAddr == st.LeaderAddr && known.adminAddr != "" {
		return known.adminAddr
	}
	return s.cfg.AdminAddrs[st.LeaderName]
}
