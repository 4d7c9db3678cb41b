package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
)

const (
	namePart = "name = \"d\"\nzone = \"z\"\nregion = \"r\"\nrpc_addr = \"10.0.0.1:7100\"\nhttp_addr = \"10.0.0.1:7180\"\n"

	controlPart = namePart + "roles = [\"control\"]\n[control]\ndata_dir = \"data\"\n"
	peerPart    = "[[control.peer]]\nname = \"d\"\naddr = \"10.0.0.1:7100\"\n"
	entryPart   = namePart + "roles = [\"entry\"]\n[entry]\ncallers_addr = \"0.0.0.0:8080\"\ncontrol = [\"10.0.0.1:7100\"]\n"
	agentPart   = namePart + "roles = [\"agent\"]\n[agent]\nservice = \"s\"\nbackend_addr = \"127.0.0.1:8000\"\ncontrol = [\"10.0.0.9:7100\"]\n"
	modelPart   = agentPart + "scratch_dir = \"scratch\"\n"
)

// TestBadInput checks the whole error message of each fault: file, line, key,
// what is wrong and what is allowed.
func TestBadInput(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown key":           {entryPart + "queue_size = 3\n", `f.toml:10: entry.queue_size: unknown key; allowed here: callers_addr, control, default_deadline, feeds, idle_timeout, max_body_bytes, max_connections, max_header_bytes, policy, queue_length, read_header_timeout, retry_budget_ratio, tls_cert, tls_key, watch_subset`},
		"unknown table":         {entryPart + "[entry.tls]\n", `f.toml:10: entry.tls: unknown key; allowed here: callers_addr, control, default_deadline, feeds, idle_timeout, max_body_bytes, max_connections, max_header_bytes, policy, queue_length, read_header_timeout, retry_budget_ratio, tls_cert, tls_key, watch_subset`},
		"wrong type":            {entryPart + "queue_length = \"many\"\n", `f.toml:10: entry.queue_length: must be an integer, not a string`},
		"bad duration":          {entryPart + "idle_timeout = \"2 minutes\"\n", `f.toml:10: entry.idle_timeout: "2 minutes" is not a duration in quotes such as "500ms", "2s" or "1h30m"`},
		"explicit zero":         {entryPart + "queue_length = 0\n", `f.toml:10: entry.queue_length: must be above 0`},
		"ratio":                 {entryPart + "retry_budget_ratio = 1.5\n", `f.toml:10: entry.retry_budget_ratio: must be between 0 and 1`},
		"half of TLS":           {entryPart + "tls_cert = \"c.pem\"\n", `f.toml:7: entry.tls_key: is missing; tls_cert and tls_key go together`},
		"other half of TLS":     {entryPart + "tls_key = \"c.pem\"\n", `f.toml:7: entry.tls_cert: is missing; tls_cert and tls_key go together`},
		"host name":             {strings.Replace(entryPart, "10.0.0.1:7180", "localhost:7180", 1), `f.toml:5: http_addr: "localhost:7180" is not an address; must be IP:port such as "10.1.2.3:7100"`},
		"port 0":                {strings.Replace(entryPart, "10.0.0.1:7180", "10.0.0.1:0", 1), `f.toml:5: http_addr: "10.0.0.1:0" is not an address; must be IP:port such as "10.1.2.3:7100"`},
		"unreachable address":   {strings.Replace(entryPart, `rpc_addr = "10.0.0.1`, `rpc_addr = "0.0.0.0`, 1), `f.toml:4: rpc_addr: "0.0.0.0:7100" can't be reached from other machines; give the IP number of one interface`},
		"same listener":         {strings.Replace(entryPart, "7180", "7100", 1), `f.toml:5: http_addr: "10.0.0.1:7100" is the address of rpc_addr too; each listener needs its own`},
		"missing address":       {strings.Replace(entryPart, "http_addr = \"10.0.0.1:7180\"\n", "", 1), `f.toml: http_addr: is missing; must be IP:port such as "10.1.2.3:7100"`},
		"missing zone":          {strings.Replace(entryPart, "zone = \"z\"\n", "", 1), `f.toml: zone: is missing; must be a name such as "stgo-a-1"`},
		"bad name":              {strings.Replace(entryPart, `"d"`, `"a b"`, 1), `f.toml:1: name: "a b" is not a name; allowed: letters, digits, '.', '_' and '-', at most 63, the first a letter or digit`},
		"log level":             {"log_level = \"loud\"\n" + entryPart, `f.toml:1: log_level: "loud" is not allowed; allowed: "debug", "info", "warn", "error"`},
		"no roles":              {namePart, `f.toml: roles: is missing; allowed: one or more of "control", "entry", "agent"`},
		"unknown role":          {namePart + "roles = [\"proxy\"]\n", `f.toml:6: roles[0]: "proxy" is not allowed; allowed: "control", "entry", "agent"`},
		"role twice":            {strings.Replace(entryPart, `["entry"]`, `["entry", "entry"]`, 1), `f.toml:6: roles[1]: "entry" is given twice`},
		"role without table":    {strings.Replace(entryPart, `["entry"]`, `["entry", "control"]`, 1), `f.toml: control: is missing; role "control" needs a [control] table`},
		"table without role":    {controlPart + peerPart + "[agent]\nservice = \"s\"\nbackend_addr = \"127.0.0.1:8000\"\ncontrol = [\"10.0.0.9:7100\"]\nscratch_dir = \"s\"\n", `f.toml:12: agent: contradicts roles; add "agent" to roles or remove the [agent] table`},
		"agent with others":     {strings.Replace(modelPart, `["agent"]`, `["agent", "entry"]`, 1) + "[entry]\ncallers_addr = \"0.0.0.0:8080\"\ncontrol = [\"10.0.0.1:7100\"]\n", `f.toml:6: roles: contradict: an agent stands alone beside its backend server; only control and entry may share a daemon`},
		"no control servers":    {strings.Replace(modelPart, "control = [\"10.0.0.9:7100\"]\n", "", 1), `f.toml:7: agent.control: is missing; list the rpc_addr of each control server`},
		"bad control address":   {entryPart + "feeds = [\"10.0.0.2\"]\n", `f.toml:10: entry.feeds[0]: "10.0.0.2" is not an address; must be IP:port such as "10.1.2.3:7100"`},
		"no scratch folder":     {agentPart, `f.toml:7: agent.scratch_dir: is missing; must be a folder that weights are staged in`},
		"kind":                  {modelPart + "kind = \"gpu\"\n", `f.toml:12: agent.kind: "gpu" is not allowed; allowed: "model", "plain"`},
		"model key for plain":   {modelPart + "kind = \"plain\"\n", `f.toml:11: agent.scratch_dir: is only for kind = "model"; remove it or change the kind`},
		"backend server afar":   {strings.Replace(modelPart, "127.0.0.1", "10.0.0.1", 1), `f.toml:9: agent.backend_addr: "10.0.0.1:8000" is not on loopback; the agent stands beside its backend server on the same VM, such as "127.0.0.1:8000"`},
		"negative bound":        {modelPart + "scratch_max_bytes = -1\n", `f.toml:12: agent.scratch_max_bytes: must be at least 0`},
		"strategy":              {modelPart + "strategy = \"rsync\"\n", `f.toml:12: agent.strategy: "rsync" is not allowed; allowed: "swarm", "origin", "zone-tree", "chain"`},
		"no peers":              {controlPart, `f.toml:7: control.peer: is missing; name each initial voter in a [[control.peer]] table with name and addr`},
		"no data folder":        {strings.Replace(controlPart, "data_dir = \"data\"\n", "", 1) + peerPart, `f.toml:7: control.data_dir: is missing; must be a folder on a disk`},
		"peer twice":            {controlPart + peerPart + "[[control.peer]]\nname = \"d\"\naddr = \"10.0.0.1:7100\"\n", "f.toml:13: control.peer[1].name: \"d\" is given twice\nf.toml:14: control.peer[1].addr: \"10.0.0.1:7100\" is given twice"},
		"own address differs":   {controlPart + strings.Replace(peerPart, "7100", "7200", 1), `f.toml:11: control.peer[0].addr: is "10.0.0.1:7200" but this server's rpc_addr is "10.0.0.1:7100"; they must be the same`},
		"peer's admin address":  {controlPart + peerPart + "admin_addr = \"0.0.0.0:1\"\n", `f.toml:12: control.peer[0].admin_addr: "0.0.0.0:1" can't be reached from other machines; give the IP number of one interface`},
		"operator's key itself": {controlPart + peerPart + "[[control.operator]]\nname = \"ana\"\nkey_hash = \"secret\"\n", `f.toml:14: control.operator[0].key_hash: must be the hex SHA-256 digest of the operator's key, 64 digits`},
		"election too short":    {controlPart + "election_ticks = 5\n" + peerPart, `f.toml:9: control.election_ticks: must be at least 3 times heartbeat_ticks, 6 or more`},
		"lease too short":       {controlPart + "lease = \"10ms\"\n" + peerPart, `f.toml:9: control.lease: must be at least 1s`},
		"all at once":           {"zone = 1\nroles = [\"entry\"]\nrpc_adr = \"x\"\n[entry]\ncallers_addr = \"8080\"\n", "f.toml: name: is missing; must be a name such as \"stgo-a-1\"\nf.toml: region: is missing; must be a name such as \"stgo-a-1\"\nf.toml: rpc_addr: is missing; must be IP:port such as \"10.1.2.3:7100\"\nf.toml: http_addr: is missing; must be IP:port such as \"10.1.2.3:7100\"\nf.toml:1: zone: must be a string, not an integer\nf.toml:3: rpc_adr: unknown key; allowed here: agent, control, drain_timeout, entry, http_addr, log_level, name, region, roles, rpc_addr, zone\nf.toml:4: entry.control: is missing; list the rpc_addr of each control server\nf.toml:5: entry.callers_addr: \"8080\" is not an address; must be IP:port such as \"10.1.2.3:7100\""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, err := Parse("f.toml", []byte(c.text))
			require.EqualError(t, err, c.want)
			require.Nil(t, s)
		})
	}
}

func TestDefaultsAndAbsentRoles(t *testing.T) {
	for _, text := range []string{controlPart + peerPart, entryPart, modelPart} {
		_, err := Parse("f.toml", []byte(text))
		require.NoError(t, err)
	}
	s, err := Parse("f.toml", []byte(modelPart+"capacity = 3\n"))
	require.NoError(t, err)
	require.True(t, s.Has(RoleAgent))
	require.False(t, s.Has(RoleEntry))
	require.Nil(t, s.Control)
	require.Nil(t, s.Entry)
	require.Equal(t, 3, s.Agent.Capacity)
	require.Equal(t, inventory.KindModel, s.Agent.Kind)
	require.Equal(t, defaultLoadTimeout, s.Agent.LoadTimeout)
	require.Equal(t, defaultDrainTimeout, s.DrainTimeout)
}

func TestLoadOfAMissingFile(t *testing.T) {
	_, err := Load("no-such-file.toml")
	require.ErrorIs(t, err, os.ErrNotExist)
}
