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
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/quarantine"
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
	// size is what the caller states of it, allowed the longest predicted wait with which it
	// may be sent, as of its last choice.
	size    size
	allowed time.Duration
	// content is the digest, made by digest.
	content    quarantine.Digest
	digestOnce sync.Once
	// hasTurn: the call runs suspect work, no other one does here.
	hasTurn bool
	// endedServers are those that count against work that is held back.
	endedServers []string
	// neverBack: the caller is not told when to come again.
	neverBack bool
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
	// refusals counts those that a server refused, backoffs those of them that requested one.
	refusals, backoffs int
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
		g: g, w: w, r: r, began: clock.Now(), view: g.view.Load(),
		id: r.Header.Get(g.cfg.Headers.RequestID), size: statedSize(r.Header.Get(g.cfg.Headers.Tokens)), lastEvent: r.Header.Get(g.cfg.Headers.ResumeAfter),
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
	c.noteAsked()
	c.g.budget(c.service).Request(c.g.steady(c.began))
	ctx, cancel := context.WithTimeout(c.r.Context(), clock.Until(c.by))
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
