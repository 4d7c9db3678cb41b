package adminclient

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/admin/admintest"
	"lynxgate.dev/lynxgate/internal/inventory"
)

const operatorKey = "operator-secret"

var zoneZ = []inventory.Change{{Key: "zone/z", Value: []byte(`{"name":"z","region":"r"}`)}}

func newHandler(t *testing.T, backend admin.Backend) http.Handler {
	digest := sha256.Sum256([]byte(operatorKey))
	api, err := admin.New(admin.Config{Operators: []admin.Operator{{Name: "ana", KeyHash: hex.EncodeToString(digest[:])}}}, backend)
	require.NoError(t, err)
	e := admin.NewEcho()
	api.Register(e)
	return e
}

func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// dropAnswers carries out the first requests, as many as answers, and closes the
// connection instead of answering them.
func dropAnswers(handler http.Handler, answers int64) http.Handler {
	var served atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if served.Add(1) > answers {
			handler.ServeHTTP(w, r)
			return
		}
		handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// newClient returns a client that doesn't pause between rounds, and a context
// that is cancelled after some of them.
func newClient(t *testing.T, addrs ...string) (*Client, context.Context) {
	const rounds = 3
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	pauses := 0
	client, err := New(Config{Addrs: addrs, Key: operatorKey, Pause: func(context.Context, time.Duration) {
		pauses++
		if pauses == rounds {
			cancel()
		}
	}})
	require.NoError(t, err)
	return client, ctx
}

func closedAddr(t *testing.T) string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

func TestResendAfterALostAnswerReturnsTheFirstResult(t *testing.T) {
	backend := admintest.New(inventory.Inventory{})
	good := newHandler(t, backend)
	client, ctx := newClient(t, serve(t, dropAnswers(good, 1)), closedAddr(t), serve(t, dropAnswers(good, 1)))
	reply, err := client.Apply(ctx, "op-1", 1, zoneZ)
	require.NoError(t, err)
	require.Equal(t, uint64(2), reply.Revision)
	require.True(t, reply.Repeated, "the first attempt was carried out")
	require.Len(t, backend.AuditTrail(), 1, "carried out once")
}

func TestDrainIsResentUnderOneOperationID(t *testing.T) {
	backend := admintest.New(inventory.Inventory{
		Zones: []inventory.Zone{{Name: "z", Region: "r"}}, VMs: []inventory.VM{{Name: "vm-1", Zone: "z"}},
	})
	client, ctx := newClient(t, serve(t, dropAnswers(newHandler(t, backend), 2)))
	reply, err := client.SetDrained(ctx, "op-1", "vm-1", true)
	require.NoError(t, err)
	require.True(t, reply.Repeated)
	require.Len(t, backend.AuditTrail(), 1)
}

func TestOutcomesWithoutADefiniteAnswer(t *testing.T) {
	backend := admintest.New(inventory.Inventory{})
	good := newHandler(t, backend)
	neverAnswering := dropAnswers(good, 1000)
	denying := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	noQuorum := admintest.New(inventory.Inventory{})
	for range 10 {
		noQuorum.Fail(admintest.Failure{Err: admin.ErrNoQuorum})
	}

	client, ctx := newClient(t, closedAddr(t), serve(t, newHandler(t, noQuorum)))
	_, err := client.Apply(ctx, "op-1", 1, zoneZ)
	require.ErrorAs(t, err, new(*UnreachableError), "nothing was carried out")

	client, ctx = newClient(t, serve(t, neverAnswering))
	_, err = client.Apply(ctx, "op-1", 1, zoneZ)
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "op-1", unknown.OperationID)

	client, ctx = newClient(t, serve(t, dropAnswers(denying, 1)))
	_, err = client.Apply(ctx, "op-2", 1, zoneZ)
	require.ErrorAs(t, err, &unknown, "a later refusal that ignores the operation id is not definite")

	client, ctx = newClient(t, serve(t, neverAnswering))
	_, err = client.Config(ctx, "")
	require.ErrorAs(t, err, new(*UnreachableError), "a read changes nothing")
}

func TestPatienceDoesNotCancelAnAttemptInProgress(t *testing.T) {
	refusing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(100 * time.Millisecond)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	client, err := New(Config{Addrs: []string{serve(t, refusing)}, Key: operatorKey, Patience: time.Millisecond})
	require.NoError(t, err)
	_, err = client.Apply(context.Background(), "op", 0, zoneZ)
	require.ErrorAs(t, err, new(*UnreachableError))
}

func TestResendAfterAnUnknownResult(t *testing.T) {
	backend := admintest.New(inventory.Inventory{})
	backend.Fail(admintest.Failure{Err: admin.ErrResultUnknown, After: true})
	client, ctx := newClient(t, serve(t, newHandler(t, backend)))
	reply, err := client.Apply(ctx, "op-1", 1, zoneZ)
	require.NoError(t, err)
	require.True(t, reply.Repeated)
	require.Len(t, backend.AuditTrail(), 1)
}

func TestRedirectToTheLeader(t *testing.T) {
	leader := admintest.New(inventory.Inventory{})
	leaderAddr := serve(t, newHandler(t, leader))
	follower := admintest.New(inventory.Inventory{})
	follower.Fail(admintest.Failure{Err: &admin.NotLeaderError{Leader: "control-2", AdminAddr: leaderAddr}})
	client, ctx := newClient(t, serve(t, newHandler(t, follower)))
	_, err := client.Apply(ctx, "op-1", 1, zoneZ)
	require.NoError(t, err)
	require.Len(t, leader.AuditTrail(), 1)
	require.Empty(t, follower.AuditTrail())
}

func TestStatusPrefersTheLeaderThenAQuorum(t *testing.T) {
	leader, follower, removed := admintest.New(inventory.Inventory{}), admintest.New(inventory.Inventory{}), admintest.New(inventory.Inventory{})
	leaderAddr, followerAddr := serve(t, newHandler(t, leader)), serve(t, newHandler(t, follower))
	removedAddr := serve(t, newHandler(t, removed))
	leader.SetStatus(admin.Status{Server: "control-2", Leader: "control-2", Quorum: true})
	follower.SetStatus(admin.Status{Server: "control-1", Leader: "control-2", Quorum: true, LeaderAdminAddr: leaderAddr})
	removed.SetStatus(admin.Status{Server: "control-0"})
	cases := map[string]struct {
		addrs []string
		want  string
	}{
		"follower names the leader":    {[]string{followerAddr}, "control-2"},
		"leader among the addresses":   {[]string{removedAddr, leaderAddr}, "control-2"},
		"follower rather than removed": {[]string{removedAddr, followerAddr}, "control-1"},
		"only a removed server":        {[]string{removedAddr, closedAddr(t)}, "control-0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client, ctx := newClient(t, c.addrs...)
			status, err := client.Status(ctx)
			require.NoError(t, err)
			require.Equal(t, c.want, status.Server)
		})
	}
}

func TestDefiniteRefusals(t *testing.T) {
	backend := admintest.New(inventory.Inventory{})
	client, ctx := newClient(t, serve(t, newHandler(t, backend)))
	var refused *APIError
	_, err := client.Apply(ctx, "op-1", 0, []inventory.Change{{Key: "member/x"}})
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusUnprocessableEntity, refused.Status)
	require.Contains(t, err.Error(), "member/x: not a declared key")

	client, ctx = newClient(t, serve(t, newHandler(t, backend)))
	client.cfg.Key = "wrong"
	_, err = client.Servers(ctx)
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusUnauthorized, refused.Status)
}

func TestAddressesAndTLS(t *testing.T) {
	for _, bad := range []string{"", "localhost:7180", "ftp://10.0.0.1:1", "10.0.0.1"} {
		_, err := New(Config{Addrs: []string{bad}})
		require.ErrorContains(t, err, "allowed: IP:port or https://IP:port", bad)
	}
	server := httptest.NewTLSServer(newHandler(t, admintest.New(inventory.Inventory{})))
	defer server.Close()
	client, ctx := newClient(t, server.URL)
	_, err := client.Servers(ctx)
	require.ErrorAs(t, err, new(*UnreachableError), "an unknown authority isn't trusted")

	caFile := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	require.NoError(t, os.WriteFile(caFile, pem.EncodeToMemory(block), 0o600))
	client, err = New(Config{Addrs: []string{server.URL}, Key: operatorKey, CAFile: caFile})
	require.NoError(t, err)
	servers, err := client.Servers(context.Background())
	require.NoError(t, err)
	require.Len(t, servers, 1)
}
