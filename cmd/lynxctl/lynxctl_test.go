package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/admin/admintest"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
)

const operatorKey = "operator-secret"

// bench runs the tool against the API over an in-memory backend.
type bench struct {
	t       *testing.T
	backend *admintest.Backend
	control string
	// loseAnswers is how many answers to changes are still to be dropped.
	loseAnswers atomic.Int64
	// ctx ends the running command; giveUp ends it once no answer is left to
	// be dropped.
	ctx    context.Context
	giveUp context.CancelFunc
}

func newBench(t *testing.T) *bench {
	digest := sha256.Sum256([]byte(operatorKey))
	b := &bench{t: t, backend: admintest.New(inventory.Inventory{}), ctx: context.Background()}
	api, err := admin.New(admin.Config{Operators: []admin.Operator{{Name: "ana", KeyHash: hex.EncodeToString(digest[:])}}}, b.backend)
	require.NoError(t, err)
	e := admin.NewEcho()
	api.Register(e)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			if left := b.loseAnswers.Add(-1); left >= 0 {
				e.ServeHTTP(httptest.NewRecorder(), r)
				if left == 0 && b.giveUp != nil {
					b.giveUp()
				}
				panic(http.ErrAbortHandler)
			}
		}
		e.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	b.control = strings.TrimPrefix(server.URL, "http://")
	return b
}

// run executes a command line and returns its status, stdout and stderr.
func (b *bench) run(args ...string) (subcommands.ExitStatus, string, string) {
	return runIn(b.ctx, map[string]string{envControl: b.control, envKey: operatorKey}, args...)
}

func runWith(variables map[string]string, args ...string) (subcommands.ExitStatus, string, string) {
	return runIn(context.Background(), variables, args...)
}

func runIn(ctx context.Context, variables map[string]string, args ...string) (subcommands.ExitStatus, string, string) {
	var stdout, stderr bytes.Buffer
	env := &environment{stdout: &stdout, stderr: &stderr, getenv: func(name string) string { return variables[name] }}
	status := run(ctx, env, args)
	return status, stdout.String(), stderr.String()
}

func (b *bench) must(args ...string) string {
	status, stdout, stderr := b.run(args...)
	require.Equal(b.t, exitOK, status, stderr)
	return stdout
}

func (b *bench) file(text string) string {
	path := filepath.Join(b.t.TempDir(), "inventory.toml")
	require.NoError(b.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const (
	zoneText = "[[zone]]\nname = \"stgo-a\"\nregion = \"santiago\"\n"
	vmText   = "[[vm]]\nname = \"vm-1\"\nzone = \"stgo-a\"\n"
)

func TestApplyFromDryRunToAudit(t *testing.T) {
	b := newBench(t)
	file := b.file(zoneText + vmText)
	dry := b.must("apply", "-dry-run", file)
	require.Equal(t, `+ vm/vm-1 {"name":"vm-1","zone":"stgo-a"}
+ zone/stgo-a {"name":"stgo-a","region":"santiago"}
dry run: 2 changes on revision 1, nothing was changed
`, dry)
	require.Empty(t, b.backend.AuditTrail())

	require.Contains(t, b.must("apply", file), "accepted: revision 2, operation ")
	require.Equal(t, "no changes; revision 2 is in force\n", b.must("apply", file))
	require.Contains(t, b.must("get", "vm/"), "vm/vm-1  2         {\"name\":\"vm-1\",\"zone\":\"stgo-a\"}")
	require.Contains(t, b.must("audit"), "ana       ")

	rest := b.file(zoneText)
	require.Equal(t, "no changes; revision 2 is in force\n", b.must("apply", rest), "records not named stay")
	require.Contains(t, b.must("apply", "-delete-missing", rest), "- vm/vm-1\naccepted: revision 3")
	require.Contains(t, b.must("audit", "-since", "2", "-key", "vm/"), "-vm/vm-1")
}

func TestApplyKeepsADrainUnlessTheFileSetsIt(t *testing.T) {
	b := newBench(t)
	b.must("apply", b.file(zoneText+vmText))
	b.must("drain", "vm-1")
	require.Contains(t, b.must("apply", b.file(zoneText+vmText)), "no changes")
	require.Contains(t, b.must("apply", b.file(zoneText+vmText+"drained = false\n")), "~ vm/vm-1: drained true -> unset")
	b.must("drain", "vm-1")
	require.Contains(t, b.must("undrain", "vm-1"), "accepted: revision 6")
}

func TestALostAnswerIsResentUnderTheSameOperationID(t *testing.T) {
	b := newBench(t)
	b.loseAnswers.Store(2)
	require.Contains(t, b.must("apply", b.file(zoneText)), "accepted earlier: revision 2")
	require.Len(t, b.backend.AuditTrail(), 1)
}

func TestExitCodes(t *testing.T) {
	b := newBench(t)
	bad := b.file("[[vm]]\nname = \"vm-1\"\nzone = \"nowhere\"\n")
	typo := b.file("[[zone]]\nnane = \"z\"\n")
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	gone := strings.TrimPrefix(closed.URL, "http://")

	cases := map[string]struct {
		args []string
		want subcommands.ExitStatus
		text string
	}{
		"unknown command":    {[]string{"frob"}, exitBadInput, ""},
		"unknown flag":       {[]string{"get", "-frob"}, exitBadInput, "flag provided but not defined"},
		"no files":           {[]string{"apply"}, exitBadInput, "apply needs files or folders"},
		"no such file":       {[]string{"apply", "missing.toml"}, exitBadInput, "missing.toml"},
		"typo":               {[]string{"apply", typo}, exitBadInput, typo + ":2: zone[0].nane: unknown key"},
		"unknown zone":       {[]string{"apply", bad}, exitBadInput, `vm/vm-1: zone: zone "nowhere" is not declared`},
		"bad format":         {[]string{"get", "-o", "yaml"}, exitBadInput, "allowed: text, json"},
		"bad address":        {[]string{"get", "-control", "localhost:1"}, exitBadInput, "allowed: IP:port"},
		"too many arguments": {[]string{"status", "x"}, exitBadInput, "status takes flags only"},
		"bad servers verb":   {[]string{"servers", "drop"}, exitBadInput, "servers needs"},
		"unknown VM":         {[]string{"drain", "vm-9"}, exitBadInput, `no VM "vm-9"`},
		"out of reach":       {[]string{"get", "-control", gone, "-timeout", "50ms"}, exitUnreachable, "no control server with a quorum in reach"},
		"change, no reach":   {[]string{"drain", "-control", gone, "-timeout", "50ms", "vm-1"}, exitUnreachable, "no control server"},
		"last server":        {[]string{"servers", "remove", "control-1"}, exitBadInput, "invalid request"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, _, stderr := b.run(c.args...)
			require.Equal(t, c.want, status, stderr)
			require.Contains(t, stderr, c.text)
		})
	}

	status, _, stderr := runWith(map[string]string{envControl: b.control}, "get")
	require.Equal(t, exitBadInput, status)
	require.Contains(t, stderr, "no operator's key")
	status, _, stderr = runWith(map[string]string{envKey: "k"}, "get")
	require.Equal(t, exitBadInput, status)
	require.Contains(t, stderr, "no control server")
	status, _, stderr = runWith(map[string]string{envControl: b.control, envKey: "wrong"}, "get")
	require.Equal(t, exitFailed, status)
	require.Contains(t, stderr, "not an operator's")
}

func TestAnUnknownOutcomeNamesTheOperation(t *testing.T) {
	b := newBench(t)
	good := b.file(zoneText)
	b.ctx, b.giveUp = context.WithCancel(context.Background())
	b.loseAnswers.Store(2)
	status, stdout, stderr := b.run("apply", "-o", "json", good)
	require.Equal(t, exitUnknown, status, stderr)
	var lost failure
	require.NoError(t, json.Unmarshal([]byte(stdout), &lost))
	require.Equal(t, int(exitUnknown), lost.ExitCode)
	require.Contains(t, stderr, "resend with operation id "+lost.OperationID)
	require.Len(t, b.backend.AuditTrail(), 1, "it was carried out, once")
	require.Equal(t, lost.OperationID, b.backend.AuditTrail()[0].OperationID)

	b.ctx = context.Background()
	require.Contains(t, b.must("apply", "-operation-id", lost.OperationID, good), "no changes", "it is in force already")
}

func TestAConflictNamesTheRevisionInForce(t *testing.T) {
	b := newBench(t)
	b.must("apply", b.file(zoneText))
	ctx := context.Background()
	env := &environment{stdout: &bytes.Buffer{}, stderr: &bytes.Buffer{}, getenv: func(name string) string {
		return map[string]string{envControl: b.control, envKey: operatorKey}[name]
	}}
	var connection connection
	connection.output.format = formatText
	status := connection.withSession(ctx, env, func(ctx context.Context, s session) error {
		_, err := s.client.Apply(ctx, "late", 1, []inventory.Change{{Key: "zone/z", Value: []byte(`{"name":"z","region":"r"}`)}})
		return err
	})
	require.Equal(t, exitConflict, status)
	require.Contains(t, env.stderr.(*bytes.Buffer).String(), "revision 2 is in force")
}

func TestStatusShowsEveryPart(t *testing.T) {
	b := newBench(t)
	b.backend.SetStatus(admin.Status{
		Server: "control-1", Leader: "control-1", Term: 3, LowestRevision: 1, Quorum: true,
		Daemons:   []admin.DaemonStatus{{Name: "entry-1", Role: "entry", Zone: "stgo-a", Revision: 1, State: "up", LastSeen: 2e9}},
		Laggards:  []admin.Laggard{{Name: "vm-2", Revision: 1, Behind: 4, Reason: "not heard of for 12s"}},
		Replicas:  []admin.ReplicaCount{{Model: "draft", Version: "v1", Wanted: 4, Live: 3, Fetching: 1}},
		Transfers: []admin.Transfer{{VM: "vm-2", Model: "draft", Version: "v1", Held: 5, Total: 20, OriginBytes: 1 << 20, PeerBytes: 3 << 30}},
		Unmet:     []admin.Unmet{{Rule: "copy", Reason: "too few VMs in zone stgo-a", Wanted: 4, Possible: 3}},
	})
	want := `revision 1, lowest in force 1, leader control-1, term 3, quorum yes

DAEMON   ROLE   ZONE    SERVICE  STATE  REVISION  CONFIRMED  LAST SEEN
entry-1  entry  stgo-a  -        up     1         yes        2s ago

LAGGARD  REVISION  BEHIND  REASON
vm-2     1         4       not heard of for 12s

MODEL  VERSION  WANTED  LIVE  STAGED  FETCHING  FAILED
draft  v1       4       3     0       1         0

TRANSFER TO  MODEL  VERSION  PROGRESS         FROM ORIGIN  FROM PEERS  ERROR
vm-2         draft  v1       5/20 chunks 25%  1.0 MiB      3.0 GiB     -

UNMET RULE  WANTED  POSSIBLE  REASON
copy        4       3         too few VMs in zone stgo-a
`
	require.Equal(t, want, b.must("status"))
	var status admin.Status
	require.NoError(t, json.Unmarshal([]byte(b.must("status", "-o", "json")), &status))
	require.Equal(t, 3, status.Replicas[0].Live)
}

func TestServers(t *testing.T) {
	b := newBench(t)
	require.Contains(t, b.must("servers", "add", "control-2", "10.0.0.2:7100"), "control-2  10.0.0.2:7100  learner")
	require.NotContains(t, b.must("servers", "remove", "control-2"), "control-2")
	require.Contains(t, b.must("servers", "list"), "control-1  10.0.0.1:7100  leader")
}

func TestCheckOffline(t *testing.T) {
	status, stdout, stderr := runWith(nil, "check", "-settings", "../../examples/control.toml",
		"-settings", "../../examples/entry.toml", "../../examples/inventory")
	require.Equal(t, exitOK, status, stderr)
	require.Equal(t, "ok\n", stdout)

	status, stdout, _ = runWith(nil, "check", "-o", "json", "-settings", "../../examples/inventory/places.toml", "missing.toml")
	require.Equal(t, exitBadInput, status)
	var out checkOutput
	require.NoError(t, json.Unmarshal([]byte(stdout), &out))
	require.False(t, out.OK)
	last := out.Problems[len(out.Problems)-1]
	require.Contains(t, last.Message, "missing.toml")
	status, _, _ = runWith(nil, "check")
	require.Equal(t, exitBadInput, status)
}

func TestManifest(t *testing.T) {
	dir := t.TempDir()
	weights, out := filepath.Join(dir, "weights"), filepath.Join(dir, "manifest.json")
	require.NoError(t, os.WriteFile(weights, []byte("some weights"), 0o600))
	status, stdout, stderr := runWith(nil, "manifest", "-model", "draft", "-version", "v1", "-chunk-size", "5", "-out", out, weights)
	require.Equal(t, exitOK, status, stderr)
	encoded, err := os.ReadFile(out)
	require.NoError(t, err)
	require.Contains(t, stdout, `manifest = "`+manifest.Sum(encoded).String()+`"`)
	parsed, err := manifest.Parse(encoded)
	require.NoError(t, err)
	require.Equal(t, 3, parsed.Len())

	status, _, stderr = runWith(nil, "manifest", weights)
	require.Equal(t, exitBadInput, status)
	require.Contains(t, stderr, "-model and -version")
	status, _, _ = runWith(nil, "manifest", "-model", "m", "-version", "v", "missing")
	require.Equal(t, exitFailed, status)
}
