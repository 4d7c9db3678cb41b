package systest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/adminclient"
	"lynxgate.dev/lynxgate/internal/configfeed"
	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/inventory"
)

// setOrganisation is a change of one organisation's weight.
func setOrganisation(name string, weight int) inventory.Change {
	value, err := json.Marshal(inventory.Organisation{Name: name, Weight: weight})
	if err != nil {
		panic(err)
	}
	return inventory.Change{Key: inventory.PrefixOrganisation + name, Value: value}
}

// change makes one accepted change through a client and returns its revision.
func (s *system) change(c *adminclient.Client, name string, weight int) uint64 {
	s.t.Helper()
	ctx := context.Background()
	for {
		snapshot, err := c.Config(ctx, "")
		require.NoError(s.t, err)
		r, err := c.Apply(ctx, adminclient.NewOperationID(), snapshot.Revision, []inventory.Change{setOrganisation(name, weight)})
		if isConflict(err) {
			continue
		}
		require.NoError(s.t, err)
		return r.Revision
	}
}

// changeKeys gives an organisation many keys, to make a large change.
func (s *system) changeKeys(c *adminclient.Client, name string, round, keys int) uint64 {
	s.t.Helper()
	org := inventory.Organisation{Name: name}
	for i := range keys {
		org.KeyHashes = append(org.KeyHashes, harness.KeyHash(fmt.Sprintf("%s-%d-%d", name, round, i)))
	}
	value, err := json.Marshal(org)
	require.NoError(s.t, err)
	ctx := context.Background()
	for {
		snapshot, err := c.Config(ctx, "zone/")
		require.NoError(s.t, err)
		r, err := c.Apply(ctx, adminclient.NewOperationID(), snapshot.Revision, []inventory.Change{{Key: inventory.PrefixOrganisation + name, Value: value}})
		if isConflict(err) {
			continue
		}
		require.NoError(s.t, err)
		return r.Revision
	}
}

// rawAnswer is the answer of one control server, without any retry elsewhere.
type rawAnswer struct {
	status int
	body   string
	err    error
}

// ask sends one request to one control server alone.
func ask(d *harness.Daemon, method, path, body string) rawAnswer {
	req, err := http.NewRequest(method, "http://"+d.HTTPAddr+path, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return rawAnswer{err: err}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+harness.Key("ops"))
	req.Header.Set("Content-Type", "application/json")
	resp, err := freshClient.Do(req)
	if err != nil {
		return rawAnswer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return rawAnswer{status: resp.StatusCode, body: string(data), err: err}
}

func changeBody(t *testing.T, operation string, base uint64, changes ...inventory.Change) string {
	data, err := json.Marshal(admin.ChangeBody{OperationID: operation, BaseRevision: &base, Changes: admin.ToItems(changes)})
	require.NoError(t, err)
	return string(data)
}

// TestFrozenLeader proves that a leader which slept through accepted changes
// neither hands out its old state as current nor accepts a change on it.
func TestFrozenLeader(t *testing.T) {
	s := start(t, size{controls: 3, entries: 2, plains: 1})
	watch := watchRevisions(t, s.daemons()...)
	old, index := s.leader()
	rest := s.clientOf(s.others(index)...)
	before := s.change(s.client, "contested", 1)

	require.NoError(t, old.Freeze())
	var asked sync.WaitGroup
	reads, writes := make([]rawAnswer, 8), make([]rawAnswer, 8)
	for i := range reads {
		body := changeBody(t, fmt.Sprintf("late-%d", i), before, setOrganisation("contested", 100+i))
		asked.Go(func() { reads[i] = ask(old, http.MethodGet, admin.PathConfig, "") })
		asked.Go(func() { writes[i] = ask(old, http.MethodPost, admin.PathChanges, body) })
	}
	var after uint64
	for i := range 20 {
		after = s.change(rest, "contested", 2+i)
	}
	require.NoError(t, old.Thaw())
	deadline := time.Now().Add(4 * time.Second)
	for time.Now().Before(deadline) {
		reads = append(reads, ask(old, http.MethodGet, admin.PathConfig, ""))
	}
	asked.Wait()
	current := 0
	for i, r := range reads {
		require.NoError(t, r.err)
		if r.status != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, r.status, r)
			continue
		}
		var snapshot admin.Snapshot
		require.NoError(t, json.Unmarshal([]byte(r.body), &snapshot))
		require.GreaterOrEqual(t, snapshot.Revision, after, "read %d: old state handed out as current", i)
		current++
	}
	require.Positive(t, current, "the thawed server never answered with the new state")
	for _, r := range writes {
		require.NoError(t, r.err)
		require.NotEqual(t, http.StatusOK, r.status, "a change on the old state was accepted: %v", r)
	}
	s.waitInForce()
	snapshot, err := s.clientOf(old).Config(context.Background(), inventory.PrefixOrganisation+"contested")
	require.NoError(t, err)
	require.Contains(t, string(snapshot.Keys[0].Value), `"weight":21`)
	watch.check(t)
}

// TestRestartBesideStaleServer proves that an entry and an agent that restart
// with a control server as first contact that slept through a hundred changes
// put no older revision into force than they had, with the quorum and without.
func TestRestartBesideStaleServer(t *testing.T) {
	s := start(t, size{controls: 3, entries: 2, engines: 1})
	s.bringLive("v1")
	// Only the second entry has a neighbour to take the configuration from.
	entry, neighbour, agent := s.entries[1], s.entries[0], s.engines[0].Daemon
	var addrs []string
	for _, d := range s.control {
		addrs = append(addrs, d.RPCAddr)
	}
	first := configfeed.RendezvousOrder(entry.Name, addrs)[0]
	stale := -1
	for i, d := range s.control {
		if d.RPCAddr == first {
			stale = i
		}
	}
	rest := s.clientOf(s.others(stale)...)
	watch := watchRevisions(t, entry, agent, neighbour)
	require.NoError(t, s.control[stale].Freeze())
	var newest uint64
	for i := range 100 {
		newest = s.change(rest, "busy", i+1)
	}
	s.wait("the last change at the daemons", func() bool {
		return watch.of(entry) >= newest && watch.of(agent) >= newest && watch.of(neighbour) >= newest
	})
	require.NoError(t, entry.Kill())
	require.NoError(t, agent.Kill())
	s.restart(entry)
	s.restart(agent)
	require.NoError(t, s.control[stale].Thaw())
	restarted := func(d *harness.Daemon, lowest uint64) func() bool {
		return func() bool {
			revision, ok := metric(d, "lynxgate_config_revision")
			return ok && uint64(revision) >= lowest
		}
	}
	s.wait("the restarted entry", restarted(entry, newest))
	s.wait("the restarted agent", restarted(agent, newest))

	// Once more, with only the stale server left of the quorum. The changes are
	// too large to wait for it in the sockets. The entry's neighbour and the
	// agent's own folder know better.
	require.NoError(t, s.control[stale].Freeze())
	const largeChanges, largeKeys = 24, 7500
	for i := range largeChanges {
		newest = s.changeKeys(rest, "large", i, largeKeys)
	}
	s.wait("the last change at the daemons", func() bool {
		return watch.of(entry) >= newest && watch.of(agent) >= newest && watch.of(neighbour) >= newest
	})
	for _, d := range append(s.others(stale), entry, agent) {
		require.NoError(t, d.Kill())
	}
	require.NoError(t, s.control[stale].Thaw())
	s.wait("the stale server with its old state", func() bool {
		revision, ok := revisionOf(s.control[stale])
		return ok && revision > 0 && uint64(revision) < newest
	})
	s.restart(agent)
	s.restart(entry)
	s.wait("the restarted entry without a quorum", restarted(entry, newest))
	s.wait("the restarted agent without a quorum", restarted(agent, newest))
	s.wait("the entry to say that it is unconfirmed", func() bool {
		unconfirmed, ok := metric(entry, "lynxgate_config_unconfirmed")
		return ok && unconfirmed == 1
	})

	// With no entry left the agent has the stale server alone to ask.
	for _, d := range []*harness.Daemon{entry, neighbour, agent} {
		require.NoError(t, d.Kill())
	}
	s.restart(agent)
	s.wait("the agent to refuse the old state", func() bool {
		refused, ok := metric(agent, "lynxgate_feed_refused_updates_total")
		return ok && refused > 0
	})
	watch.check(t)
	for _, d := range append(s.others(stale), entry, neighbour) {
		s.restart(d)
	}
	s.waitInForce()
}
