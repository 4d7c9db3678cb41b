package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
)

const (
	// maxHeldAnswer is how much of a non-streaming answer is held, in bytes, so that an answer that
	// breaks off can be requested again. The rest of a larger one is forwarded as it arrives, and
	// its server waits while the caller reads slowly.
	maxHeldAnswer = 1 << 20
	// pieceBytes is the size of the pieces in which an answer is written to the caller, and
	// callerWriteTimeout how long one of them may take: then the caller counts as gone.
	pieceBytes         = 32 << 10
	callerWriteTimeout = 10 * time.Second
)

// errLargeAnswer means that an answer is larger than what is held of it.
var errLargeAnswer = errors.New("answer is larger than what is held")

// errSplicedBody means that an answer was cut in its body, and that the next bytes of the connection were read as its rest.
var errSplicedBody = errors.New("head of another answer within the body")

// readWhole reads a non-streaming answer of the chosen server. Of a larger one, or while other bodies use up the memory
// for them, it returns a part with errLargeAnswer.
func (c *call) readWhole(choice *balance.Choice, a *dispatch.Answer) ([]byte, error) {
	a.SetReadDeadline(c.deadline)
	body, err := c.readHeld(a, maxHeldAnswer)
	switch {
	case errors.Is(err, errNoMemory):
		return body, errLargeAnswer
	case err != nil:
		return body, err
	case a.CompletedByAnother(body):
		return body, errSplicedBody
	}
	return body, c.checkEnd(choice, a)
}

// passOn forwards an answer that is too large to be held: what was read of it, and the rest as it
// arrives.
func (c *call) passOn(watch *watchdog, a *dispatch.Answer, read []byte) attemptResult {
	c.copyHead(a)
	if a.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	c.committed = true
	c.closeIfStopping()
	c.w.WriteHeader(a.StatusCode)
	err := c.writePieces(read)
	piece := make([]byte, pieceBytes)
	var last []byte // what was read last, a piece at most
	for err == nil {
		n, readErr := a.Read(piece)
		last = append(last, piece[:n]...)
		last = last[max(0, len(last)-pieceBytes):]
		if readErr == io.EOF && a.CompletedByAnother(last) {
			err = errSplicedBody // without its last bytes the answer looks incomplete
			break
		}
		if err = c.writePieces(piece[:n]); err != nil {
			break
		}
		if readErr == io.EOF {
			if err = c.checkEnd(&c.choice, a); err != nil {
				break
			}
			c.g.balancer.Done(&c.choice, clock.Now(), balance.ResultSucceeded)
			c.learnAnswerTime()
			c.clearSuspicion(a)
			c.status, c.reason = a.StatusCode, "served"
			return attemptFinal
		}
		err = readErr
	}
	if errors.Is(err, errCallerGone) {
		c.noteClosed(&c.choice, balance.ResultUnknown)
		c.g.balancer.Done(&c.choice, clock.Now(), balance.ResultUnknown)
		c.status, c.reason, c.broken = statusClientGone, "caller left", true
		return attemptFinal
	}
	c.lastErr = err
	result := c.balanceResult(watch)
	c.g.balancer.Done(&c.choice, clock.Now(), result)
	c.recordFailure(result, true, err)
	c.noteClosed(&c.choice, result)
	c.logAttempt(watch, "answer broke off", err)
	c.giveUp("answer broke off")
	return attemptFinal
}

// writePieces writes a part of an answer to the caller. It fails with errCallerGone if the caller
// does not read for callerWriteTimeout.
func (c *call) writePieces(data []byte) error {
	for len(data) > 0 {
		c.extendWriteDeadline()
		n, err := c.w.Write(data[:min(len(data), pieceBytes)])
		if err != nil {
			return errCallerGone
		}
		data = data[n:]
	}
	return nil
}

// extendWriteDeadline bounds the time of the next write to the caller. A connection without
// deadlines is written to without a bound.
func (c *call) extendWriteDeadline() {
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}
