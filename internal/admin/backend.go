// Package admin serves the HTTP API of operators on control servers: changes,
// configuration, status, audit and consensus membership. It authenticates and
// validates requests; the Backend carries them out. The package keeps no state.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// Backend is the part of a control server that the API uses. Every method may
// return *NotLeaderError, ErrNoQuorum or ErrResultUnknown; any other error is
// reported as an internal error.
type Backend interface {
	// Apply carries out a change request. If a request with the same operation
	// id was accepted before, Apply returns its result with Repeated set, before
	// any other check. Rejected requests (conflict, invalid) are not recorded
	// and may be sent again with the same id.
	Apply(ctx context.Context, req inventory.ChangeRequest) (inventory.ChangeResult, error)
	// Get returns the keys with the prefix, at a revision confirmed with a quorum.
	Get(ctx context.Context, prefix string) (Snapshot, error)
	// Status returns the status as this server has it. Without a quorum it
	// still answers, with Quorum false.
	Status(ctx context.Context) (Status, error)
	// Audit returns records with a revision above query.Since, oldest first.
	Audit(ctx context.Context, query AuditQuery) ([]inventory.AuditRecord, error)
	// Members lists the consensus members, confirmed with a quorum: a removed
	// server must not answer from its stale state.
	Members(ctx context.Context) ([]Server, error)
	// AddServer adds a server as a learner, which becomes a voter once it has
	// caught up. Adding an existing server succeeds.
	AddServer(ctx context.Context, name, addr string) error
	// RemoveServer removes a server; removing an absent one succeeds.
	RemoveServer(ctx context.Context, name string) error
}

// ErrNoQuorum means that no quorum was reachable and that the request was not
// accepted and will not be.
var ErrNoQuorum = errors.New("no quorum of control servers in reach")

// ErrResultUnknown means that a request was proposed to the log but its result
// was not received. It may still be carried out; resending it with the same
// operation id returns the result.
var ErrResultUnknown = errors.New("result unknown: resend with the same operation id")

// ErrInvalid marks a membership change that can't be carried out, such as the
// removal of the last voter. Wrap it with the reason.
var ErrInvalid = errors.New("invalid request")

// NotLeaderError means that this control server is not the leader.
type NotLeaderError struct {
	// Leader is the leader's name; empty when unknown.
	Leader string
	// AdminAddr is the IP:port of the leader's operators' API; empty when unknown.
	AdminAddr string
}

// Error includes the name of the leader if it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; the leader is not known"
	}
	return "not the leader; the leader is " + e.Leader
}

// KeyValue is one key of the replicated key space.
type KeyValue struct {
	Key string `json:"key"`
	// Value is the JSON of the record.
	Value json.RawMessage `json:"value"`
	// Revision of the last change of this key.
	Revision uint64 `json:"revision"`
}

// Snapshot contains the keys of one prefix at one revision, sorted by key.
type Snapshot struct {
	Revision uint64     `json:"revision"`
	Keys     []KeyValue `json:"keys"`
}

// AuditQuery selects audit records; zero fields select everything.
type AuditQuery struct {
	// Since excludes records up to and including this revision.
	Since uint64
	// Limit is the maximum number of records; the API always sets it above 0.
	Limit int
	// Operator and Key must be equal; a Key ending in "/" selects by prefix.
	Operator string
	Key      string
}

// Selects reports whether the record's operator and keys match the query. The
// caller applies Since and Limit.
func (q AuditQuery) Selects(record inventory.AuditRecord) bool {
	if q.Operator != "" && q.Operator != record.Operator {
		return false
	}
	if q.Key == "" {
		return true
	}
	return slices.ContainsFunc(record.Changes, func(change inventory.Change) bool { return q.selectsKey(change.Key) })
}

func (q AuditQuery) selectsKey(key string) bool {
	if strings.HasSuffix(q.Key, "/") {
		return strings.HasPrefix(key, q.Key)
	}
	return key == q.Key
}

// Status is the state of the system as one control server has it.
type Status struct {
	// Server is the control server that answers.
	Server string `json:"server"`
	// Revision in force at the answering server.
	Revision uint64 `json:"revision"`
	// LowestRevision in force at any daemon with a lease.
	LowestRevision uint64 `json:"lowest_revision"`
	Leader         string `json:"leader"`
	// LeaderAdminAddr is the IP:port of the leader's operators' API.
	LeaderAdminAddr string `json:"leader_admin_addr,omitempty"`
	Term            uint64 `json:"term"`
	// Quorum is true when the answering server recently had contact with a quorum.
	Quorum   bool           `json:"quorum"`
	Daemons  []DaemonStatus `json:"daemons"`
	Laggards []Laggard      `json:"laggards"`
	Replicas []ReplicaCount `json:"replicas"`
	// Transfers under way.
	Transfers []Transfer `json:"transfers"`
	Unmet     []Unmet    `json:"unmet"`
}

// DaemonStatus is the state of one daemon at its last announcement.
type DaemonStatus struct {
	Name string `json:"name"`
	// Role is control, entry or agent.
	Role      string `json:"role"`
	Zone      string `json:"zone"`
	Addr      string `json:"addr"`
	AdminAddr string `json:"admin_addr,omitempty"`
	Service   string `json:"service,omitempty"`
	// Revision in force there.
	Revision uint64 `json:"revision"`
	// Unconfirmed is true when its configuration isn't confirmed with a quorum.
	Unconfirmed bool `json:"unconfirmed"`
	Leaving     bool `json:"leaving"`
	// State is up, leaving or down.
	State string `json:"state"`
	// LastSeen is the time since its last announcement.
	LastSeen time.Duration `json:"last_seen_ns"`
}

// Laggard is a daemon whose revision is behind the one in force.
type Laggard struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// Behind is the number of revisions that it has not applied.
	Behind uint64 `json:"behind"`
	// Reason says why, such as "not heard of for 12s" or "unconfirmed".
	Reason string `json:"reason"`
}

// ReplicaCount counts the replicas of one model version.
type ReplicaCount struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Live    int    `json:"live"`
	// Staged replicas have complete, verified weights but don't serve them.
	Staged   int `json:"staged"`
	Fetching int `json:"fetching"`
	Failed   int `json:"failed"`
	Wanted   int `json:"wanted"`
}

// Transfer is the transfer of a model version to one VM.
type Transfer struct {
	VM      string `json:"vm"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Held and Total are numbers of chunks.
	Held  int `json:"held"`
	Total int `json:"total"`
	// OriginBytes and PeerBytes are the bytes received so far, by source.
	OriginBytes uint64 `json:"origin_bytes"`
	PeerBytes   uint64 `json:"peer_bytes"`
	Error       string `json:"error,omitempty"`
}

// Unmet is a placement rule that can't be met at present.
type Unmet struct {
	Rule   string `json:"rule"`
	Reason string `json:"reason"`
	// Wanted and Possible are numbers of replicas.
	Wanted   int `json:"wanted"`
	Possible int `json:"possible"`
}

// Server is a consensus member.
type Server struct {
	Name string `json:"name"`
	// Addr is the IP:port of its rpc listener.
	Addr    string `json:"addr"`
	Learner bool   `json:"learner"`
	Leader  bool   `json:"leader"`
}
