package relay

import (
	"bytes"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/headlimit"
)

// States of an exchange.
const (
	waiting int32 = iota
	begun
	cancelled
)

// exchange is one request that is passed on to the engine, with its answer.
type exchange struct {
	id, idHeader, method string
	state                atomic.Int32
	// continued is closed once the engine has asked for the body.
	continued chan struct{}
	// passedAt is when it was passed on, endsAt when the time that the engine is given is over. Both are times of package clock.
	passedAt, endsAt time.Time
	// tellsEnd: the entry is told that the end of the answer is checked, since the bound may be the deadline.
	tellsEnd bool
	// unframed is closed once an answer has begun that ends with its connection.
	unframed chan struct{}
	// complete is closed once the whole answer was passed back.
	complete chan struct{}
	// onBegin is called when the answer has begun.
	onBegin func()
	// body is how the body went to the engine. Only the session's goroutine uses it.
	body string
}

func newExchange(f frame, idHeader string, onBegin func()) *exchange {
	method, _, _ := bytes.Cut(f.Head, []byte{' '})
	return &exchange{id: string(f.Id), idHeader: idHeader, method: string(method), continued: make(chan struct{}), unframed: make(chan struct{}), complete: make(chan struct{}), onBegin: onBegin}
}

// begin records that the answer has begun. It has no effect on a cancelled exchange.
func (x *exchange) begin() {
	if x.state.CompareAndSwap(waiting, begun) {
		x.onBegin()
	}
}

// cancel reports whether the answer had not begun; it can't begin any more then.
func (x *exchange) cancel() bool { return x.state.CompareAndSwap(waiting, cancelled) }

func (x *exchange) hasBegun() bool { return x.state.Load() == begun }

func (x *exchange) waiting() bool { return x.state.Load() == waiting }

func (x *exchange) isComplete() bool {
	select {
	case <-x.complete:
		return true
	default:
		return false
	}
}

// observeInterim takes an interim answer, of which the entry gets any number.
func (x *exchange) observeInterim(resp *http.Response) {
	if resp.StatusCode != http.StatusContinue {
		return
	}
	select {
	case <-x.continued:
	default:
		close(x.continued)
	}
}

// answeredBy reports whether a response is the final answer to the request, and not one to an earlier request.
func (x *exchange) answeredBy(resp *http.Response) bool {
	if headlimit.IsInterim(resp.StatusCode) {
		return false
	}
	id := resp.Header.Get(x.idHeader)
	return id == x.id || id == "" && resp.StatusCode >= http.StatusMultipleChoices
}

// encodeHead returns the head of a request as the engine gets it. expect has the engine ask for the body.
func encodeHead(f frame, deadlineHeader string, deadline time.Duration, expect bool) []byte {
	var b bytes.Buffer
	b.Grow(len(f.Head) + 96)
	b.Write(f.Head)
	writeField(&b, deadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	if expect {
		writeField(&b, "Expect", "100-continue")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// encodeRefusal returns the answer to a request that was not passed on.
func encodeRefusal(h Headers, id []byte, reason Reason) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 503 Service Unavailable\r\n")
	writeField(&b, h.RequestID, string(id))
	writeField(&b, h.NotRun, string(reason))
	writeField(&b, "Content-Length", "0")
	b.WriteString("\r\n")
	return b.Bytes()
}

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}
