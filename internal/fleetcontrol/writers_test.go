package fleetcontrol

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// decodeServices decodes documents that are lists of services.
func decodeServices(document []byte) (*fleet.Config, error) {
	c := &fleet.Config{}
	for _, name := range strings.Fields(string(document)) {
		c.Services = append(c.Services, fleet.Service{Name: name})
	}
	return c, nil
}

// counted returns how many announcements were refused for this reason.
func counted(t *testing.T, r *refusals, reason string) (n float64) {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(r.count)
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		for _, m := range family.Metric {
			if m.Label[0].GetValue() == reason {
				n += m.Counter.GetValue()
			}
		}
	}
	return n
}

func declare(t *testing.T, h *hub, version uint64, services string) {
	t.Helper()
	data, err := proto.Marshal(&rpc.FleetCommand{ConfigVersion: version, Config: ledger.Deflate([]byte(services))})
	require.NoError(t, err)
	h.ledger.Apply(version, data)
}

func TestAnnouncementsForUndeclaredServicesAreRefused(t *testing.T) {
	var logs bytes.Buffer
	h := newHub(ledger.New(time.Now), func() []string { return nil }, time.Second, decodeServices, zerolog.New(&logs))
	s := &Server{hub: h}
	announce := func(id, service string, seq uint64, state fleet.State) {
		require.NoError(t, s.Announce(t.Context(), fleet.BackendServer{ID: id, Service: service, Addr: "10.0.0.1:1", Seq: seq, State: state}))
	}
	announce("early", "later", 1, fleet.StateReady)
	require.NotNil(t, h.servers.Get("early"), "nothing is declared yet")
	declare(t, h, 1, "drafts plain")
	announce("a", "drafts", 1, fleet.StateReady)
	announce("odd", "unknown", 1, fleet.StateReady)
	assert.Nil(t, h.servers.Get("odd"))
	announce("a", "unknown", 9, fleet.StateDraining)
	assert.Equal(t, "drafts", h.servers.Get("a").Service, "the record of the server with this id is unchanged")
	assert.Equal(t, fleet.StateReady, h.servers.Get("a").State)
	assert.EqualValues(t, 2, counted(t, h.refused, reasonUnknownService))

	declare(t, h, 2, "plain")
	announce("a", "drafts", 2, fleet.StateDraining)
	assert.Equal(t, fleet.StateDraining, h.servers.Get("a").State, "a known server leaves after its service was removed")
	require.NoError(t, s.Announce(t.Context(), fleet.BackendServer{ID: "a", State: fleet.StateGone}))
	assert.Equal(t, fleet.StateGone, h.servers.Get("a").State)
	declare(t, h, 3, "plain unknown")
	announce("odd", "unknown", 2, fleet.StateReady)
	assert.NotNil(t, h.servers.Get("odd"), "it is declared now")
}

func TestLogOfRefusedAnnouncementsIsBounded(t *testing.T) {
	var logs bytes.Buffer
	r := newRefusals(zerolog.New(&logs))
	at := time.Unix(1000, 0)
	for range 100 {
		r.add(at, strings.Repeat("x", 5000), reasonUnreadable, errors.New(strings.Repeat("y", 5000)))
	}
	r.add(at.Add(refusedInterval), "i", reasonUnreadable, errors.New("odd"))
	lines := strings.Split(strings.TrimSpace(logs.String()), "\n")
	require.Len(t, lines, 2)
	assert.Less(t, len(lines[0]), 1000)
	assert.Contains(t, lines[1], `"untold":99`)
	assert.EqualValues(t, 101, counted(t, r, reasonUnreadable))
}

func TestAgentsGetOnlyServicesAndOnlyWhenTheyChange(t *testing.T) {
	h := newHub(ledger.New(time.Now), func() []string { return nil }, time.Second, decodeServices, zerolog.Nop())
	agent, entry := h.join(&rpc.FollowerMessage{Name: "a", Role: RoleAgent}), h.join(&rpc.FollowerMessage{Name: "e", Role: RoleEntry})
	declare(t, h, 3, "drafts plain")
	u := h.next(agent)
	assert.EqualValues(t, 3, u.ConfigVersion)
	data, err := ledger.Inflate(u.Config)
	require.NoError(t, err)
	config, err := fleet.DecodeServices(data)
	require.NoError(t, err)
	assert.EqualValues(t, 3, config.Version)
	assert.Len(t, config.Services, 2)
	assert.EqualValues(t, 3, h.next(entry).ConfigVersion)

	agent.configAt = agent.configAt.Add(-time.Minute)
	declare(t, h, 5, "drafts  plain") // another document, the same services
	assert.Nil(t, h.next(agent))
	assert.EqualValues(t, 5, h.next(entry).ConfigVersion)
	declare(t, h, 6, "drafts plain more")
	assert.EqualValues(t, 6, h.next(agent).ConfigVersion)
	late := h.join(&rpc.FollowerMessage{Name: "b", Role: RoleAgent})
	assert.EqualValues(t, 6, h.next(late).ConfigVersion)

	// This agent got a version from another control server that was not decoded here.
	declare(t, h, 9, "drafts plain more")
	other := h.join(&rpc.FollowerMessage{Name: "c", Role: RoleAgent})
	h.acknowledge(other, &rpc.FollowerMessage{ConfigVersion: 8})
	other.configAt = other.configAt.Add(-time.Minute)
	assert.EqualValues(t, 9, h.next(other).ConfigVersion, "its services may differ")
}

// Guards against requests that are sent to a server of another service, since someone else has announced its id.
func TestServerKeepsItsServiceUntilItStartsAgain(t *testing.T) {
	h := newHub(ledger.New(time.Now), func() []string { return nil }, time.Second, decodeServices, zerolog.Nop())
	s := &Server{hub: h}
	declare(t, h, 1, "drafts plain")
	announce := func(service string, seq uint64, born int64) string {
		require.NoError(t, s.Announce(t.Context(), fleet.BackendServer{ID: "a", Service: service, Addr: "10.0.0.1:1", Seq: seq, StartUnixMs: born}))
		return h.servers.Get("a").Service
	}
	announce("drafts", 1, 0)
	assert.Equal(t, "drafts", announce("plain", 1000, 0))
	assert.EqualValues(t, 1, counted(t, h.refused, reasonUnknownService))
	assert.Equal(t, "drafts", announce("drafts", 2, 5))
	assert.Equal(t, "drafts", announce("plain", 1000, 5))
	assert.Equal(t, "plain", announce("plain", 1, 6))
}
