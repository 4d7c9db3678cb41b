// Package settings reads and validates the TOML settings of lynxgated. All
// faults are reported at once, each with file, line, key and what is allowed.
//
// The package keeps no state. The tables in docs/CONFIGURATION.md are generated
// from the doc comments of the fields.
package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/tomlfile"
)

// Role is a service that a daemon runs.
type Role string

// The roles of a daemon.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name of the daemon, unique in the system; for an agent the VM's name.
	Name string `toml:"name"`
	// Zone is the availability zone of the daemon.
	Zone string `toml:"zone"`
	// Region is the region of the zone.
	Region string `toml:"region"`
	// Roles are the roles of the daemon: "control", "entry" or "agent". One daemon
	// may have both control and entry; an agent has no other role.
	Roles []string `toml:"roles"`
	// RPCAddr is the IP:port that other daemons connect to.
	RPCAddr string `toml:"rpc_addr"`
	// HTTPAddr is the IP:port of /metrics, /healthz, /readyz and, for the
	// control role, the operators' API.
	HTTPAddr string `toml:"http_addr"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `toml:"log_level"`
	// DrainTimeout is how long a graceful stop waits for work in progress.
	DrainTimeout time.Duration `toml:"drain_timeout"`

	// Control holds the settings of the control role; nil without the role.
	Control *Control `toml:"control"`
	// Entry holds the settings of the entry role; nil without the role.
	Entry *Entry `toml:"entry"`
	// Agent holds the settings of the agent role; nil without the role.
	Agent *Agent `toml:"agent"`
}

// Control are the settings of the control role.
type Control struct {
	// DataDir is the folder on a disk for the log and snapshots; its contents
	// must survive restarts.
	DataDir string `toml:"data_dir"`
	// Peers are the initial voters including this server, the same list on all
	// of them. A server that isn't listed joins as a learner.
	Peers []Peer `toml:"peer"`
	// Operators are those who may use the operators' API.
	Operators []Operator `toml:"operator"`
	// TLSCert is the PEM file of the operators' API certificate; without it and
	// TLSKey, the API uses plain HTTP.
	TLSCert string `toml:"tls_cert"`
	// TLSKey is the PEM file of the certificate's private key.
	TLSKey string `toml:"tls_key"`
	// TickInterval is the duration of one tick of the consensus clock.
	TickInterval time.Duration `toml:"tick_interval"`
	// HeartbeatTicks is the number of ticks between two heartbeats of the leader.
	HeartbeatTicks int `toml:"heartbeat_ticks"`
	// ElectionTicks is the number of ticks without a heartbeat before an election;
	// the server adds a random number of ticks up to the same number.
	ElectionTicks int `toml:"election_ticks"`
	// SnapshotEntries is the number of log entries between two snapshots.
	SnapshotEntries int `toml:"snapshot_entries"`
	// Lease is how long an agent or entry counts as up after its last
	// announcement; daemons renew it three times per lease.
	Lease time.Duration `toml:"lease"`
	// ClaimWindow is how long the outcome of an at-most-once request is kept to
	// answer repeated requests with the same key.
	ClaimWindow time.Duration `toml:"claim_window"`
	// AuditWindow is how long audit records are kept.
	AuditWindow time.Duration `toml:"audit_window"`
}

// Peer is an initial voter.
type Peer struct {
	// Name of the control server.
	Name string `toml:"name"`
	// Addr is the IP:port of its rpc_addr.
	Addr string `toml:"addr"`
	// AdminAddr is the IP:port of its http_addr, to which other servers redirect
	// operators' tools; may be empty.
	AdminAddr string `toml:"admin_addr"`
}

// Operator may use the operators' API.
type Operator struct {
	// Name is the operator's name in the audit records.
	Name string `toml:"name"`
	// KeyHash is the hex SHA-256 digest of the operator's key.
	KeyHash string `toml:"key_hash"`
}

// Entry are the settings of the entry role.
type Entry struct {
	// CallersAddr is the IP:port callers send their requests to.
	CallersAddr string `toml:"callers_addr"`
	// Control lists rpc addresses of control servers.
	Control []string `toml:"control"`
	// Feeds lists rpc addresses of other entries that provide the configuration
	// when no control server answers.
	Feeds []string `toml:"feeds"`
	// TLSCert is the PEM file of the certificate for callers; without it and
	// TLSKey, the entry uses plain HTTP.
	TLSCert string `toml:"tls_cert"`
	// TLSKey is the PEM file of the certificate's private key.
	TLSKey string `toml:"tls_key"`
	// MaxBodyBytes is the largest request body accepted from a caller.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeaderBytes is the largest request header accepted from a caller.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// ReadHeaderTimeout bounds how long a caller may take to send a header.
	ReadHeaderTimeout time.Duration `toml:"read_header_timeout"`
	// IdleTimeout is how long a caller's connection without requests stays open.
	IdleTimeout time.Duration `toml:"idle_timeout"`
	// MaxConnections is the maximum number of concurrent connections of callers.
	MaxConnections int `toml:"max_connections"`
	// QueueLength is the maximum number of requests in the wait queue.
	QueueLength int `toml:"queue_length"`
	// DefaultDeadline is the deadline of requests that set none.
	DefaultDeadline time.Duration `toml:"default_deadline"`
	// RetryBudgetRatio is the maximum ratio of retries to requests, for each service.
	RetryBudgetRatio float64 `toml:"retry_budget_ratio"`
	// WatchSubset is how many agents of each service this entry watches and
	// sends requests to.
	WatchSubset int `toml:"watch_subset"`
	// Policy is how backend servers are chosen: "balanced" for production,
	// "random" or "round-robin" for comparison.
	Policy string `toml:"policy"`
}

// Agent are the settings of the agent role.
type Agent struct {
	// Service is the service of the backend server.
	Service string `toml:"service"`
	// Kind is "model" for a model engine and "plain" for a plain service.
	Kind inventory.ServiceKind `toml:"kind"`
	// BackendAddr is the loopback IP:port of the backend server.
	BackendAddr string `toml:"backend_addr"`
	// ChecksFencing is true when the engine refuses orders with an outdated
	// fencing token.
	ChecksFencing bool `toml:"checks_fencing"`
	// Control lists rpc addresses of control servers.
	Control []string `toml:"control"`
	// Feeds lists rpc addresses of entries that provide the configuration; the
	// agent uses control servers when none of them answers.
	Feeds []string `toml:"feeds"`
	// ScratchDir is the folder that weights are staged in; for model agents only.
	ScratchDir string `toml:"scratch_dir"`
	// ScratchMaxBytes bounds the size of the scratch folder; 0 means no bound.
	ScratchMaxBytes int64 `toml:"scratch_max_bytes"`
	// LinkUpBytesPerSecond bounds the rate of weights sent to other agents; 0
	// means no bound.
	LinkUpBytesPerSecond int64 `toml:"link_up_bytes_per_second"`
	// LinkDownBytesPerSecond bounds the rate of weights received; 0 means no bound.
	LinkDownBytesPerSecond int64 `toml:"link_down_bytes_per_second"`
	// Capacity is the maximum number of model replicas on the VM at once.
	Capacity int `toml:"capacity"`
	// LoadTimeout is the longest a load order to the engine may take.
	LoadTimeout time.Duration `toml:"load_timeout"`
	// Strategy is how weights are transferred: "swarm" for production, "origin",
	// "zone-tree" or "chain" for comparison.
	Strategy string `toml:"strategy"`
}

// Has reports whether the daemon has the role.
func (s *Settings) Has(role Role) bool { return slices.Contains(s.Roles, string(role)) }

// Load reads and validates the settings file. Unless the file can't be read, the
// error is a tomlfile.Problems with all faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and validates settings; file is their name in problems.
func Parse(file string, data []byte) (*Settings, error) {
	doc := tomlfile.Parse(file, data)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	s := withDefaults()
	doc.Decode(s)
	dropAbsentRoles(doc, s)
	validate(doc, s)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
