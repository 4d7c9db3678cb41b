package settings

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/tomlfile"
)

const (
	// keyHashBytes is the length of the digest of an operator's key.
	keyHashBytes = sha256.Size
	// minElectionRatio is the lowest ratio of election to heartbeat ticks: one
	// lost heartbeat must not start an election.
	minElectionRatio = 3
)

var (
	logLevels  = []string{"debug", "info", "warn", "error"}
	roleNames  = []string{string(RoleControl), string(RoleEntry), string(RoleAgent)}
	strategies = []string{"swarm", "origin", "zone-tree", "chain"}
	policies   = []string{"balanced", "random", "round-robin"}
)

// checker reports the faults of one settings file to its document.
type checker struct {
	doc *tomlfile.Document
}

func validate(doc *tomlfile.Document, s *Settings) {
	c := checker{doc: doc}
	c.name("name", s.Name)
	c.name("zone", s.Zone)
	c.name("region", s.Region)
	c.roles(s)
	c.ownAddr("rpc_addr", s.RPCAddr)
	c.listenAddr("http_addr", s.HTTPAddr)
	c.oneOf("log_level", s.LogLevel, logLevels)
	positive(c, "drain_timeout", s.DrainTimeout)
	if s.Control != nil {
		c.control(s, s.Control)
	}
	if s.Entry != nil {
		c.entry(s.Entry)
	}
	if s.Agent != nil {
		c.agent(s.Agent)
	}
	c.distinctListeners(s)
}

func (c checker) control(s *Settings, control *Control) {
	c.required("control.data_dir", control.DataDir, "a folder on a disk")
	c.peers(s, control.Peers)
	c.operators(control.Operators)
	c.tlsPair("control", control.TLSCert, control.TLSKey)
	positive(c, "control.tick_interval", control.TickInterval)
	positive(c, "control.heartbeat_ticks", control.HeartbeatTicks)
	if control.ElectionTicks < minElectionRatio*control.HeartbeatTicks {
		c.doc.Report("control.election_ticks", "must be at least %d times heartbeat_ticks, %d or more",
			minElectionRatio, minElectionRatio*control.HeartbeatTicks)
	}
	positive(c, "control.snapshot_entries", control.SnapshotEntries)
	atLeast(c, "control.lease", control.Lease, time.Second)
	positive(c, "control.claim_window", control.ClaimWindow)
	positive(c, "control.audit_window", control.AuditWindow)
}

func (c checker) peers(s *Settings, peers []Peer) {
	if len(peers) == 0 {
		c.doc.Report("control.peer", "is missing; name each initial voter in a [[control.peer]] table with name and addr")
	}
	names := map[string]bool{}
	addrs := map[string]bool{}
	for i, peer := range peers {
		key := fmt.Sprintf("control.peer[%d]", i)
		c.name(key+".name", peer.Name)
		c.ownAddr(key+".addr", peer.Addr)
		if peer.AdminAddr != "" {
			c.ownAddr(key+".admin_addr", peer.AdminAddr)
		}
		c.unique(names, key+".name", peer.Name)
		c.unique(addrs, key+".addr", peer.Addr)
		if peer.Name == s.Name && peer.Addr != s.RPCAddr {
			c.doc.Report(key+".addr", "is %q but this server's rpc_addr is %q; they must be the same", peer.Addr, s.RPCAddr)
		}
	}
}

func (c checker) operators(operators []Operator) {
	names := map[string]bool{}
	hashes := map[string]bool{}
	for i, operator := range operators {
		key := fmt.Sprintf("control.operator[%d]", i)
		c.name(key+".name", operator.Name)
		c.unique(names, key+".name", operator.Name)
		digest, err := hex.DecodeString(operator.KeyHash)
		if err != nil || len(digest) != keyHashBytes {
			c.doc.Report(key+".key_hash", "must be the hex SHA-256 digest of the operator's key, 64 digits")
			continue
		}
		c.unique(hashes, key+".key_hash", strings.ToLower(operator.KeyHash))
	}
}

func (c checker) entry(entry *Entry) {
	c.listenAddr("entry.callers_addr", entry.CallersAddr)
	c.controlAddrs("entry.control", entry.Control)
	c.addrs("entry.feeds", entry.Feeds)
	c.tlsPair("entry", entry.TLSCert, entry.TLSKey)
	positive(c, "entry.max_body_bytes", entry.MaxBodyBytes)
	positive(c, "entry.max_header_bytes", entry.MaxHeaderBytes)
	positive(c, "entry.read_header_timeout", entry.ReadHeaderTimeout)
	positive(c, "entry.idle_timeout", entry.IdleTimeout)
	positive(c, "entry.max_connections", entry.MaxConnections)
	positive(c, "entry.queue_length", entry.QueueLength)
	positive(c, "entry.default_deadline", entry.DefaultDeadline)
	positive(c, "entry.watch_subset", entry.WatchSubset)
	c.oneOf("entry.policy", entry.Policy, policies)
	if entry.RetryBudgetRatio < 0 || entry.RetryBudgetRatio > 1 {
		c.doc.Report("entry.retry_budget_ratio", "must be between 0 and 1")
	}
}

func (c checker) agent(agent *Agent) {
	c.name("agent.service", agent.Service)
	c.oneOf("agent.kind", string(agent.Kind), []string{string(inventory.KindModel), string(inventory.KindPlain)})
	c.loopbackAddr("agent.backend_addr", agent.BackendAddr)
	c.controlAddrs("agent.control", agent.Control)
	c.addrs("agent.feeds", agent.Feeds)
	if agent.Kind == inventory.KindModel {
		c.required("agent.scratch_dir", agent.ScratchDir, "a folder that weights are staged in")
	}
	if agent.Kind == inventory.KindPlain {
		c.modelOnly()
	}
	atLeast(c, "agent.scratch_max_bytes", agent.ScratchMaxBytes, 0)
	atLeast(c, "agent.link_up_bytes_per_second", agent.LinkUpBytesPerSecond, 0)
	atLeast(c, "agent.link_down_bytes_per_second", agent.LinkDownBytesPerSecond, 0)
	positive(c, "agent.capacity", agent.Capacity)
	positive(c, "agent.load_timeout", agent.LoadTimeout)
	c.oneOf("agent.strategy", agent.Strategy, strategies)
}

// modelOnly reports keys that don't apply to agents of plain services.
func (c checker) modelOnly() {
	for _, name := range []string{
		"scratch_dir", "scratch_max_bytes", "checks_fencing", "link_up_bytes_per_second",
		"link_down_bytes_per_second", "capacity", "load_timeout", "strategy",
	} {
		if c.doc.Has("agent." + name) {
			c.doc.Report("agent."+name, `is only for kind = "model"; remove it or change the kind`)
		}
	}
}

func (c checker) roles(s *Settings) {
	if len(s.Roles) == 0 {
		c.doc.Report("roles", "is missing; allowed: one or more of %s", quotedList(roleNames))
		return
	}
	seen := map[string]bool{}
	for i, role := range s.Roles {
		key := fmt.Sprintf("roles[%d]", i)
		c.oneOf(key, role, roleNames)
		c.unique(seen, key, role)
	}
	if s.Has(RoleAgent) && len(s.Roles) > 1 {
		c.doc.Report("roles", "contradict: an agent stands alone beside its backend server; only control and entry may share a daemon")
	}
	c.section(s.Has(RoleControl), s.Control != nil, RoleControl)
	c.section(s.Has(RoleEntry), s.Entry != nil, RoleEntry)
	c.section(s.Has(RoleAgent), s.Agent != nil, RoleAgent)
}

// section checks that a role has a table and a table has its role.
func (c checker) section(hasRole, hasTable bool, role Role) {
	if hasRole && !hasTable {
		c.doc.Report(string(role), "is missing; role %q needs a [%s] table", role, role)
	}
	if !hasRole && hasTable {
		c.doc.Report(string(role), "contradicts roles; add %q to roles or remove the [%s] table", role, role)
	}
}

func (c checker) name(key, value string) {
	if value == "" {
		c.doc.Report(key, "is missing; must be a name such as \"stgo-a-1\"")
		return
	}
	if !inventory.IsName(value) {
		c.doc.Report(key, "%q is not a name; allowed: %s", value, inventory.AllowedName)
	}
}

func (c checker) required(key, value, want string) {
	if value == "" {
		c.doc.Report(key, "is missing; must be %s", want)
	}
}

func (c checker) oneOf(key, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.doc.Report(key, "%q is not allowed; allowed: %s", value, quotedList(allowed))
	}
}

func (c checker) unique(seen map[string]bool, key, value string) {
	if value != "" && seen[value] {
		c.doc.Report(key, "%q is given twice", value)
	}
	seen[value] = true
}

func (c checker) tlsPair(table, cert, key string) {
	if cert != "" && key == "" {
		c.doc.Report(table+".tls_key", "is missing; tls_cert and tls_key go together")
	}
	if cert == "" && key != "" {
		c.doc.Report(table+".tls_cert", "is missing; tls_cert and tls_key go together")
	}
}

func positive[T int | int64 | time.Duration](c checker, key string, value T) {
	if value <= 0 {
		c.doc.Report(key, "must be above 0")
	}
}

func atLeast[T cmp.Ordered](c checker, key string, value, least T) {
	if value < least {
		c.doc.Report(key, "must be at least %v", least)
	}
}

func quotedList(values []string) string {
	quoted := make([]string, len(values))
	for i, value := range values {
		quoted[i] = fmt.Sprintf("%q", value)
	}
	return strings.Join(quoted, ", ")
}
