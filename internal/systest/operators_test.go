package systest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/adminclient"
	"lynxgate.dev/lynxgate/internal/harness"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/standin/plain"
)

func isConflict(err error) bool {
	var refused *adminclient.APIError
	return errors.As(err, &refused) && refused.Status == http.StatusConflict
}

// TestOperatorsRace proves that of two changes on one base revision one wins
// and the other is told the revision in force, and that an operation resent
// after its answer was lost, over the death of the leader, has one result.
func TestOperatorsRace(t *testing.T) {
	s := start(t, size{controls: 3})
	ctx := context.Background()
	base := s.change(s.client, "contested", 1)
	for round := range 10 {
		replies, errs := make([]admin.ChangeReply, 2), make([]error, 2)
		var operators sync.WaitGroup
		for i := range 2 {
			c := s.clientOf(s.control[(round+i)%3])
			operators.Go(func() {
				replies[i], errs[i] = c.Apply(ctx, adminclient.NewOperationID(), base, []inventory.Change{setOrganisation("contested", 10*round+i+2)})
			})
		}
		operators.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		require.NoError(t, errs[winner])
		require.Equal(t, inventory.VerdictAccepted, replies[winner].Verdict)
		require.True(t, isConflict(errs[1-winner]), "the second change: %v %v", replies[1-winner], errs[1-winner])
		var refused *adminclient.APIError
		require.ErrorAs(t, errs[1-winner], &refused)
		require.Equal(t, replies[winner].Revision, refused.Body.Revision, "the conflict names the revision in force")
		base = replies[winner].Revision
	}

	for i := range 5 {
		operation := fmt.Sprintf("lost-answer-%d", i)
		leader, index := s.leader()
		snapshot, err := s.client.Config(ctx, "")
		require.NoError(t, err)
		changes := []inventory.Change{setOrganisation("contested", 1000+i)}
		sendAndLeave(t, leader, changeBody(t, operation, snapshot.Revision, changes...))
		if i%2 == 0 {
			require.NoError(t, leader.Kill())
		}
		rest := s.clientOf(s.others(index)...)
		first, err := rest.Apply(ctx, operation, snapshot.Revision, changes)
		require.NoError(t, err)
		if !leader.Running() {
			s.restart(leader)
			s.waitQuorum()
		}
		again, err := s.client.Apply(ctx, operation, snapshot.Revision, changes)
		require.NoError(t, err)
		require.True(t, again.Repeated)
		require.Equal(t, first.Revision, again.Revision)
		records, err := s.client.Audit(ctx, admin.AuditQuery{Since: snapshot.Revision, Limit: admin.DefaultAuditLimit})
		require.NoError(t, err)
		found := 0
		for _, r := range records {
			if r.OperationID == operation {
				found++
			}
		}
		require.Equal(t, 1, found, "records of %s in the audit trail", operation)
	}
}

// sendAndLeave sends a change and doesn't wait for its answer.
func sendAndLeave(t *testing.T, d *harness.Daemon, body string) {
	conn, err := net.Dial("tcp", d.HTTPAddr)
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		admin.PathChanges, harness.Key("ops"), len(body), body)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}

// TestNoQuorum proves that without a quorum changes and at-most-once requests
// are refused clearly and don't happen, while ordinary requests are answered,
// and that all goes on when the quorum is back.
func TestNoQuorum(t *testing.T) {
	s := start(t, size{controls: 3, entries: 1, engines: 1, plains: 1})
	s.bringLive("v1")
	entry := s.entries[0]
	s.wait("the plain service to be served", func() bool { return job(entry, "before").status == http.StatusOK })
	snapshot, err := s.client.Config(context.Background(), "")
	require.NoError(t, err)
	for _, d := range s.control[1:] {
		require.NoError(t, d.Kill())
	}
	s.wait("the last control server to miss the quorum", func() bool {
		return ask(s.control[0], http.MethodGet, "/readyz", "").status == http.StatusServiceUnavailable
	})
	refused := ask(s.control[0], http.MethodPost, admin.PathChanges, changeBody(t, "refused", snapshot.Revision, setOrganisation("refused", 1)))
	require.NoError(t, refused.err)
	require.Equal(t, http.StatusServiceUnavailable, refused.status, refused)
	require.Contains(t, refused.body, "quorum")
	_, err = s.operator.Run("drain", "-timeout", "8s", engineName(0))
	require.Error(t, err)
	require.Contains(t, err.Error(), "quorum")

	// The caller would wait for long; it must not be kept waiting.
	answered := make(chan reply, 1)
	go func() { answered <- job(entry, "no-quorum", deadline(4*time.Minute)) }()
	var told reply
	select {
	case told = <-answered:
	case <-time.After(patience):
		t.Fatal("the answer is held back although the request was given up on")
	}
	require.Equal(t, http.StatusServiceUnavailable, told.status, told)
	require.Equal(t, "not_run", told.outcome, told)
	require.Equal(t, "no_quorum", told.kind, told)
	require.NotEmpty(t, told.header.Get("Retry-After"))
	require.Zero(t, s.runsOf("no-quorum"))
	for range 5 {
		require.Equal(t, http.StatusOK, s.complete(entry, "no quorum").status)
		require.Equal(t, http.StatusOK, post(entry, "/services/"+plainService+"/read", "x").status)
	}
	for _, d := range s.control[1:] {
		s.restart(d)
	}
	s.waitInForce()
	require.Equal(t, http.StatusOK, job(entry, "after").status)
	after, err := s.client.Config(context.Background(), inventory.PrefixOrganisation+"refused")
	require.NoError(t, err)
	require.Empty(t, after.Keys, "the refused change is in force")
	s.change(s.client, "accepted", 1)
	require.LessOrEqual(t, s.runsOf("no-quorum"), 0, "the refused job ran later")
	require.Equal(t, 1, s.runsOf("after"))
	s.setFaults(backend(s.plains[0]), plain.Faults{})
}
