package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
)

const (
	// defaultDeadline is for callers that state none.
	defaultDeadline = 30 * time.Second
	// leastSend is the least time left with which a send is worthwhile: below
	// it a backend server can not answer in time.
	leastSend = 20 * time.Millisecond
	// maxDefaultBody bounds a body where the configuration does not, in bytes.
	maxDefaultBody = 4 << 20
)

// call is one request of a caller on its way through the entry.
type call struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	began time.Time

	view  *follow.View
	id    string
	route *fleet.Route
	org   *fleet.Organisation
	model string
	body  []byte
	// clientBy is when the caller gives up, by its own word; by is when we do.
	clientBy, by time.Time
	// cameBack: the caller was refused before.
	cameBack bool
	service  string

	// sends counts those that left, runs those that may have run.
	sends, runs int
	// unheard counts servers that were asked to go on and called off before they had
	// answered: they may have begun. No other is asked for no better reason than a load.
	unheard int
	// refusals counts those that a server refused.
	refusals int
	// mayHaveRun tells that a send may have run, or has.
	mayHaveRun bool
	tried      []*balance.Server
	choice     balance.Choice
	lastErr    error
	// endedBy tells who ended the last send that broke off, interruptedBy who did it
	// first after the first event.
	endedBy, interruptedBy string
	// room tells why no server was chosen, waited for how long the call waited for one.
	room   balance.Room
	waited time.Duration
	// committed: the head of the answer has been written to the caller.
	committed bool
	// status and reason of the end, for the log and the counters.
	status     int
	reason     string
	events     int
	firstEvent time.Duration
	// longestGap is the longest pause between events, eventAt when the last came.
	longestGap time.Duration
	eventAt    time.Time
	// lastEvent is the id of the last event passed on, or that the caller has.
	lastEvent string
	// version of the weights that wrote the first events.
	version string
	// passing guards what is passed on to the caller while another server is asked to
	// go on with the stream: the handover, the events that are held back for it, and
	// lastEvent, eventAt, events, sends and runs until it is settled.
	passing  sync.Mutex
	handover *handover
	held     []byte
	// next is the server that has taken the stream over.
	next *handover
	// broken: the answer was begun and can not be ended.
	broken bool
}

func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request) *call {
	return &call{
		g: g, w: w, r: r, began: time.Now(), view: g.view.Load(),
		id: r.Header.Get(g.cfg.Headers.RequestID), lastEvent: r.Header.Get(g.cfg.Headers.ResumeAfter),
	}
}

// serve decides on the request and carries it out.
func (c *call) serve() {
	t := c.view.Table
	if t == nil {
		c.refuse(http.StatusServiceUnavailable, "no configuration is known", time.Second)
		return
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = t.Route(c.r.Host, path)
	if c.route == nil {
		c.fail(http.StatusNotFound, "no route")
		return
	}
	if t.HasOrganisations() && !c.route.Anonymous {
		c.org = t.Holder(c.r.Header.Get(c.g.cfg.Headers.Key))
		if c.org == nil {
			c.fail(http.StatusUnauthorized, "unknown key")
			return
		}
	}
	if !c.setDeadline() || !c.readBody(t.Config.Limits) {
		return
	}
	c.service = pickTarget(c.route.Targets)
	if s := t.Service(c.service); s != nil && s.Engine != nil {
		c.model = c.r.Header.Get(c.g.cfg.Headers.Model)
	}
	c.g.budget(c.service).Request(c.g.steady(c.began))
	ctx, cancel := context.WithDeadline(c.r.Context(), c.by)
	defer cancel()
	c.attempts(ctx)
}

// pickTarget draws a service by the weights of the route.
func pickTarget(targets []fleet.Target) string {
	sum := 0
	for _, t := range targets {
		sum += t.Weight
	}
	n := rand.IntN(max(sum, 1))
	for _, t := range targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return targets[len(targets)-1].Service
}

// setDeadline takes over the caller's deadline and the route's timeout.
func (c *call) setDeadline() bool {
	wait := defaultDeadline
	if text := c.r.Header.Get(c.g.cfg.Headers.DeadlineMs); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 || ms > float64(24*time.Hour/time.Millisecond) {
			c.fail(http.StatusBadRequest, "unreadable deadline")
			return false
		}
		wait = time.Duration(ms * float64(time.Millisecond))
	}
	c.clientBy = c.began.Add(wait)
	c.by = c.began.Add(min(wait, c.route.Timeout))
	c.cameBack = c.g.rooms.comesBack(c.began, c.route, wait)
	return true
}

// readBody takes the whole body in, so that it can be sent again.
func (c *call) readBody(limits fleet.Limits) bool {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = maxDefaultBody
	}
	if c.r.ContentLength > limit {
		c.drain()
		c.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.drain()
		c.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	case isTimeout(err):
		c.w.Header().Set("Connection", "close")
		c.fail(http.StatusRequestTimeout, "body came too slowly")
		return false
	case err != nil:
		c.w.Header().Set("Connection", "close")
		c.fail(http.StatusBadRequest, "unreadable body")
		return false
	}
	c.body = body
	return true
}

const (
	// maxDrain and drainTime bound what is read of a body that is refused: a client
	// that is still sending when the connection is closed may not see the answer.
	maxDrain  = 1 << 20
	drainTime = 500 * time.Millisecond
)

// drain reads on a body that is refused.
func (c *call) drain() {
	// A connection that takes no deadline is read without one, up to maxDrain.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.r.Body, maxDrain))
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// attempts sends the request until an answer stands, or gives it up.
func (c *call) attempts(ctx context.Context) {
	for {
		if c.attempt(ctx) == sendFinal {
			return
		}
		if c.ended(ctx) {
			c.releaseNext()
			return
		}
	}
}

// attempt goes on at the server that has taken the stream over, or at one chosen now.
func (c *call) attempt(ctx context.Context) sendResult {
	if h := c.next; h != nil {
		c.next = nil
		return c.goOn(h)
	}
	if !c.choose(ctx) {
		return sendFinal
	}
	return c.send(ctx)
}

// sendResult tells how to go on after a send.
type sendResult uint8

const (
	// sendFinal: the caller has its answer, or is gone.
	sendFinal sendResult = iota
	// sendAgain: the request may be sent to another server.
	sendAgain
)

// choose picks the server of the next send; false if the call has ended.
func (c *call) choose(ctx context.Context) bool {
	again := c.sends > 0
	if again {
		if c.attemptsUsed() {
			c.giveUp("all attempts are used")
			return false
		}
		if !c.backOff(ctx) || !c.takeRetry(ctx) {
			c.giveUp("retry budget is used up")
			return false
		}
	}
	choice, room := c.pick(ctx, again)
	if choice.Server == nil {
		c.noServer(room)
		return false
	}
	c.choice = choice
	c.tried = append(c.tried, choice.Server)
	return true
}

// attemptsUsed tells whether no other server may get the request. The rest of a stream
// that has begun is sent on after servers that refused it, since its caller can't
// start again; the retry budget bounds that.
func (c *call) attemptsUsed() bool {
	most := max(c.route.MaxAttempts, 1)
	if c.events > 0 {
		return c.runs >= most
	}
	return c.sends >= most
}

// backOff waits before the rest of a stream that has begun is asked of further servers,
// once some have refused it: a stream that waits for room must not use up the repeats of
// all others. It returns false if there is no time left.
func (c *call) backOff(ctx context.Context) bool {
	if c.events == 0 || c.refusals <= freeRefusals {
		return true
	}
	pause := min(resumePause<<min(c.refusals-freeRefusals, maxDoublings), maxResumePause)
	return c.wait(ctx, pause)
}

// takeRetry takes a repeat from the budget. The rest of a stream that has begun waits
// for one.
func (c *call) takeRetry(ctx context.Context) bool {
	for !c.g.budget(c.service).TryRetry(c.g.steady(time.Now())) {
		if c.events == 0 || !c.resumeLater(ctx) {
			return false
		}
	}
	return true
}

// resumeLater waits before the next look for a server that goes on with a stream;
// false if there is no time left.
func (c *call) resumeLater(ctx context.Context) bool { return c.wait(ctx, resumePause) }

// wait waits, and returns false if there is no time left for a send then.
func (c *call) wait(ctx context.Context, d time.Duration) bool {
	if time.Until(c.by) < leastSend+d {
		return false
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// pick asks the balancer for a server. The rest of a stream that has begun waits
// for one as long as its caller does and any server may come to take it.
func (c *call) pick(ctx context.Context, again bool) (balance.Choice, balance.Room) {
	for {
		now := time.Now()
		if c.by.Sub(now) < leastSend {
			return balance.Choice{}, balance.Room{}
		}
		want := c.want(share(again))
		if c.events > 0 {
			want.Version = c.versionNumber()
		}
		choice, room := c.pickNow(now, want)
		if choice.Server == nil {
			if given, ok := c.waitForRoom(ctx, want, room); ok {
				return given, room
			}
		}
		if choice.Server != nil || c.events == 0 || room.Fit+room.Later == 0 || !c.resumeLater(ctx) {
			return choice, room
		}
	}
}

// pickNow asks the balancer for a server that has room now. A caller that is late already
// gets none while others wait that are not.
func (c *call) pickNow(now time.Time, want balance.Want) (balance.Choice, balance.Room) {
	if c.sends == 0 && c.cameBack && c.g.rooms.firstAttempts(c.service) {
		return c.g.balancer.Look(now, want)
	}
	return c.g.balancer.Pick(now, want)
}

// noServer ends a call that no server can take.
func (c *call) noServer(room balance.Room) {
	c.room = room
	switch {
	case time.Until(c.by) < leastSend:
		c.giveUp("no time left")
	case room.Known == 0:
		c.giveUp("no backend server is known")
	case room.Fit == 0:
		c.giveUp("no backend server can take it")
	default:
		c.giveUp("all backend servers are full")
	}
}

// ended ends the call if the caller is gone or time is up.
func (c *call) ended(ctx context.Context) bool {
	if c.r.Context().Err() != nil {
		c.status, c.reason = statusClientGone, "caller left"
		return true
	}
	if ctx.Err() != nil {
		c.giveUp("time is up")
		return true
	}
	return false
}

// statusClientGone stands in logs and counters for a caller that left.
const statusClientGone = 499
