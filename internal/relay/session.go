package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/clock"
)

const (
	// idleTimeout is after how long a connection without a request is closed. Entries close idle ones sooner.
	idleTimeout = 60 * time.Second
	// checkInterval is how often the time of a cancellation is checked, since timers don't count a suspension of the VM.
	checkInterval = 100 * time.Millisecond
	// lingerTimeout is how long an entry may take to close a connection whose last bytes it was sent.
	lingerTimeout = time.Second
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = time.Second
	frameBuffer    = 4 << 10
)

// session is one connection of an entry and the connection to the engine that belongs to it.
type session struct {
	s     *Server
	entry *entryConn
	// frames are the requests read. It is closed when no more can follow.
	frames chan frame
	// engine is nil before the first request.
	engine *engineConn
}

func newSession(s *Server, entry net.Conn) *session {
	return &session{s: s, entry: newEntryConn(entry), frames: make(chan frame)}
}

// run serves the connection until one side closes it, it has been idle for long or ctx is done.
func (c *session) run(ctx context.Context) {
	ctx, entryLeft := context.WithCancel(ctx)
	defer entryLeft()
	defer c.close()
	go func() {
		defer entryLeft()
		c.readFrames(ctx)
	}()
	for {
		f, ok := c.next(ctx)
		if !ok || !c.relay(ctx, f) {
			return
		}
	}
}

// next returns the next request. There is none if a connection was closed, or this one has been idle for long.
func (c *session) next(ctx context.Context) (f frame, ok bool) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	select {
	case f = <-c.frames:
		return f, true
	case <-idle.C:
	case <-ctx.Done():
	case <-c.engineEnded():
		select {
		case f = <-c.frames: // it crossed the close of the engine; a new connection serves it
			return f, true
		default:
			c.endWithEngine(ctx)
		}
	}
	return frame{}, false
}

// readFrames reads requests until the entry closes the connection or sends something else. It goes on reading while a request is
// in progress, which shows that the entry leaves.
func (c *session) readFrames(ctx context.Context) {
	br := bufio.NewReaderSize(c.entry, frameBuffer)
	for {
		f, err := readFrame(br, &c.s.held)
		if err != nil {
			return
		}
		select {
		case c.frames <- f:
		case <-ctx.Done():
			f.hold.release()
			return
		}
	}
}

// engineEnded is closed once the engine's connection has ended; nil if there is none.
func (c *session) engineEnded() <-chan struct{} {
	if c.engine == nil {
		return nil
	}
	return c.engine.ended
}

// relay serves one request. It reports whether the connection may carry another one.
func (c *session) relay(ctx context.Context, f frame) bool {
	defer f.hold.release()
	accepted := c.s.begin()
	if accepted {
		defer c.s.end()
	}
	if d := c.decide(f, conditions{draining: !accepted}); d.reason != ReasonNone {
		return c.refuse(f, d)
	}
	if f.unheld {
		return c.refuse(f, decision{reason: ReasonNoMemory})
	}
	answers := c.engineAnswers(ctx, f)
	if ctx.Err() != nil {
		c.s.cfg.Metrics.ended(resultEntryLeft)
		return false
	}
	if d := c.decide(f, conditions{silent: !answers}); d.reason != ReasonNone {
		return c.refuse(f, d)
	}
	ticket, d := c.awaitSlot(ctx, f)
	defer func() { c.s.slots.leave(ticket, clock.Now()) }()
	switch {
	case d.reason == ReasonNone:
	case ctx.Err() != nil:
		c.s.cfg.Metrics.ended(resultEntryLeft)
		return false
	default:
		return c.refuse(f, d)
	}
	switch err := c.connect(ctx); {
	case err == nil:
		return c.pass(ctx, f, ticket)
	case ctx.Err() != nil:
		c.s.cfg.Metrics.ended(resultEntryLeft)
		return false
	case errors.Is(err, errMidMessage):
		c.s.cfg.Metrics.ended(resultMidMessage)
		return c.endMidMessage(f, nextAnswer)
	default:
		c.s.log.Debug().Err(err).Msg("request not passed on")
		return c.refuse(f, decision{reason: ReasonNotConnected})
	}
}

// awaitSlot waits until the request may be passed on, and counts it among the requests at the engine then. Otherwise the decision
// tells why it is not passed on.
func (c *session) awaitSlot(ctx context.Context, f frame) (*slotTicket, decision) {
	d := c.decideSend(f)
	if !d.needsSlot {
		return c.s.slots.take(c.s.cfg.Report(), clock.Now()), d
	}
	ticket := c.s.slots.join()
	until := clock.Now().Add(slotWait)
	for {
		switch d = c.decideSend(f); {
		case d.reason != ReasonNone:
			return ticket, d
		case c.s.slots.claim(ticket, c.s.cfg.Report(), clock.Now()):
			return ticket, d
		case clock.Until(until) <= 0:
			d.reason = ReasonFull
			return ticket, d
		}
		select {
		case <-time.After(slotCheckInterval):
		case <-ctx.Done():
		}
		if !c.engineAnswers(ctx, f) {
			d.reason = ReasonSilent
			return ticket, d
		}
	}
}

// decideSend decides on a request of which the engine has nothing yet: one that waited while the agent began to stop is refused, since the
// agent may end before its answer does. Its entry asks elsewhere.
func (c *session) decideSend(f frame) decision {
	return c.decide(f, conditions{draining: c.s.isDraining()})
}

// decide decides on a request as of now.
func (c *session) decide(f frame, now conditions) decision {
	now.now = clock.Now()
	now.engineAddr = c.s.cfg.EngineAddr
	now.expires = c.s.cfg.Expires(string(f.Model), f.Version)
	now.holding = c.s.slots.holding(now.now)
	now.beginTime = c.s.slots.beginTime(now.now)
	now.unasked = now.unasked || c.s.bodies.unasked(now.now)
	return decide(now, f)
}

// engineAnswers asks whether the engine answers, until the request may not be passed on any more.
func (c *session) engineAnswers(ctx context.Context, f frame) bool {
	ctx, cancel := context.WithDeadline(ctx, clock.Deadline(c.decide(f, conditions{}).bound.Add(-CancelMargin)))
	defer cancel()
	return c.s.cfg.Answers(ctx)
}

// connect sees to it that there is a connection to the engine, and that its answer can be told from the bytes before. Its error wraps
// errMidMessage if it can't.
func (c *session) connect(ctx context.Context) error {
	if c.engine != nil {
		if err := c.entry.awaitWhole(ctx, c.engine.ended); err != nil {
			return err
		}
		if !c.engine.isEnded() {
			return nil
		}
	}
	c.dropEngine()
	e, err := c.s.dialEngine(ctx, c.entry)
	if err != nil {
		return err
	}
	c.engine = e
	return nil
}

// pass writes a request to the engine, after a last decision, and waits for the end of its answer.
func (c *session) pass(ctx context.Context, f frame, ticket *slotTicket) bool {
	e := c.engine
	passedAt := clock.Now()
	x := newExchange(f, c.s.cfg.Headers.RequestID, func() {
		now := clock.Now()
		c.s.slots.begun(ticket, now)
		c.s.cfg.Metrics.begun(now.Sub(passedAt))
	})
	defer context.AfterFunc(ctx, func() { _ = e.Close() })()
	d := c.decideSend(f)
	if d.reason == ReasonNone && d.needsSlot && !c.s.slots.hasSlot(ticket) {
		d.reason = ReasonFull
	}
	if d.reason != ReasonNone {
		return c.refuse(f, d)
	}
	_ = e.SetWriteDeadline(clock.Deadline(d.latest))
	x.passedAt, x.endsAt, x.tellsEnd = passedAt, d.endsAt, f.EndsBefore
	e.current.Store(x)
	parts := net.Buffers{encodeHead(f, c.s.cfg.Headers.DeadlineMs, d.deadline, d.asks)}
	switch {
	case d.asks:
		x.body = bodyWithheld
	case len(f.Body) == 0:
		x.body = bodyNone
	default:
		x.body = bodyWithHead
		parts, f.Body = append(parts, f.Body), nil
	}
	n, err := parts.WriteTo(e.Conn) // in one call of the system, without a copy of the body
	f.Head = nil
	if x.body == bodyWithHead {
		f.hold.release()
	}
	if n > 0 {
		defer func() { c.noteBody(f, x, d) }()
	}
	switch {
	case err == nil:
		return c.await(ctx, f, x, d, ticket)
	case n == 0 && ctx.Err() == nil: // certainly nothing was written
		c.dropEngine()
		if d = c.decide(f, conditions{}); d.reason == ReasonNone {
			d.reason = ReasonNotConnected
		}
		return c.refuse(f, d)
	}
	return c.writeFailed(ctx, f, x, d, err)
}

// noteBody counts how the body of a request went to the engine. An engine may begin a request whose connection was closed, unless
// its body was withheld.
func (c *session) noteBody(f frame, x *exchange, d decision) {
	c.s.cfg.Metrics.passedOn(x.body)
	if x.hasBegun() {
		return
	}
	c.s.cfg.Metrics.closedUnbegun(x.body)
	c.log(f, d).Str("body", x.body).Bool("ends_before", d.endsBefore).Dur("deadline_left_ms", clock.Until(d.endsAt)).
		Msg("request closed at the engine before it had begun")
}

// writeFailed ends an exchange whose request was written in part.
func (c *session) writeFailed(ctx context.Context, f frame, x *exchange, d decision, err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) && x.cancel() {
		return c.cancelled(f, d, clock.Since(d.bound.Add(-CancelMargin)))
	}
	return c.breakOff(ctx, f, x, d)
}

// bodyFailed ends an exchange whose body was not sent whole, so that the engine can't begin it.
func (c *session) bodyFailed(ctx context.Context, f frame, x *exchange, d decision, err error) bool {
	if errors.Is(err, errTooLate) {
		return c.cancelled(f, d, max(clock.Since(d.cancelAt), 0))
	}
	return c.writeFailed(ctx, f, x, d, err)
}

// errTooLate means that a body is not sent any more.
var errTooLate = errors.New("the request may not be passed on any more")

// sendBody writes the body of a request whose head the engine has, unless it is too late. sent is the decision that the head was sent
// with, how tells what the body is sent for.
func (c *session) sendBody(f *frame, x *exchange, sent decision, ticket *slotTicket, how string) error {
	now := c.decide(*f, conditions{})
	// The engine may have read the head just now, and its deadline would end past the bound.
	late := sent.endsBefore && clock.Now().Add(sent.deadline).After(now.bound)
	queued := now.needsSlot && !c.s.slots.hasSlot(ticket)
	if (late || queued || now.reason != ReasonNone) && x.cancel() {
		return errTooLate
	}
	_ = c.engine.SetWriteDeadline(clock.Deadline(now.latest))
	body := f.Body
	f.Body, x.body = nil, how
	_, err := c.engine.Write(body)
	f.hold.release()
	return err
}

// await waits until the answer is complete, sends the body if the engine still has to get it, and cancels the request if it has to.
func (c *session) await(ctx context.Context, f frame, x *exchange, d decision, ticket *slotTicket) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sentAt, continued, unframed := clock.Now(), x.continued, x.unframed
	var askReport <-chan time.Time
	for {
		select {
		case <-x.complete:
			c.s.cfg.Metrics.ended(resultAnswered)
			if len(f.Body) > 0 {
				c.dropEngine() // it answered without the body, and may take what comes next for it
			}
			return true
		case <-c.engine.ended:
			if !x.isComplete() {
				return c.breakOff(ctx, f, x, d)
			}
		case <-ctx.Done():
			return c.breakOff(ctx, f, x, d)
		case <-continued:
			continued = nil
			c.engineAsked()
			if len(f.Body) == 0 { // it was sent unasked meanwhile
				continue
			}
			if err := c.sendBody(&f, x, d, ticket, bodyAsked); err != nil {
				return c.bodyFailed(ctx, f, x, d, err)
			}
		case <-unframed:
			unframed = nil
			ticker := time.NewTicker(checkInterval)
			defer ticker.Stop()
			askReport = ticker.C
		case <-askReport:
			c.s.keepReports(ctx)
		case <-timer.C:
			if !x.waiting() {
				continue
			}
			if len(f.Body) > 0 && c.takesUnasked(ctx, f, sentAt) {
				if err := c.sendBody(&f, x, d, ticket, bodyUnasked); err != nil {
					return c.bodyFailed(ctx, f, x, d, err)
				}
			}
			// The agent may learn meanwhile that a newer version was named earlier than it knew.
			now := c.decide(f, conditions{})
			d.cancelAt = earlier(d.cancelAt, now.cancelAt)
			left := clock.Until(d.cancelAt)
			if left <= 0 && x.cancel() {
				return c.cancelled(f, d, -left)
			}
			if d.needsSlot && !f.RunOnce && clock.Until(d.bound) < maxHeldTime && c.s.slots.holding(clock.Now()) && x.cancel() {
				return c.held(f, d)
			}
			timer.Reset(min(left, checkInterval))
		}
	}
}

// takesUnasked reports whether the engine runs and does not ask for the body of a request whose head it got at a time. Bodies are sent
// unasked from then on.
func (c *session) takesUnasked(ctx context.Context, f frame, sentAt time.Time) bool {
	if !c.s.bodies.overdue(sentAt, clock.Now()) || !c.engineAnswers(ctx, f) || !c.s.cfg.Report().AsOf.After(sentAt) {
		return false
	}
	c.s.bodies.giveUp(clock.Now())
	c.s.log.Info().Str("id", string(f.Id)).Msg("engine answers and asks for no body; bodies are sent unasked for a time")
	return true
}

// engineAsked records that the engine asks for bodies.
func (c *session) engineAsked() {
	if c.s.bodies.asked() {
		c.s.cfg.Metrics.asks.Set(1)
		c.s.log.Info().Msg("engine asks for bodies")
	}
}

// held closes both connections of a request that the engine holds in a free slot, so that its caller may be served elsewhere.
func (c *session) held(f frame, d decision) bool {
	_ = c.engine.Close()
	c.entry.abort()
	c.s.cfg.Metrics.ended(resultHeld)
	c.log(f, d).Msg("relayed request cancelled: the engine holds requests in free slots")
	return false
}

// cancelled closes both connections of a request without an answer.
func (c *session) cancelled(f frame, d decision, late time.Duration) bool {
	_ = c.engine.Close()
	c.entry.abort()
	c.s.cfg.Metrics.ended(resultCancelled)
	c.s.cfg.Metrics.cancelled(late)
	c.log(f, d).Dur("late_ms", late).Msg("relayed request cancelled before its weights expire")
	return false
}

// breakOff ends both connections in the middle of an exchange. An answer that the engine has ended properly is passed back as such;
// otherwise it must not look complete.
func (c *session) breakOff(ctx context.Context, f frame, x *exchange, d decision) bool {
	switch {
	case x.isComplete():
		c.s.cfg.Metrics.ended(resultAnswered)
	case c.engine.endedByHead():
		c.endInvalid(ctx, f, x, d)
	case c.engine.heldBack():
		c.brokenOff(f, x, d, resultMidMessage)
		return c.endMidMessage(f, nextAnswer)
	case ctx.Err() != nil || c.engine.closedByEntry(): // also at the end of the grace period
		c.brokenOff(f, x, d, resultEntryLeft)
		c.entry.abort()
	case c.engine.closedByEngine():
		c.brokenOff(f, x, d, resultEngineClosed)
		c.closeAfterLastByte(ctx)
	default:
		c.brokenOff(f, x, d, resultEngineClosed)
		c.entry.abort()
	}
	return false
}

// endInvalid ends both connections behind a head that is no answer, which the entry has got.
func (c *session) endInvalid(ctx context.Context, f frame, x *exchange, d decision) {
	_ = c.engine.Close()
	c.brokenOff(f, x, d, resultInvalidAnswer)
	c.s.log.Warn().Str("id", string(f.Id)).Msg("engine's connection closed: its head states no status of a response")
	c.closeAfterLastByte(ctx)
}

// brokenOff counts an exchange that ended before its answer was complete, and writes a line if that had begun.
func (c *session) brokenOff(f frame, x *exchange, d decision, result string) {
	c.s.cfg.Metrics.ended(result)
	if x.waiting() {
		return
	}
	c.s.cfg.Metrics.cut(result)
	event := c.log(f, d)
	if c.engine.isEnded() {
		event.AnErr("cause", c.engine.source.err)
	}
	event.Str("ended_by", result).Bool("ends_before", d.endsBefore).
		Dur("deadline_left_ms", clock.Until(d.endsAt)).Msg("answer broke off after it had begun")
}

// refuse answers that a request was not run. It reports whether the connection may carry another one.
func (c *session) refuse(f frame, d decision) bool {
	c.s.cfg.Metrics.ended(string(d.reason))
	if d.reason == ReasonExpired {
		c.log(f, d).Msg("relayed request refused: its weights expire")
	}
	err := c.entry.writeMessage(encodeRefusal(c.s.cfg.Headers, f.Id, d.reason), refusalTimeout)
	if errors.Is(err, errMidMessage) {
		return c.endMidMessage(f, nextRefusal)
	}
	return err == nil
}

// endMidMessage resets the entry's connection, on which a message was cut and nothing can follow: the request has no answer.
func (c *session) endMidMessage(f frame, next string) bool {
	c.entry.abort()
	c.s.cfg.Metrics.endedMidMessage(next)
	c.s.log.Warn().Str("id", string(f.Id)).Str("next", next).Msg("entry's connection reset: a message of the engine on it is not complete")
	return false
}

// endWithEngine ends the entry's connection without a request after that to the engine has ended. A message that was cut by a reset must not
// look complete.
func (c *session) endWithEngine(ctx context.Context) {
	if c.entry.midMessage() && !c.engine.closedByEngine() {
		c.entry.abort()
		return
	}
	c.closeAfterLastByte(ctx)
}

// closeAfterLastByte ends the entry's connection behind the bytes that were sent on it, and waits until the entry has closed it,
// too: a close with unread bytes of the entry would reset it.
func (c *session) closeAfterLastByte(ctx context.Context) {
	if !c.entry.closeWrite() {
		return
	}
	limit := time.NewTimer(lingerTimeout)
	defer limit.Stop()
	for {
		select {
		case f := <-c.frames: // read after the end: not answered, not passed on
			f.hold.release()
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		}
	}
}

func (c *session) close() {
	c.entry.close()
	c.dropEngine()
}

func (c *session) dropEngine() {
	if c.engine != nil {
		_ = c.engine.Close()
		c.engine = nil
	}
}

// log returns a line about a request whose weights expire.
func (c *session) log(f frame, d decision) *zerolog.Event {
	return c.s.log.Info().Str("id", string(f.Id)).Str("model", string(f.Model)).Uint64("version", f.Version).
		Dur("bound_left_ms", clock.Until(d.bound)).Dur("stated_left_ms", micros(f.LeftUs)).Bool("run_once", f.RunOnce)
}
