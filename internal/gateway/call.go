package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/urgency"
)

const (
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 30 * time.Second
	// minAttemptTime is the least time left for which an attempt is made: below it a
	// backend server can't answer in time.
	minAttemptTime = 20 * time.Millisecond
	// maxDefaultBody is the limit of a request body, in bytes, if the configuration sets none.
	maxDefaultBody = 4 << 20
)

// call is the state of one request of a caller.
type call struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	began time.Time

	view  *follow.View
	id    string
	route *fleet.Route
	org   *fleet.Organisation
	// residency limits the regions to which the request may be sent.
	residency fleet.Residency
	model     string
	body      []byte
	// holds is how many bytes of bodies the call has reserved; they are released at its end.
	holds atomic.Int64
	// size is the size that the caller states. allowed is the longest predicted wait, in nanoseconds, that was
	// accepted at the last choice of a server, also at that of a handover.
	size    size
	allowed atomic.Int64
	// content is the digest of the request's content, computed by the method digest.
	content    quarantine.Digest
	digestOnce sync.Once
	// parts are computed by the method partCandidates.
	parts     []quarantine.Candidate
	partsOnce sync.Once
	// hasTurn: the call has the exclusive right to dispatch requests with the suspect candidate turn.
	hasTurn bool
	turn    quarantine.Digest
	// endedServers are the crashed incarnations because of which the request was refused.
	endedServers []string
	// causePart is the part of the prompt because of which the request was refused, empty if it was its content.
	causePart string
	// noRetryAfter: the refusal has no Retry-After, since a client retry would be refused, too.
	noRetryAfter bool
	// clientDeadline is the deadline that the caller states; deadline is the earlier of that and
	// the route's timeout.
	clientDeadline, deadline time.Time
	// clientRetry: the caller was refused before, judged by its deadline.
	clientRetry bool
	service     string
	// rank is the rank among the requests to the service; agents is what agents have decided on requests for a slot.
	rank   urgency.Rank
	agents agentDecisions
	// reservationKey is part of the ids of reservations, 0 before the first; searches counts the searches for a slot.
	reservationKey uint64
	searches       int
	// vainSearches counts searches for the rest of a stream that found no slot.
	vainSearches int

	// attempts counts the attempts that were sent to a server, runs those that may have run: all but those that were refused,
	// since a server may go on with a request whose connection is closed.
	attempts, runs int
	// closed are attempts that this entry has closed before their answers were complete.
	closed []inFlight
	// refusals counts attempts that a server refused, backoffs those of them whose answer
	// requested backoff, or which its agent did not pass on.
	refusals, backoffs int
	// mayHaveRun: at least one attempt may have run.
	mayHaveRun bool
	tried      []*balance.Server
	choice     balance.Choice
	lastErr    error
	// endedBy says what ended the last attempt that failed, interruptedBy what ended the first
	// one that failed after the first event.
	endedBy, interruptedBy string
	// capacity says why no server was chosen; waited is the time spent in the wait queue.
	capacity balance.Availability
	waited   time.Duration
	// committed: the head of the answer has been written to the caller.
	committed bool
	// tooLateToSend: the process ends so soon that the request must not be sent any more. sentAt is when it was sent last.
	tooLateToSend atomic.Bool
	sentAt        time.Time
	// status and reason are the result, for the log and the counters.
	status int
	reason string
	// advised is the Retry-After of a refusal.
	advised    time.Duration
	events     int
	firstEvent time.Duration
	// longestGap is the longest pause between events, eventAt the time of the last one.
	longestGap time.Duration
	eventAt    time.Time
	// writing is for how long the server of this attempt has written, wroteAt when its last events came. Of a pause no more
	// than maxCountedPause counts: after a standstill of the entry, events come that were written long before.
	writing time.Duration
	wroteAt time.Time
	// lastEvent is the id of the last event that the caller has, from this call or an earlier one; resumedAfter is that of an
	// earlier one. received counts the events of this call.
	lastEvent    string
	resumedAfter string
	received     int
	// version is that of the weights that wrote the first events.
	version string
	// mu guards what is forwarded to the caller while a handover is in progress: handover,
	// buffered (events of the first server that are not forwarded meanwhile), and until the
	// handover is settled lastEvent, eventAt, events, attempts and runs.
	mu       sync.Mutex
	handover *handover
	buffered []byte
	// next is the handover whose server has taken the request over, nil if there is none.
	next *handover
	// broken: the answer was begun and can't be completed.
	broken bool
}

func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request) *call {
	return &call{
		g: g, w: w, r: r, began: clock.Now(), view: g.view.Load(),
		id: r.Header.Get(g.cfg.Headers.RequestID), size: parseSize(r.Header.Get(g.cfg.Headers.Tokens), r.Header.Get(g.cfg.Headers.LengthHint)), lastEvent: r.Header.Get(g.cfg.Headers.ResumeAfter),
		resumedAfter: r.Header.Get(g.cfg.Headers.ResumeAfter),
	}
}

// serve validates and routes the request, and makes attempts until it is answered.
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
	if t.NeedsKey(c.route) {
		c.org = t.OrganisationOf(c.r.Header.Get(c.g.cfg.Headers.Key))
		if c.org == nil {
			c.fail(http.StatusUnauthorized, "unknown key")
			return
		}
	}
	c.residency = fleet.ResidencyOf(c.route, c.org)
	if !c.setDeadline() || !c.readBody(t.Config.Limits) {
		return
	}
	c.service = pickTarget(c.route.Targets)
	if s := t.Service(c.service); s != nil && s.Engine != nil {
		c.model = c.modelOf(s.Engine)
	}
	c.rank = c.g.ranks.Load().Of(c.service, c.route, c.org)
	c.recordArrival()
	c.g.budget(c.service).Request(c.g.monotonic(c.began))
	ctx, cancel := context.WithTimeout(c.r.Context(), clock.Until(c.deadline))
	defer cancel()
	ctx, release := c.g.end.Context(ctx, 0)
	defer release()
	c.runAttempts(ctx)
}

// modelOf returns the model that the caller names, or the first one of the engine: a request that names none runs on some version of
// its weights, too.
func (c *call) modelOf(e *fleet.Engine) string {
	if model := c.r.Header.Get(c.g.cfg.Headers.Model); model != "" || len(e.Models) == 0 {
		return model
	}
	return e.Models[0]
}

// pickTarget picks a random service by the weights of the route's targets.
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

// setDeadline sets the deadlines from the caller's header and the route's timeout. It returns
// false if the header is invalid and the call has been answered.
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
	c.clientDeadline = c.began.Add(wait)
	c.deadline = c.began.Add(min(wait, c.route.Timeout))
	c.clientRetry = c.g.queues.isClientRetry(c.began, c.route, wait)
	return true
}

// runAttempts makes attempts until the caller has an answer or the call has ended otherwise.
func (c *call) runAttempts(ctx context.Context) {
	for {
		if c.nextAttempt(ctx) == attemptFinal {
			return
		}
		if c.endIfExpired(ctx) {
			c.dropNext()
			return
		}
	}
}

// nextAttempt continues at the server that has taken the request over, or chooses a server and
// makes a new attempt there.
func (c *call) nextAttempt(ctx context.Context) attemptResult {
	if h := c.next; h != nil {
		c.next = nil
		return c.continueHandover(h)
	}
	if !c.choose(ctx) {
		return attemptFinal
	}
	c.sentAt = clock.Now()
	return c.attempt(ctx)
}

// attemptResult says whether the call is over after an attempt.
type attemptResult uint8

const (
	// attemptFinal: the caller has its answer, or has left.
	attemptFinal attemptResult = iota
	// attemptAgain: another attempt may be made, or a handover continues the request.
	attemptAgain
)

// endIfExpired ends the call if the caller has left or the deadline has passed.
func (c *call) endIfExpired(ctx context.Context) bool {
	if c.r.Context().Err() != nil {
		c.status, c.reason = statusClientGone, "caller left"
		return true
	}
	if ctx.Err() != nil {
		c.noteStop(ctx)
		c.giveUp("time is up")
		return true
	}
	return false
}

// statusClientGone is the status in logs and metrics of a request whose caller left.
const statusClientGone = 499
