package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"strings"
	"time"

	"lukechampine.com/blake3"

	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

const (
	// claimMargin is added to the caller's deadline to get the timeout of the
	// claim, since a grant must outlive the request.
	claimMargin = 10 * time.Second
	// claimWait bounds claiming a key. It covers the election of a new control
	// leader; without a quorum for longer, the caller is refused then rather than
	// at its deadline.
	claimWait = 5 * time.Second
	// settleTimeout bounds recording the outcome before the caller is answered.
	settleTimeout = 5 * time.Second
	// noQuorumRetryAfter is the Retry-After of answers when there is no quorum to
	// record a claim.
	noQuorumRetryAfter = 2 * time.Second
)

// serveClaimed answers a call that must run at most once: the key is claimed
// with a quorum before the call is dispatched, and the outcome is recorded
// before the caller is answered.
func (e *Entry) serveClaimed(ctx context.Context, c *call, a *answer) outcome.Outcome {
	resp, err := e.claim(ctx, c)
	if err != nil {
		return claimFailed(err)
	}
	if resp.Verdict != rpc.ClaimVerdict_CLAIM_GRANTED {
		a.repeated = true
		return answerRepeat(resp, a)
	}
	a.bufferEvents = true
	o := e.dispatch(ctx, c, a)
	e.settle(ctx, c, a, resp.Token, o)
	if o.Kind == outcome.Completed {
		_ = a.complete()
	}
	return o
}

// claim claims the idempotency key of a call with the control servers.
func (e *Entry) claim(ctx context.Context, c *call) (*rpc.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	ctx, release := e.end.Context(ctx, e.takes(c))
	defer release()
	return e.control.Claim(ctx, &rpc.ClaimRequest{
		Organisation: c.organisation.Name,
		Key:          c.key,
		BodyDigest:   c.digest(),
		Entry:        e.cfg.Name,
		TimeoutMs:    (time.Until(c.deadline) + claimMargin).Milliseconds(),
		Attempt:      rand.Text(),
	})
}

// claimFailed returns the outcome of a call whose claim failed or remained
// unanswered. In either case the call was not dispatched.
func claimFailed(err error) outcome.Outcome {
	detail := "no quorum of control servers could record the key"
	if errors.Is(err, controlclient.ErrResultUnknown) {
		detail += "; the key may stay reserved for a while"
	}
	return outcome.NewNotRun(outcome.NoQuorum, detail, noQuorumRetryAfter)
}

// answerRepeat answers a call whose key had already been claimed.
func answerRepeat(resp *rpc.ClaimResponse, a *answer) outcome.Outcome {
	after := time.Duration(resp.RetryAfterMs) * time.Millisecond
	switch resp.Verdict {
	case rpc.ClaimVerdict_CLAIM_IN_PROGRESS:
		o := outcome.NewUnknown(outcome.IdempotencyKeyInProgress, "a request with this key is in progress")
		o.RetryAfter = after
		return o
	case rpc.ClaimVerdict_CLAIM_COMPLETED:
		return replay(resp.Answer, a)
	case rpc.ClaimVerdict_CLAIM_BODY_MISMATCH:
		return outcome.NewNotRun(outcome.IdempotencyKeyReused, "the key was used with another request", 0)
	case rpc.ClaimVerdict_CLAIM_FULL:
		return outcome.NewNotRun(outcome.ClaimsFull, "no room to record another key", after)
	}
	return outcome.NewUnknown(outcome.ClaimUnknown, "a request with this key may have run; it will not be run again")
}

// replay answers with the stored answer of the first request.
func replay(stored *rpc.StoredAnswer, a *answer) outcome.Outcome {
	if stored == nil || stored.Status == 0 {
		return outcome.NewUnknown(outcome.AnswerNotStored, "the request with this key has completed; its answer was too large to keep")
	}
	if !headlimit.IsFinal(int(stored.Status)) { // entries of earlier builds stored any status
		return outcome.NewUnknown(outcome.AnswerNotStored, "the request with this key may have run; its server gave no valid answer")
	}
	a.setHead(stored.Status, []*rpc.Header{
		{Name: "Content-Type", Value: stored.ContentType},
		{Name: "Idempotent-Replayed", Value: "true"},
	})
	a.bufferEvents = true
	_ = a.write(stored.Body)
	_ = a.complete()
	return outcome.NewCompleted()
}

// settle records the outcome of a claimed call. If that fails, the claim becomes
// unknown after its timeout, which prevents the call from running again.
func (e *Entry) settle(ctx context.Context, c *call, a *answer, token uint64, o outcome.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	ctx, release := e.end.Context(ctx, -lastAnswersTime/2)
	defer release()
	req := &rpc.SettleRequest{
		Organisation: c.organisation.Name,
		Key:          c.key,
		Token:        token,
	}
	switch o.Kind {
	case outcome.Completed:
		req.Outcome = rpc.SettleOutcome_SETTLE_COMPLETED
		req.Answer = a.stored()
	case outcome.NotRun:
		req.Outcome = rpc.SettleOutcome_SETTLE_NOT_RUN
	default:
		req.Outcome = rpc.SettleOutcome_SETTLE_UNKNOWN
	}
	if _, err := e.control.Settle(ctx, req); err != nil {
		e.metrics.unsettledClaims.Inc()
	}
}

// digest identifies the content of a call, to detect another request with the
// same key.
func (c *call) digest() []byte {
	var text bytes.Buffer
	for _, part := range []string{c.method, c.service.Name, c.path} {
		text.WriteString(part)
		text.WriteByte(0)
	}
	text.Write(c.body)
	sum := blake3.Sum256(text.Bytes())
	return sum[:]
}

// stored returns the buffered answer in the form stored with the claim, or nil
// if it was too large to buffer.
func (a *answer) stored() *rpc.StoredAnswer {
	if a.sent {
		return nil
	}
	out := &rpc.StoredAnswer{Status: uint32(a.status), Body: bytes.Clone(a.buffer.Bytes())}
	for _, h := range a.headers {
		if strings.EqualFold(h.Name, "Content-Type") {
			out.ContentType = h.Value
		}
	}
	return out
}
