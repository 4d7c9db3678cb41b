package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/adminclient"
	"lynxgate.dev/lynxgate/internal/configfeed"
	"lynxgate.dev/lynxgate/internal/daemon"
	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/settings"
)

// serverEnv holds the settings, in JSON, of a process in which this test binary
// runs a control server instead of the tests.
const serverEnv = "LYNXGATE_TEST_CONTROL_SERVER"

const waitLong = 60 * time.Second

func TestMain(m *testing.M) {
	text := os.Getenv(serverEnv)
	if text == "" {
		os.Exit(m.Run())
	}
	var s settings.Settings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(err)
	}
	if err := daemon.Run(context.Background(), &s, zerolog.New(os.Stderr).Level(zerolog.WarnLevel)); err != nil {
		panic(err)
	}
}

// processes is a cluster of control servers, each its own process with its own IP
// address: a port of 127.0.0.1 may be assigned to another process while its server
// is down.
type processes struct {
	t        *testing.T
	settings []*settings.Settings
	commands []*exec.Cmd
	outputs  []*bytes.Buffer
	operator *adminclient.Client
	base     uint64
}

// Ports of every server; servers differ in their IP addresses.
const (
	serverRPCPort  = 7100
	serverHTTPPort = 7200
)

func startProcesses(t *testing.T, n int) *processes {
	p := &processes{t: t, commands: make([]*exec.Cmd, n), outputs: make([]*bytes.Buffer, n)}
	fleet, err := harness.NewFleet(t.TempDir(), t.TempDir())
	require.NoError(t, err)
	var peers []settings.Peer
	for i := range n {
		ip := fleet.IP()
		peers = append(peers, settings.Peer{
			Name: fmt.Sprint("c", i), Addr: fmt.Sprint(ip, ":", serverRPCPort), AdminAddr: fmt.Sprint(ip, ":", serverHTTPPort),
		})
	}
	for i, peer := range peers {
		p.settings = append(p.settings, &settings.Settings{
			Name: peer.Name, Zone: "z", Region: "r", Roles: []string{string(settings.RoleControl)},
			RPCAddr: peer.Addr, HTTPAddr: peer.AdminAddr, LogLevel: "warn", DrainTimeout: time.Second,
			Control: &settings.Control{
				DataDir: t.TempDir(), Peers: peers,
				Operators:    []settings.Operator{{Name: "ops", KeyHash: harness.KeyHash("ops")}},
				TickInterval: 20 * time.Millisecond, HeartbeatTicks: 4, ElectionTicks: 20, SnapshotEntries: 20,
				Lease: 30 * time.Second, ClaimWindow: time.Hour, AuditWindow: time.Hour,
			},
		})
		p.start(i)
	}
	t.Cleanup(p.killAll)
	p.operator = p.connect(n)
	return p
}

func (p *processes) start(i int) {
	text, err := json.Marshal(p.settings[i])
	require.NoError(p.t, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serverEnv+"="+string(text))
	p.outputs[i] = &bytes.Buffer{}
	cmd.Stderr = p.outputs[i]
	require.NoError(p.t, cmd.Start())
	p.commands[i] = cmd
}

func (p *processes) signal(i int, sig os.Signal) {
	require.NoError(p.t, p.commands[i].Process.Signal(sig))
}

// kill kills a process with SIGKILL, as in a crash.
func (p *processes) kill(i int) {
	p.signal(i, syscall.SIGKILL)
	_ = p.commands[i].Wait()
}

// killAll kills all processes and logs their output if the test has failed.
func (p *processes) killAll() {
	for i, cmd := range p.commands {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
		if p.t.Failed() {
			p.t.Logf("%s, last started: %v\n%s", p.settings[i].Name, cmd.ProcessState, p.outputs[i])
		}
	}
}

// connect returns an operator's client for the first n servers.
func (p *processes) connect(n int) *adminclient.Client {
	var addrs []string
	for _, s := range p.settings[:n] {
		addrs = append(addrs, s.HTTPAddr)
	}
	return p.connectTo(addrs...)
}

func (p *processes) connectTo(addrs ...string) *adminclient.Client {
	client, err := adminclient.New(adminclient.Config{
		Addrs: addrs, Key: harness.Key("ops"), Patience: waitLong, AttemptTimeout: time.Second,
		Pause: func(context.Context, time.Duration) { time.Sleep(20 * time.Millisecond) },
	})
	require.NoError(p.t, err)
	return client
}

func (p *processes) change(i int) {
	value, err := json.Marshal(inventory.Zone{Name: "z", Region: fmt.Sprint("r", i)})
	require.NoError(p.t, err)
	reply, err := p.operator.Apply(context.Background(), fmt.Sprint("op", i), p.base,
		[]inventory.Change{{Key: "zone/z", Value: value}})
	require.NoError(p.t, err)
	require.Equal(p.t, inventory.VerdictAccepted, reply.Verdict, "%v", reply.Problems)
	require.Equal(p.t, p.base+1, reply.Revision, "one revision per change")
	p.base = reply.Revision
}

func (p *processes) leader() int {
	found := -1
	require.Eventually(p.t, func() bool {
		st, err := p.operator.Status(context.Background())
		for i, s := range p.settings {
			if err == nil && st.Quorum && s.Name == st.Leader {
				found = i
			}
		}
		return found >= 0
	}, waitLong, 20*time.Millisecond)
	return found
}

// TestKilledAndFrozenLeaders kills one leader and stops another with SIGSTOP
// during a series of changes. No accepted change is lost or reverted at any
// subscriber, and the frozen leader does not answer with old state after SIGCONT.
func TestKilledAndFrozenLeaders(t *testing.T) {
	p := startProcesses(t, 3)
	var upstreams []string
	for _, s := range p.settings {
		upstreams = append(upstreams, s.RPCAddr)
	}
	var feeds []*configfeed.Client
	for i := range 4 {
		name := fmt.Sprint("s", i)
		feed, err := configfeed.NewClient(configfeed.ClientConfig{
			Name: name, Upstreams: configfeed.RendezvousOrder(name, upstreams), Patience: 3 * time.Second})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = feed.Run(ctx) }()
		go watchFeed(ctx, t, feed)
		feeds = append(feeds, feed)
	}
	var down, frozen int
	for i := range 60 {
		switch i {
		case 15:
			down = p.leader()
			p.kill(down)
		case 25:
			p.start(down)
		case 35:
			frozen = p.leader()
			p.signal(frozen, syscall.SIGSTOP)
		case 45:
			p.signal(frozen, syscall.SIGCONT)
			snapshot, err := p.connectTo(p.settings[frozen].HTTPAddr).Config(context.Background(), "zone/")
			require.NoError(t, err)
			require.Equal(t, p.base, snapshot.Revision, "an old leader does not answer with old state")
		}
		p.change(i + 1)
	}
	for _, f := range feeds {
		require.Eventually(t, func() bool { return f.Revision() == p.base && !f.Unconfirmed() },
			waitLong, 10*time.Millisecond, "in force everywhere")
	}
	records, err := p.operator.Audit(context.Background(), admin.AuditQuery{Limit: 100})
	require.NoError(t, err)
	require.Len(t, records, 60)
}

// watchFeed checks that the feed's revision never decreases and that each view has
// the value accepted at its revision.
func watchFeed(ctx context.Context, t *testing.T, f *configfeed.Client) {
	var last uint64
	for ctx.Err() == nil {
		changed := f.Changed()
		view := f.View()
		if view.Revision() < last {
			t.Errorf("revision decreased from %d to %d", last, view.Revision())
		}
		last = view.Revision()
		if e := view.Get("zone/z"); last > 0 && !strings.Contains(string(e.Value), fmt.Sprintf(`"r%d"`, last)) {
			t.Errorf("revision %d has %s", last, e.Value)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
