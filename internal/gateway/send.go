package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/fleet"
)

// send sends the request once.
func (c *call) send(ctx context.Context) sendResult {
	s := c.choice.Server
	watch := c.watch(ctx)
	defer watch.stop()
	answer, err := s.Pool.Send(watch.ctx, c.request(s), c.by)
	if err != nil {
		if !c.overtaken(watch, err) {
			return c.sendFailed(watch, err)
		}
		if !errors.Is(err, dispatch.ErrNotSent) {
			c.noteSent()
			c.noteRun() // it may have begun
		}
		return sendAgain
	}
	defer answer.Close()
	c.noteSent()
	c.noteHead(&c.choice, answer)
	return c.answered(watch, answer)
}

// noteSent counts a send that left.
func (c *call) noteSent() {
	c.passing.Lock()
	defer c.passing.Unlock()
	c.sends++
}

// noteRun counts a send that may have run.
func (c *call) noteRun() {
	c.passing.Lock()
	defer c.passing.Unlock()
	c.mayHaveRun = true
	c.runs++
}

// request is what a server is sent.
func (c *call) request(s *balance.Server) *dispatch.Request {
	return &dispatch.Request{
		Method: c.r.Method, Bytes: c.head(sendHead{server: s.ID, expectVersion: c.expectVersion()}),
		IDHeader: c.g.cfg.Headers.RequestID, ID: c.id,
	}
}

// ending judges a send that broke off, from who ended it.
func (c *call) ending(watch *watchdog) balance.Ending {
	switch {
	case watch.over.Load():
		c.endedBy = "entry: the server's weights are over"
		return balance.EndedElse
	case watch.parent.Err() != nil:
		c.endedBy = "caller or deadline"
		return balance.EndedElse
	case watch.server.Context().Err() != nil:
		c.endedBy = "server: started again"
		return balance.EndedElse
	}
	c.endedBy = "server or link"
	return balance.EndedFailed
}

// noteBroken counts a send that broke off, and notes if its server has ended.
func (c *call) noteBroken(ending balance.Ending, begun bool, err error) {
	if ending != balance.EndedFailed {
		return
	}
	c.g.cfg.Metrics.broken.WithLabelValues(c.service, strconv.FormatBool(begun)).Inc()
	c.noteEnd(c.choice.Server, err)
}

// sendFailed decides after a send without an answer.
func (c *call) sendFailed(watch *watchdog, err error) sendResult {
	c.lastErr = err
	ending := c.ending(watch)
	if errors.Is(err, dispatch.ErrNoConnection) {
		ending = balance.EndedBusy
	}
	c.g.balancer.Done(&c.choice, clock.Now(), ending)
	if errors.Is(err, dispatch.ErrNotSent) {
		c.logSend("send failed", err)
		c.mayAskAgain(ending)
		return sendAgain
	}
	c.noteSent()
	c.mayHaveRun = true
	c.noteBroken(ending, false, err)
	c.logSend("send failed", err)
	if watch.over.Load() && c.route.Idempotent() {
		return sendAgain // it has most likely not begun
	}
	c.runs++
	if c.route.Idempotent() {
		return sendAgain
	}
	c.giveUp("connection to the backend server failed")
	return sendFinal
}

// answered decides what the head of an answer means.
func (c *call) answered(watch *watchdog, a *dispatch.Answer) sendResult {
	notRun := c.isNotRun(a)
	if !notRun {
		c.noteRun()
	}
	good := !notRun && a.StatusCode/100 == 2 && c.signed(a)
	if good && c.route.Kind == fleet.KindStream {
		return c.stream(watch, a, nil)
	}
	if good {
		return c.whole(watch, a)
	}
	if c.overtaken(watch, errRefused) {
		return sendAgain
	}
	switch {
	case notRun:
		return c.notRun(a)
	case a.StatusCode/100 != 2:
		return c.failedAnswer(watch, a)
	}
	return c.brokenAnswer(watch, "answer without a signature", nil)
}

// isNotRun tells whether a server says that it did not run the request.
func (c *call) isNotRun(a *dispatch.Answer) bool {
	return a.Header.Get(c.g.cfg.Headers.NotRun) != "" || a.StatusCode == http.StatusMisdirectedRequest
}

// signed tells whether an answer is a backend server's own, as it wrote it.
func (c *call) signed(a *dispatch.Answer) bool {
	return a.Header.Get(c.g.cfg.Headers.Signature) != "" && a.Header.Get("Content-Encoding") == ""
}

// refusal tells how a send ended that its server did not run.
func (c *call) refusal(a *dispatch.Answer, choice *balance.Choice) balance.Ending {
	other := a.Header.Get(c.g.cfg.Headers.ServerID)
	if a.StatusCode == http.StatusMisdirectedRequest && other != "" && other != choice.Server.ID {
		return balance.EndedGone
	}
	return balance.EndedBusy
}

// notRun handles a server's word that it did not run the request.
func (c *call) notRun(a *dispatch.Answer) sendResult {
	ending := c.refusal(a, &c.choice)
	_, _ = io.Copy(io.Discard, a)
	c.mayAskAgain(ending)
	c.refusals++
	if requestedBackoff(a) > 0 {
		c.backoffs++
	}
	c.g.balancer.Done(&c.choice, clock.Now(), ending)
	c.logSend("backend server did not run it: "+strconv.Itoa(a.StatusCode), nil)
	return sendAgain
}

// mayAskAgain allows the server that was tried last to be asked again for the rest of a
// stream that has begun, if it was only full.
func (c *call) mayAskAgain(ending balance.Ending) {
	if c.events > 0 && ending == balance.EndedBusy {
		c.tried = c.tried[:len(c.tried)-1]
	}
}

// failedAnswer handles a failure that a server has answered: idempotent requests
// are sent again while they may, others are given the answer.
func (c *call) failedAnswer(watch *watchdog, a *dispatch.Answer) sendResult {
	body, err := readWhole(a, c.by)
	if err != nil {
		return c.brokenAnswer(watch, "answer broke off", err)
	}
	ending := balance.EndedWell
	if a.StatusCode >= http.StatusInternalServerError {
		ending = balance.EndedFailed
	}
	c.g.balancer.Done(&c.choice, clock.Now(), ending)
	c.logSend("backend server failed: "+strconv.Itoa(a.StatusCode), nil)
	if c.committed {
		return sendAgain // a failure of the rest does not belong into a stream that has begun
	}
	if a.StatusCode >= http.StatusInternalServerError && c.mayRepeat() {
		return sendAgain
	}
	c.copyHead(a)
	c.status, c.reason = a.StatusCode, "backend server failed"
	c.write(a.StatusCode, body)
	return sendFinal
}

// mayRepeat tells whether another send is allowed and likely to be possible.
func (c *call) mayRepeat() bool {
	if !c.route.Idempotent() || c.sends-c.backoffs >= c.route.MaxAttempts {
		return false
	}
	return clock.Until(c.by) > leastSend
}

// brokenAnswer handles an answer that can not be given to the caller.
func (c *call) brokenAnswer(watch *watchdog, what string, err error) sendResult {
	c.lastErr = err
	ending := c.ending(watch)
	c.g.balancer.Done(&c.choice, clock.Now(), ending)
	c.noteBroken(ending, true, err)
	c.noteInterrupted()
	c.logSend(what, err)
	if c.route.Idempotent() {
		return sendAgain
	}
	c.giveUp(what)
	return sendFinal
}

// whole gives the caller an answer in one piece, once it is there whole.
func (c *call) whole(watch *watchdog, a *dispatch.Answer) sendResult {
	body, err := readWhole(a, c.by)
	if c.overtaken(watch, err) {
		return sendAgain
	}
	if err != nil {
		return c.brokenAnswer(watch, "answer broke off", err)
	}
	return c.giveWhole(a, body)
}

// giveWhole gives the caller a whole answer.
func (c *call) giveWhole(a *dispatch.Answer, body []byte) sendResult {
	c.g.balancer.Done(&c.choice, clock.Now(), balance.EndedWell)
	c.clear()
	c.copyHead(a)
	c.status, c.reason = a.StatusCode, "served"
	c.write(a.StatusCode, body)
	return sendFinal
}

// maxAnswer bounds an answer in one piece, in bytes.
const maxAnswer = 64 << 20

func readWhole(a *dispatch.Answer, by time.Time) ([]byte, error) {
	a.ReadBy(by)
	return io.ReadAll(io.LimitReader(a, maxAnswer))
}
