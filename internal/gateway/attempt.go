package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/relay"
	"lynxgate.dev/lynxgate/internal/shutdown"
)

// deadlineTolerance is how long before its deadline a server may answer that the time is up: deadlines are in whole
// milliseconds, and servers' timers count from the arrival.
const deadlineTolerance = 20 * time.Millisecond

// attempt sends the request to the chosen server, once.
func (c *call) attempt(ctx context.Context) attemptResult {
	c.writing, c.wroteAt = 0, time.Time{}
	watch := c.watch(ctx)
	defer watch.stop()
	answer, err := c.choice.Pool().Send(watch.ctx, c.request(&c.choice), c.deadline)
	if err != nil {
		c.g.cfg.Metrics.noteInvalid(c.service, err)
		if !c.takenOver(watch, err) {
			return c.attemptFailed(watch, err)
		}
		if !errors.Is(err, dispatch.ErrNotSent) {
			c.countAttempt()
			c.countRun() // the server may have begun
		}
		return attemptAgain
	}
	defer answer.Close()
	watch.answerTook = answer.Took
	c.countAttempt()
	c.noteHead(&c.choice, answer)
	return c.answered(watch, answer)
}

// countAttempt counts an attempt that was sent to its server.
func (c *call) countAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
}

// countRun counts an attempt that may have run.
func (c *call) countRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayHaveRun = true
	c.runs++
}

// request returns the request for a chosen server. If it is predicted to end before the server's weights expire, the server is
// given no time beyond that: it keeps the bound itself, also while this entry does not run.
func (c *call) request(choice *balance.Choice) *dispatch.Request {
	head := c.requestHead(attemptFields{server: choice.Server.ID, expectVersion: c.expectVersion(choice)})
	r := &dispatch.Request{
		Method: c.r.Method, SendBy: choice.SendBy(), IDHeader: c.g.cfg.Headers.RequestID, ID: c.id, OwnFields: c.g.answers,
		Memory: headMemory{c.g},
	}
	if choice.Expiry.Relayed {
		target := *choice // a handover is encoded while the call goes on
		r.Encode = func() []byte { return c.encodeRelayed(&target, head) }
		return r
	}
	deadline := choice.Deadline(c.deadline)
	r.Encode = func() []byte { return c.encode(head, deadline) }
	return r
}

// balanceResult returns how a failed attempt ended for the balancer, by who ended it, and sets endedBy.
func (c *call) balanceResult(watch *watchdog) balance.Result {
	switch {
	case watch.weightsExpired.Load():
		c.endedBy = "entry: the server's weights are over"
		return balance.ResultUnknown
	case errors.Is(context.Cause(watch.parent), shutdown.ErrStopping):
		c.endedBy = "entry: it stops"
		return balance.ResultUnknown
	case watch.parent.Err() != nil, !clock.Now().Before(c.deadline): // the deadline of a read may end before the context
		c.endedBy = "caller or deadline"
		return balance.ResultUnknown
	case watch.server.Context().Err() != nil:
		c.endedBy = "server: started again"
		return balance.ResultUnknown
	case c.choice.Expired(clock.Now()):
		c.endedBy = "server: its weights are over"
		return balance.ResultUnknown
	case errors.Is(c.lastErr, errNoMemory), errors.Is(c.lastErr, headlimit.ErrNoMemory):
		c.endedBy = "entry: no memory for the answer"
		return balance.ResultUnknown
	case c.choice.Expiry.Relayed && c.g.endedByAgent(&c.choice, watch.begun.Load()):
		c.endedBy = "agent or link"
		return balance.ResultUnknown
	}
	c.endedBy = "server or link"
	return balance.ResultFailed
}

// recordFailure counts an attempt that failed because of its server or the connection, and records
// a crash if the server has crashed.
func (c *call) recordFailure(result balance.Result, begun bool, err error) {
	if result != balance.ResultFailed {
		return
	}
	c.g.cfg.Metrics.failedAttempts.WithLabelValues(c.service, strconv.FormatBool(begun)).Inc()
	c.noteCrash(&c.choice, c.events, err)
}

// attemptFailed handles an attempt without an answer.
func (c *call) attemptFailed(watch *watchdog, err error) attemptResult {
	c.lastErr = err
	result := c.balanceResult(watch)
	switch {
	case errors.Is(err, dispatch.ErrNoConnection):
		result = balance.ResultBusy
	case errors.Is(err, dispatch.ErrTooLate):
		result = balance.ResultUnknown
	}
	if c.choice.Expiry.Relayed && errors.Is(err, syscall.ECONNREFUSED) {
		result = balance.ResultUnknown
		c.g.balancer.RelayRefused(c.choice.Server, clock.Now())
	}
	c.g.balancer.Done(&c.choice, clock.Now(), result)
	if !c.choice.Expiry.Relayed && errors.Is(err, syscall.ECONNREFUSED) {
		c.g.balancer.ConnectionRefused(c.choice.Server, clock.Now())
		c.noteRefused(c.choice.Server)
	}
	if errors.Is(err, dispatch.ErrNotSent) {
		c.logAttempt(watch, "send failed", err)
		c.allowLastServer(result)
		if errors.Is(err, dispatch.ErrTooLate) && c.choice.Renewable(clock.Now()) {
			c.tried = slices.DeleteFunc(c.tried, func(s *balance.Server) bool { return s == c.choice.Server })
		}
		return attemptAgain
	}
	c.countAttempt()
	c.countRun() // also if this entry closed it: its server may go on with it
	c.recordFailure(result, false, err)
	c.noteClosed(&c.choice, result)
	c.logAttempt(watch, "send failed", err)
	if c.route.Idempotent() {
		return attemptAgain
	}
	c.giveUp("connection to the backend server failed")
	return attemptFinal
}

// answered handles an attempt by the header of its answer.
func (c *call) answered(watch *watchdog, a *dispatch.Answer) attemptResult {
	notRun := c.isNotRun(a)
	if !notRun {
		c.countRun()
	}
	good := !notRun && a.StatusCode/100 == 2 && c.signed(a)
	if good && c.route.Kind == fleet.KindStream {
		return c.stream(watch, a, nil)
	}
	if good {
		c.observeWeights(watch, a)
		return c.forwardWhole(watch, a)
	}
	if c.takenOver(watch, errRefused) {
		return attemptAgain
	}
	switch {
	case notRun:
		return c.notRun(watch, a)
	case a.StatusCode >= http.StatusInternalServerError || a.StatusCode/100 != 2 && c.signed(a):
		return c.failedAnswer(watch, a)
	case a.StatusCode/100 != 2:
		return c.foreignAnswer(watch, a)
	}
	return c.brokenAnswer(watch, "answer without a signature", nil)
}

// foreignAnswer handles a denial or redirection that no backend server has signed: something else answers at its address.
// What it did with the request is not known.
func (c *call) foreignAnswer(watch *watchdog, a *dispatch.Answer) attemptResult {
	c.g.balancer.Done(&c.choice, clock.Now(), balance.ResultForeign)
	what := "no backend server answered: " + strconv.Itoa(a.StatusCode)
	c.logAttempt(watch, what, nil)
	if c.route.Idempotent() {
		return attemptAgain
	}
	c.giveUp(what)
	return attemptFinal
}

// isNotRun reports whether the answer states that the server did not run the request.
func (c *call) isNotRun(a *dispatch.Answer) bool {
	return a.Header.Get(c.g.cfg.Headers.NotRun) != "" || a.StatusCode == http.StatusMisdirectedRequest
}

// signed reports whether a backend server wrote the answer and no proxy has re-encoded it.
func (c *call) signed(a *dispatch.Answer) bool {
	return a.Header.Get(c.g.cfg.Headers.Signature) != "" && a.Header.Get("Content-Encoding") == ""
}

// refusal returns how an attempt that its server did not run ended for the balancer.
func (c *call) refusal(a *dispatch.Answer, choice *balance.Choice) balance.Result {
	if result, ok := c.g.relayRefusal(relay.Reason(a.Header.Get(c.g.cfg.Headers.NotRun)), choice); ok {
		return result
	}
	other := a.Header.Get(c.g.cfg.Headers.ServerID)
	if a.StatusCode == http.StatusMisdirectedRequest && other != "" && other != choice.Server.ID {
		return balance.ResultReplaced
	}
	return balance.ResultBusy
}

// notRun handles an answer which states that the server did not run the request.
func (c *call) notRun(watch *watchdog, a *dispatch.Answer) attemptResult {
	result := c.refusal(a, &c.choice)
	a.Discard()
	c.allowLastServer(result)
	c.refusals++
	byAgent := c.choice.Expiry.Relayed && relay.Reason(a.Header.Get(c.g.cfg.Headers.NotRun)).Valid()
	if byAgent || requestedBackoff(a) > 0 {
		c.backoffs++
	}
	c.g.balancer.Done(&c.choice, clock.Now(), result)
	c.logAttempt(watch, "backend server did not run the request: "+strconv.Itoa(a.StatusCode), nil)
	return attemptAgain
}

// allowLastServer removes the last server from those excluded from the next attempt, if it was only
// full and the rest of a stream is at stake.
func (c *call) allowLastServer(result balance.Result) {
	if c.events > 0 && result == balance.ResultBusy {
		c.tried = c.tried[:len(c.tried)-1]
	}
}

// statesNotRun reports whether a status promises callers that their request has not run and never will.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// failedAnswer handles an answer with an error status to a request that has run. Server errors of idempotent requests are retried if
// another attempt is allowed. Other answers are forwarded to the caller, unless their status promises that the request has not run: only
// the not-run header field of a server states that, and the caller gets a status that promises nothing.
func (c *call) failedAnswer(watch *watchdog, a *dispatch.Answer) attemptResult {
	body, err := c.readWhole(&c.choice, a)
	if err != nil {
		return c.brokenAnswer(watch, "answer broke off", err)
	}
	atDeadline := a.StatusCode == http.StatusGatewayTimeout && clock.Until(c.choice.Deadline(c.deadline)) < deadlineTolerance
	if atDeadline && c.choice.Expired(clock.Now()) {
		return c.weightsExpired(watch)
	}
	serverError := a.StatusCode >= http.StatusInternalServerError || statesNotRun(a.StatusCode)
	result := balance.ResultSucceeded
	switch {
	case atDeadline:
		result = balance.ResultTimedOut
	case serverError:
		result = balance.ResultFailed
	}
	c.g.balancer.Done(&c.choice, clock.Now(), result)
	c.logAttempt(watch, "backend server failed: "+strconv.Itoa(a.StatusCode), nil)
	if c.committed {
		return attemptAgain // the error answer must not be written into a stream that has begun
	}
	if serverError && c.mayRetry() {
		return attemptAgain
	}
	if statesNotRun(a.StatusCode) {
		c.giveUp("backend server failed: " + strconv.Itoa(a.StatusCode))
		return attemptFinal
	}
	c.copyHead(a)
	c.status, c.reason = a.StatusCode, "backend server failed"
	c.write(a.StatusCode, body)
	return attemptFinal
}

// weightsExpired handles an attempt that its server ended because its weights must not be used any more.
func (c *call) weightsExpired(watch *watchdog) attemptResult {
	c.g.balancer.Done(&c.choice, clock.Now(), c.balanceResult(watch))
	c.logAttempt(watch, "backend server's weights are over", nil)
	if c.route.Idempotent() {
		return attemptAgain
	}
	c.giveUp("the server's weights are over")
	return attemptFinal
}

// mayRetry reports whether the route allows another attempt and there is time for one, also before the process ends.
func (c *call) mayRetry() bool {
	if !c.route.Idempotent() || c.attempts-c.backoffs >= c.route.MaxAttempts {
		return false
	}
	return clock.Until(c.deadline) > minAttemptTime && c.canEnd(nil)
}

// brokenAnswer handles an answer that can't be forwarded to the caller, or not to its end.
func (c *call) brokenAnswer(watch *watchdog, what string, err error) attemptResult {
	c.lastErr = err
	result := c.balanceResult(watch)
	c.g.balancer.Done(&c.choice, clock.Now(), result)
	c.recordFailure(result, true, err)
	c.noteClosed(&c.choice, result)
	c.noteInterrupted()
	c.logAttempt(watch, what, err)
	if c.route.Idempotent() {
		return attemptAgain
	}
	c.giveUp(what)
	return attemptFinal
}

// forwardWhole forwards a non-streaming answer once it has been read completely, or begins to
// forward it when more has been read than is held.
func (c *call) forwardWhole(watch *watchdog, a *dispatch.Answer) attemptResult {
	body, err := c.readWhole(&c.choice, a)
	large := errors.Is(err, errLargeAnswer)
	if large {
		err = nil
	}
	switch {
	case c.takenOver(watch, err):
		return attemptAgain
	case large:
		return c.passOn(watch, a, body)
	case err != nil:
		return c.brokenAnswer(watch, "answer broke off", err)
	}
	return c.writeWhole(a, body)
}

// writeWhole writes a complete non-streaming answer to the caller.
func (c *call) writeWhole(a *dispatch.Answer, body []byte) attemptResult {
	c.learnAnswerTime()
	c.g.balancer.Done(&c.choice, clock.Now(), balance.ResultSucceeded)
	c.clearSuspicion(a)
	c.copyHead(a)
	c.status, c.reason = a.StatusCode, "served"
	c.write(a.StatusCode, body)
	return attemptFinal
}
