package systest

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/standin/plain"
)

func backend(a *harness.Agent) string { return "http://" + a.BackendAddr }

// TestEntryKilledBeforeSettle proves that a request that must not be repeated
// runs once although its entry dies before it could record the outcome, and
// that the key stays unknown over a restart of all control servers.
func TestEntryKilledBeforeSettle(t *testing.T) {
	s := start(t, size{controls: 3, entries: 2, plains: 1})
	s.setFaults(backend(s.plains[0]), plain.Faults{Stall: true})
	first := make(chan reply, 1)
	go func() { first <- job(s.entries[0], "dispatch-1", deadline(2*time.Second)) }()
	s.wait("the job to run", func() bool { return s.runsOf("dispatch-1") == 1 })
	require.NoError(t, s.entries[0].Kill())
	require.Error(t, (<-first).err)

	resent := job(s.entries[1], "dispatch-1")
	require.Equal(t, http.StatusConflict, resent.status, resent)
	require.Equal(t, "unknown", resent.outcome, resent)
	s.setFaults(backend(s.plains[0]), plain.Faults{})
	s.wait("the claim to become unknown", func() bool {
		r := job(s.entries[1], "dispatch-1")
		require.Equal(t, "unknown", r.outcome, r)
		return r.kind == "idempotency_key_outcome_unknown"
	})
	for _, d := range s.control {
		require.NoError(t, d.Kill())
	}
	for _, d := range s.control {
		s.restart(d)
	}
	s.waitQuorum()
	s.restart(s.entries[0])
	for _, e := range s.entries {
		s.wait("an answer from the claims through "+e.Name, func() bool {
			r := job(e, "dispatch-1")
			if r.kind == "idempotency_key_outcome_unknown" {
				return true
			}
			require.Contains(t, []string{"no_quorum", "unauthorized", ""}, r.kind, r)
			return false
		})
	}
	require.Equal(t, 1, s.runsOf("dispatch-1"))
}

// TestPlainServiceDies proves that a call whose service dies after running it
// is told unknown and never repeated, and that one whose connection was
// refused is told not run and did not run.
func TestPlainServiceDies(t *testing.T) {
	s := start(t, size{controls: 1, entries: 1, plains: 2})
	entry := s.entries[0]
	s.wait("the plain services to be served", func() bool {
		return job(entry, "warm-up-"+time.Now().String()).status == http.StatusOK
	})
	for _, a := range s.plains {
		s.setFaults(backend(a), plain.Faults{DieAfterRun: -1})
	}
	for _, path := range []string{"/jobs", "/other"} {
		key := "dies" + path
		r := post(entry, "/services/"+plainService+path, "bill", idempotencyKey(key))
		require.Equal(t, "unknown", r.outcome, r)
		require.Equal(t, 1, s.runsOf(key), "runs of %s", path)
	}
	again := post(entry, "/services/"+plainService+"/jobs", "bill", idempotencyKey("dies/jobs"))
	require.Equal(t, "idempotency_key_outcome_unknown", again.kind, again)
	require.Equal(t, 1, s.runsOf("dies/jobs"))

	before := s.runs(s.plains[1]).Total
	require.NoError(t, s.plains[0].Backend.Kill())
	require.NoError(t, s.plains[1].Kill())
	refused := job(entry, "refused-1")
	require.Equal(t, "not_run", refused.outcome, refused)
	require.Equal(t, before, s.runs(s.plains[1]).Total)
	require.NoError(t, s.fleet.StartBackend(s.plains[0]))
	s.wait("the refused job to run after the restart", func() bool { return job(entry, "refused-1").status == http.StatusOK })
	require.Equal(t, 1, s.runsOf("refused-1"))
}
