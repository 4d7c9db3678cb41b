package entry

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/frames"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const jobsPath = "/services/office/jobs/print"

func plainAnswer(text string) runFunc {
	return func(_ *rpc.RunRequest, w *frames.Writer, send func(*rpc.ResponseFrame) error, _ context.Context) error {
		_ = send(w.Head(200, []*rpc.Header{{Name: "Content-Type", Value: "text/plain"}}))
		_ = send(w.Data([]byte(text)))
		return send(w.End())
	}
}

func fails(o outcome.Outcome) runFunc {
	return func(_ *rpc.RunRequest, w *frames.Writer, send func(*rpc.ResponseFrame) error, _ context.Context) error {
		return send(w.Fail(o))
	}
}

func cutOff(*rpc.RunRequest, *frames.Writer, func(*rpc.ResponseFrame) error, context.Context) error {
	return errors.New("cut")
}

// A call whose key is not granted is never dispatched.
func TestUngrantedKeyIsNotDispatched(t *testing.T) {
	cases := []struct {
		verdict rpc.ClaimVerdict
		status  int
		reason  outcome.Reason
		kind    string
	}{
		{rpc.ClaimVerdict_CLAIM_IN_PROGRESS, 409, outcome.IdempotencyKeyInProgress, "unknown"},
		{rpc.ClaimVerdict_CLAIM_UNKNOWN, 409, outcome.ClaimUnknown, "unknown"},
		{rpc.ClaimVerdict_CLAIM_COMPLETED, 502, outcome.AnswerNotStored, "unknown"},
		{rpc.ClaimVerdict_CLAIM_BODY_MISMATCH, 422, outcome.IdempotencyKeyReused, "not_run"},
		{rpc.ClaimVerdict_CLAIM_FULL, 503, outcome.ClaimsFull, "not_run"},
	}
	for _, c := range cases {
		t.Run(c.verdict.String(), func(t *testing.T) {
			agent := &fakeAgent{run: plainAnswer("ran")}
			b := newTestbed(t, Config{}, agent)
			b.control.verdict = c.verdict
			got := b.call(jobsPath, "job", HeaderIdempotencyKey, "k")
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.reason, got.reason)
			require.Equal(t, c.kind, got.kind)
			require.Empty(t, agent.requests())
			require.Empty(t, b.control.settled)
			if c.verdict == rpc.ClaimVerdict_CLAIM_IN_PROGRESS {
				require.Equal(t, "2", got.header.Get("Retry-After"))
			}
		})
	}
}

func TestNoQuorumRefusesAsNotRun(t *testing.T) {
	agent := &fakeAgent{run: plainAnswer("ran")}
	b := newTestbed(t, Config{}, agent)
	b.control.claimStatus = rpc.Status_STATUS_NO_QUORUM
	got := b.call(jobsPath, "job", HeaderIdempotencyKey, "k")
	require.Equal(t, 503, got.status)
	require.Equal(t, outcome.NoQuorum, got.reason)
	require.Equal(t, "not_run", got.kind)
	require.Empty(t, agent.requests())
	require.Equal(t, 400, b.call(jobsPath, "job").status, "a key is needed")
}

// The recorded outcome of a claimed request is its actual one, and a request
// that may have run is not retried.
func TestOutcomeOfAClaimIsSettled(t *testing.T) {
	cases := map[string]struct {
		run      runFunc
		settle   rpc.SettleOutcome
		status   int
		attempts int
	}{
		"completed":     {plainAnswer("ran"), rpc.SettleOutcome_SETTLE_COMPLETED, 200, 1},
		"not run":       {fails(outcome.NewNotRun(outcome.Leaving, "", 0)), rpc.SettleOutcome_SETTLE_NOT_RUN, 503, 2},
		"may have run":  {fails(outcome.NewUnknown(outcome.AnswerCut, "")), rpc.SettleOutcome_SETTLE_UNKNOWN, 502, 1},
		"cut off":       {cutOff, rpc.SettleOutcome_SETTLE_UNKNOWN, 502, 1},
		"not run, late": {notRunAfterHead, rpc.SettleOutcome_SETTLE_UNKNOWN, 502, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first, second := &fakeAgent{run: c.run}, &fakeAgent{run: c.run}
			b := newTestbed(t, Config{}, first, second)
			got := b.call(jobsPath, "job", HeaderIdempotencyKey, "k")
			require.Equal(t, c.status, got.status, got.body)
			require.Len(t, append(first.requests(), second.requests()...), c.attempts)
			require.Len(t, b.control.settled, 1)
			require.Equal(t, c.settle, b.control.settled[0].Outcome)
			require.EqualValues(t, 7, b.control.settled[0].Token)
		})
	}
}

// notRunAfterHead sends a NOT_RUN frame after the head of an answer, which
// violates the protocol.
func notRunAfterHead(in *rpc.RunRequest, w *frames.Writer, send func(*rpc.ResponseFrame) error, _ context.Context) error {
	_ = send(w.Head(200, nil))
	return send(&rpc.ResponseFrame{RequestId: in.RequestId, Seq: 1, Kind: rpc.FrameKind_FRAME_NOT_RUN, Reason: string(outcome.Leaving)})
}

// A client retry gets the stored answer. The same key of another organisation
// is a different key and must not return that answer.
func TestStoredAnswersAreSeparatePerOrganisation(t *testing.T) {
	agent := &fakeAgent{run: func(in *rpc.RunRequest, w *frames.Writer, send func(*rpc.ResponseFrame) error, ctx context.Context) error {
		return plainAnswer("for "+in.Organisation)(in, w, send, ctx)
	}}
	b := newTestbed(t, Config{}, agent)
	require.Equal(t, "for o1", b.call(jobsPath, "job", HeaderIdempotencyKey, "k").body)
	again := b.call(jobsPath, "job", HeaderIdempotencyKey, "k")
	require.Equal(t, "for o1", again.body)
	require.Equal(t, "true", again.header.Get("Idempotent-Replayed"))
	require.Equal(t, "text/plain", again.header.Get("Content-Type"))
	other := b.call(jobsPath, "job", HeaderIdempotencyKey, "k", "Authorization", "Bearer key-o2", "X-Organisation", "o1")
	require.Equal(t, "for o2", other.body)
	require.Len(t, agent.requests(), 2)
	for _, h := range agent.requests()[1].Headers {
		require.NotContains(t, []string{"Authorization", "X-Organisation"}, h.Name)
	}
	require.Equal(t, http.StatusUnauthorized, b.call(jobsPath, "job", HeaderIdempotencyKey, "k", "Authorization", "Bearer no").status)
}

// The caller gets the answer of a request whose outcome could not be recorded.
// The claim stays open, so that the request does not run again.
func TestAnswerIsSentIfSettleFails(t *testing.T) {
	agent := &fakeAgent{run: plainAnswer("ran")}
	b := newTestbed(t, Config{}, agent)
	b.control.settleStatus = rpc.Status_STATUS_NO_QUORUM
	require.Equal(t, "ran", b.call(jobsPath, "job", HeaderIdempotencyKey, "k").body)
	require.Len(t, agent.requests(), 1)
	require.Empty(t, b.control.settled)
	require.NotZero(t, b.control.claims[0].TimeoutMs)
}

// The outcome is "not run" for an agent that refuses connections and for a
// leaving one; the latter case is retried elsewhere at once.
func TestRetriesByOutcome(t *testing.T) {
	t.Run("refused connection", func(t *testing.T) {
		agent := &fakeAgent{run: plainAnswer("ran")}
		b := newTestbed(t, Config{}, agent)
		agent.stop()
		got := b.call("/services/office/x", "")
		require.Equal(t, 503, got.status)
		require.Equal(t, "not_run", got.kind)
	})
	t.Run("leaving", func(t *testing.T) {
		leaving := &fakeAgent{run: fails(outcome.NewNotRun(outcome.Leaving, "", 0))}
		staying := &fakeAgent{run: plainAnswer("ran")}
		b := newTestbed(t, Config{RetryBudgetRatio: 0.001}, leaving, staying)
		for range 20 {
			require.Equal(t, "ran", b.call("/services/office/x", "").body)
		}
		require.Len(t, leaving.requests(), 1, "a leaving agent gets no further attempts")
		_, retries := b.entry.budget("office").Counts(time.Now())
		require.Zero(t, retries)
	})
	for path, attempts := range map[string]int{"/services/office/x": 1, "/services/office/read": 2} {
		t.Run("cut "+path, func(t *testing.T) {
			one, two := &fakeAgent{run: cutOff}, &fakeAgent{run: cutOff}
			got := newTestbed(t, Config{}, one, two).call(path, "")
			require.Equal(t, "unknown", got.kind)
			require.Equal(t, outcome.ConnectionLost, got.reason)
			require.Len(t, append(one.requests(), two.requests()...), attempts)
		})
	}
}
