// Package settings reads the TOML settings of lynxgated and checks them
// whole before anything starts: every fault is reported at once with file,
// line, key and what is allowed.
//
// The package keeps no state. The doc comments of the fields are the source
// for operators' documentation in docs/CONFIGURATION.md.
package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/tomlfile"
)

// Role is a duty a daemon takes on.
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
	// Zone is the availability zone the daemon stands in.
	Zone string `toml:"zone"`
	// Region the zone belongs to.
	Region string `toml:"region"`
	// Roles the daemon takes on: "control", "entry" or "agent". Control and
	// entry may share a daemon; an agent stands alone.
	Roles []string `toml:"roles"`
	// RPCAddr is the IP:port other daemons reach this one at.
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
	// DataDir is the folder on a disk for the log and snapshots; it must
	// outlive restarts.
	DataDir string `toml:"data_dir"`
	// Peers are the initial voters, this server among them, the same on
	// each. A server that isn't named joins as a learner.
	Peers []Peer `toml:"peer"`
	// Operators who may use the operators' API.
	Operators []Operator `toml:"operator"`
	// TLSCert is the PEM file of the operators' API certificate; plain HTTP
	// when neither it nor TLSKey is set.
	TLSCert string `toml:"tls_cert"`
	// TLSKey is the PEM file of the certificate's private key.
	TLSKey string `toml:"tls_key"`
	// TickInterval is the unit of consensus time.
	TickInterval time.Duration `toml:"tick_interval"`
	// HeartbeatTicks are ticks between two heartbeats of the leader.
	HeartbeatTicks int `toml:"heartbeat_ticks"`
	// ElectionTicks are ticks without a heartbeat before an election; the
	// server adds up to as many again at random.
	ElectionTicks int `toml:"election_ticks"`
	// SnapshotEntries are log entries between two snapshots.
	SnapshotEntries int `toml:"snapshot_entries"`
	// Lease is how long an agent or entry counts as up after its last
	// announcement; daemons renew three times in a lease.
	Lease time.Duration `toml:"lease"`
	// ClaimWindow is how long the outcome of an at-most-once request is kept
	// for repeats of its key.
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
	// AdminAddr is the IP:port of its http_addr, told to operators' tools
	// that asked another server; may be empty.
	AdminAddr string `toml:"admin_addr"`
}

// Operator may use the operators' API.
type Operator struct {
	// Name that the audit trail shows.
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
	// Feeds lists rpc addresses of other entries, asked for configuration
	// when no control server answers.
	Feeds []string `toml:"feeds"`
	// TLSCert is the PEM file of the callers' certificate; plain HTTP when
	// neither it nor TLSKey is set.
	TLSCert string `toml:"tls_cert"`
	// TLSKey is the PEM file of the certificate's private key.
	TLSKey string `toml:"tls_key"`
	// MaxBodyBytes is the largest request body taken from a caller.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeaderBytes is the largest request header taken from a caller.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// ReadHeaderTimeout bounds how long a caller may take to send a header.
	ReadHeaderTimeout time.Duration `toml:"read_header_timeout"`
	// IdleTimeout closes a caller's connection without requests.
	IdleTimeout time.Duration `toml:"idle_timeout"`
	// MaxConnections is the most connections of callers at once.
	MaxConnections int `toml:"max_connections"`
	// QueueLength is the most requests waiting for a backend server.
	QueueLength int `toml:"queue_length"`
	// DefaultDeadline holds for requests that name none.
	DefaultDeadline time.Duration `toml:"default_deadline"`
	// RetryBudgetRatio is the most retries per request, over all requests.
	RetryBudgetRatio float64 `toml:"retry_budget_ratio"`
	// WatchSubset is how many agents of each service this entry watches and
	// sends requests to.
	WatchSubset int `toml:"watch_subset"`
	// Policy chooses backend servers; "balanced" for production, the others
	// for comparison: "random", "round-robin".
	Policy string `toml:"policy"`
}

// Agent are the settings of the agent role.
type Agent struct {
	// Service the backend server belongs to.
	Service string `toml:"service"`
	// Kind is "model" for a model engine and "plain" for a plain service.
	Kind inventory.ServiceKind `toml:"kind"`
	// BackendAddr is the loopback IP:port of the backend server.
	BackendAddr string `toml:"backend_addr"`
	// ChecksFencing is true when the engine refuses orders with an old
	// fencing number.
	ChecksFencing bool `toml:"checks_fencing"`
	// Control lists rpc addresses of control servers.
	Control []string `toml:"control"`
	// Feeds lists rpc addresses of entries the agent takes its
	// configuration from; control servers are asked when none answers.
	Feeds []string `toml:"feeds"`
	// ScratchDir is the folder weights are staged in; model agents only.
	ScratchDir string `toml:"scratch_dir"`
	// ScratchMaxBytes bounds the scratch folder; 0 means no bound.
	ScratchMaxBytes int64 `toml:"scratch_max_bytes"`
	// LinkUpBytesPerSecond bounds the weights sent to other agents; 0 means
	// no bound.
	LinkUpBytesPerSecond int64 `toml:"link_up_bytes_per_second"`
	// LinkDownBytesPerSecond bounds the weights received; 0 means no bound.
	LinkDownBytesPerSecond int64 `toml:"link_down_bytes_per_second"`
	// Capacity is how many model replicas the VM can hold at once.
	Capacity int `toml:"capacity"`
	// LoadTimeout is the longest a load order to the engine may take.
	LoadTimeout time.Duration `toml:"load_timeout"`
	// Strategy of transfers; "swarm" for production, the others for
	// comparison: "origin", "zone-tree", "chain".
	Strategy string `toml:"strategy"`
}

// Has reports whether the daemon takes on the role.
func (s *Settings) Has(role Role) bool { return slices.Contains(s.Roles, string(role)) }

// Load reads and checks the settings file. The error is a
// tomlfile.Problems that holds every fault, unless the file can't be read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse checks settings held in memory; file names them in problems.
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
