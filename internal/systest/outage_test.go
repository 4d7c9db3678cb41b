package systest

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/adminclient"
	"lynxgate.dev/lynxgate/internal/inventory"
)

// TestAllDaemonsKilled proves that configuration, audit trail and claims
// outlive the death of every daemon at once, and that the model comes back.
func TestAllDaemonsKilled(t *testing.T) {
	s := start(t, size{controls: 3, entries: 1, engines: 2, plains: 1})
	s.bringLive("v1")
	entry := s.entries[0]
	s.wait("the plain service to be served", func() bool { return job(entry, "kept").status == http.StatusOK })
	answer := job(entry, "kept")
	require.Equal(t, "true", answer.header.Get("Idempotent-Replayed"))
	for i := range 5 {
		s.change(s.client, "kept", i+1)
	}
	ctx := context.Background()
	audit, err := s.client.Audit(ctx, admin.AuditQuery{Limit: admin.DefaultAuditLimit})
	require.NoError(t, err)
	declared, err := s.client.Config(ctx, inventory.PrefixOrganisation)
	require.NoError(t, err)
	// A control server replays its log before it takes part; what counts is
	// that nobody below it goes back.
	watch := watchRevisions(t, s.engines[0].Daemon, s.engines[1].Daemon)
	s.wait("a look at each revision", func() bool {
		return watch.of(s.engines[0].Daemon) >= declared.Revision && watch.of(s.engines[1].Daemon) >= declared.Revision
	})

	for _, d := range s.daemons() {
		require.NoError(t, d.Kill())
	}
	for _, d := range s.daemons() {
		s.restart(d)
	}
	s.waitInForce()
	after, err := s.client.Config(ctx, inventory.PrefixOrganisation)
	require.NoError(t, err)
	require.Equal(t, declared.Keys, after.Keys)
	require.GreaterOrEqual(t, after.Revision, declared.Revision)
	auditAfter, err := s.client.Audit(ctx, admin.AuditQuery{Limit: admin.DefaultAuditLimit})
	require.NoError(t, err)
	require.Equal(t, audit, auditAfter[:len(audit)])
	again := job(entry, "kept")
	require.Equal(t, http.StatusOK, again.status, again)
	require.Equal(t, answer.body, again.body)
	require.Equal(t, 1, s.runsOf("kept"))
	s.waitLive("v1", len(s.engines))
	watch.check(t)
}

// TestWipedDiskAndSecondFailure proves that a control server whose disk was
// wiped does not vote under its old name: no accepted change is lost although
// a second server fails right after, and the operators' commands bring the
// server back.
func TestWipedDiskAndSecondFailure(t *testing.T) {
	s := start(t, size{controls: 3})
	leader, index := s.leader()
	others := s.others(index)
	behind, wiped := others[0], others[1]
	require.NoError(t, behind.Freeze())
	rest := s.clientOf(leader, wiped)
	var accepted uint64
	for i := range 5 {
		accepted = s.change(rest, "accepted", i+1)
	}
	require.NoError(t, wiped.Kill())
	s.wipe(wiped.Name)
	s.restart(wiped)
	require.NoError(t, leader.Kill())
	require.NoError(t, behind.Thaw())

	// The server that lacks the changes and the wiped one must not be enough.
	ctx := context.Background()
	pair := s.impatientClient(behind.HTTPAddr, wiped.HTTPAddr)
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); {
		_, err := pair.Config(ctx, "")
		require.Error(t, err, "a wiped disk was counted for the quorum")
		_, err = pair.Apply(ctx, adminclient.NewOperationID(), accepted, []inventory.Change{setOrganisation("usurped", 1)})
		require.Error(t, err, "a change was accepted with a wiped disk")
	}
	s.restart(leader)
	s.waitQuorum()
	snapshot, err := s.client.Config(ctx, inventory.PrefixOrganisation)
	require.NoError(t, err)
	require.GreaterOrEqual(t, snapshot.Revision, accepted)
	require.Len(t, snapshot.Keys, 3, "organisations in force")
	require.Equal(t, inventory.PrefixOrganisation+"accepted", snapshot.Keys[0].Key)
	require.Contains(t, string(snapshot.Keys[0].Value), `"weight":5`)

	// As docs/operating/control-servers.md has it: started with its old name
	// on an empty disk it is put in its old place.
	// Until it is let in the list shows the voter that its old disk was.
	s.wait("the wiped server to be let in", func() bool {
		return ask(wiped, http.MethodGet, "/readyz", "").status == http.StatusOK
	})
	s.wait("the wiped server to vote again", func() bool {
		servers, err := s.client.Servers(ctx)
		if err != nil {
			return false
		}
		for _, server := range servers {
			if server.Name == wiped.Name {
				return !server.Learner
			}
		}
		return false
	})
	// Now it counts: without the server that was behind all goes on.
	require.NoError(t, behind.Kill())
	s.change(s.clientOf(leader, wiped), "after", 1)
}

// wipe removes the data folder of a control server.
func (s *system) wipe(control string) {
	s.t.Helper()
	dir := filepath.Join(s.fleet.Dir, "data-"+control)
	_, err := os.Stat(dir)
	require.NoError(s.t, err)
	require.NoError(s.t, os.RemoveAll(dir))
}

func (s *system) impatientClient(addrs ...string) *adminclient.Client {
	c, err := adminclient.New(adminclient.Config{Addrs: addrs, Key: "key-of-ops", Patience: time.Second})
	require.NoError(s.t, err)
	return c
}
