package gateway

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/reservation"
)

// hopByHopFields concern one connection only and are not forwarded (RFC 9110, 7.6.1).
var hopByHopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
}

// attemptFields are the header values that differ between the attempts of a call.
type attemptFields struct {
	server        string
	expectVersion string
}

// requestHead returns the head of the HTTP request of one attempt, without its end: the caller's method, target and header
// fields, and the fields that the system sets, but for the deadline.
func (c *call) requestHead(s attemptFields) []byte {
	h := &c.g.cfg.Headers
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(c.r.Method + " " + c.r.RequestURI + " HTTP/1.1\r\nHost: " + c.r.Host + "\r\n")
	named := connectionFields(c.r.Header)
	own := []string{h.Key, h.Organisation, h.ExpectServer, h.ExpectVersion, h.DeadlineMs, h.Priority, h.ResumeAfter}
	for name, values := range c.r.Header {
		if hopByHopFields[name] || named[name] || containsFold(own, name) {
			continue
		}
		for _, value := range values {
			writeField(&b, name, value)
		}
	}
	if len(c.body) > 0 || c.r.ContentLength >= 0 && c.r.Method != http.MethodGet && c.r.Method != http.MethodHead {
		writeField(&b, "Content-Length", strconv.Itoa(len(c.body)))
	}
	writeField(&b, h.ExpectServer, s.server)
	if s.expectVersion != "" {
		writeField(&b, h.ExpectVersion, s.expectVersion)
	}
	if c.org != nil {
		writeField(&b, h.Organisation, c.org.Name)
	}
	if c.lastEvent != "" {
		writeField(&b, h.ResumeAfter, c.lastEvent)
	}
	if priority := c.enginePriority(); priority > 0 && h.Priority != "" {
		writeField(&b, h.Priority, strconv.Itoa(priority))
	}
	return b.Bytes()
}

// encode returns a request with this head and the time that is left until a deadline.
func (c *call) encode(head []byte, deadline time.Time) []byte {
	var b bytes.Buffer
	b.Grow(len(head) + 64 + len(c.body))
	b.Write(head)
	writeField(&b, c.g.cfg.Headers.DeadlineMs, strconv.FormatInt(max(clock.Until(deadline).Milliseconds(), 1), 10))
	b.WriteString("\r\n")
	b.Write(c.body)
	return b.Bytes()
}

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

func containsFold(names []string, name string) bool {
	for _, n := range names {
		if n != "" && strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// connectionFields returns the canonical names of the fields listed in the Connection header.
func connectionFields(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// expectVersion returns the version of weights that the chosen server must have loaded, empty if any will do: the one that
// wrote the events forwarded so far, or the one that the server is taken to hold, if an older one would expire sooner. A server that
// holds that one after all must refuse the request, since nothing else would keep it from beginning there too late.
func (c *call) expectVersion(choice *balance.Choice) string {
	switch {
	case c.model == "":
		return ""
	case c.events > 0 && c.version != "":
		return c.version
	case choice.Confirm:
		return strconv.FormatUint(choice.Version, 10)
	}
	return ""
}

// copyHead copies the header fields of a server's answer, except for hop-by-hop fields.
func (c *call) copyHead(a *dispatch.Answer) {
	out := c.w.Header()
	named := connectionFields(a.Header)
	for name, values := range a.Header {
		if hopByHopFields[name] || named[name] {
			continue
		}
		out[name] = values
	}
}

// write writes an answer in one piece.
func (c *call) write(status int, body []byte) {
	c.committed = true
	c.closeIfStopping()
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	if c.r.Method != http.MethodHead {
		// An error means that the caller left; the log shows that by the request's context.
		_ = c.writePieces(body)
	}
}

// fail answers with an error status and no Retry-After.
func (c *call) fail(status int, reason string) {
	c.status, c.reason = status, reason
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.write(status, []byte(reason+"\n"))
}

// refuse answers a request that has not run and will not run, and suggests when to retry it.
func (c *call) refuse(status int, reason string, retryAfter time.Duration) {
	first := "" // the route of a first attempt
	if c.route != nil && !c.clientRetry {
		first = c.route.Name
	}
	c.g.queues.refused(clock.Now(), first, retryAfter)
	c.advised = retryAfter
	seconds := strconv.FormatFloat(retryAfter.Truncate(time.Millisecond).Seconds(), 'f', 3, 64)
	c.w.Header().Set("Retry-After", seconds)
	c.fail(status, reason)
}

// giveUp ends a call that has no answer from a server. If part of an answer has been
// written, the connection is aborted so that the answer does not look complete.
func (c *call) giveUp(reason string) {
	stopped := c.isEndedByStop()
	if stopped {
		reason = reasonStopping
	}
	switch {
	case c.r.Context().Err() != nil:
		c.status, c.reason = statusClientGone, "caller left"
		return
	case stopped && c.committed:
		c.countStop(stopCut)
	case stopped && c.mayHaveRun:
		c.countStop(stopTold)
	case stopped:
		c.refuseForStop()
		return
	}
	switch {
	case c.committed:
		c.status, c.reason = http.StatusBadGateway, reason
		c.broken = true
	case !c.mayHaveRun && c.noRetryAfter:
		c.fail(http.StatusServiceUnavailable, reason)
	case !c.mayHaveRun:
		c.refuse(http.StatusServiceUnavailable, reason, c.retryAfter())
	case !clock.Now().Before(c.deadline.Add(-minAttemptTime)):
		c.fail(http.StatusGatewayTimeout, reason)
	default:
		c.fail(http.StatusBadGateway, reason)
	}
}

// retryAfter returns the delay that is suggested to a refused caller: a few times the objective, with
// jitter so that client retries are spread out, and early enough that the caller's deadline
// leaves time for the answer. If it is known when throttled servers accept requests again, it is
// that moment plus jitter. If no server can be used at all, that lasts for seconds, and the delay
// is the longest that the deadline allows.
func (c *call) retryAfter() time.Duration {
	if c.route == nil || c.route.Objective <= 0 {
		return defaultRetryAfter
	}
	if c.agents.reason != reservation.ReasonNone {
		return c.g.learned.retryAfter(clock.Now(), c.service, clock.Until(c.clientDeadline), c.route.Objective, c.agents.again)
	}
	most := max(clock.Until(c.clientDeadline)/retryAfterDivisor, 0)
	if c.capacity.Fit == 0 && !c.capacity.Opens.IsZero() {
		return max(clock.Until(c.capacity.Opens), 0) + jitter(c.route.Objective)
	}
	if c.capacity.Fit == 0 {
		return most - jitter(most/4)
	}
	return min(2*c.route.Objective+jitter(3*c.route.Objective), most)
}
