package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// maxHeldBytes is the largest answer held back until its end mark was
// checked. A larger one is passed on while it arrives; if it is cut then, the
// connection to the caller is broken off.
const maxHeldBytes = 1 << 20

var (
	eventEnd = []byte("\n\n")
	doneLine = []byte("data: [DONE]")
	dataLine = []byte("data:")
)

// answer passes the answer of a backend server on to the caller. A whole one
// is held until it was checked; an event stream is passed on event by event.
type answer struct {
	w http.ResponseWriter

	status  int
	headers []*rpc.Header
	// events is true for an event stream.
	events bool
	// sent is true once the caller has received a part of the answer.
	sent bool
	held bytes.Buffer
	// tokens counts the data events passed on, to resume after them.
	tokens int
	// done is true when the stream's own last event has arrived.
	done bool
	// hold keeps an event stream back too, until its end mark was checked.
	hold bool
	// repeated is true when no backend server was asked, since the call's key
	// had been claimed before.
	repeated bool
	// version is the model version that answers; a resumed stream keeps it.
	version string
	// firstSent is called before the first byte goes to the caller.
	firstSent func()
}

// head takes over status and headers of an attempt's answer. Those of an
// attempt that resumes a stream are dropped.
func (a *answer) head(status uint32, headers []*rpc.Header) {
	if a.sent {
		return
	}
	a.status = int(status)
	a.headers = headers
	a.events = false
	for _, h := range headers {
		if h.Name == "Content-Type" && strings.HasPrefix(h.Value, "text/event-stream") {
			a.events = true
		}
	}
}

// data takes over a piece of the answer. An error means that the caller is
// gone.
func (a *answer) data(piece []byte) error {
	a.held.Write(piece)
	if a.events && !a.hold {
		return a.passEvents()
	}
	if a.held.Len() > maxHeldBytes {
		return a.flush()
	}
	return nil
}

// passEvents passes on all complete events held, but not the stream's own
// last one: that follows once the end mark was checked.
func (a *answer) passEvents() error {
	if a.done {
		return nil
	}
	held := a.held.Bytes()
	end := bytes.LastIndex(held, eventEnd) + len(eventEnd)
	if end < len(eventEnd) {
		return nil
	}
	if last := bytes.Index(held[:end], doneLine); last >= 0 {
		a.done = true
		end = last
	}
	if end == 0 {
		return nil
	}
	return a.pass(a.held.Next(end))
}

func (a *answer) pass(events []byte) error {
	a.tokens += countEvents(events)
	a.writeHead()
	if _, err := a.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func countEvents(events []byte) int {
	n := 0
	for len(events) > 0 {
		if bytes.HasPrefix(events, dataLine) {
			n++
		}
		end := bytes.IndexByte(events, '\n')
		if end < 0 {
			break
		}
		events = events[end+1:]
	}
	return n
}

// flush passes on everything held.
func (a *answer) flush() error {
	a.writeHead()
	_, err := a.held.WriteTo(a.w)
	return err
}

func (a *answer) writeHead() {
	if a.sent {
		return
	}
	a.sent = true
	if a.firstSent != nil {
		a.firstSent()
	}
	header := a.w.Header()
	for _, h := range a.headers {
		header.Add(h.Name, h.Value)
	}
	a.w.WriteHeader(a.status)
}

// end completes the answer after its end mark was checked.
func (a *answer) end() error {
	if !a.sent && !a.events {
		a.w.Header().Set("Content-Length", strconv.Itoa(a.held.Len()))
	}
	return a.flush()
}

// restart drops what an attempt left unsent, so that another may follow.
func (a *answer) restart() {
	a.held.Reset()
	a.done = false
}

// resumable reports whether another replica of the same version can go on
// where the caller's part of the answer ends.
func (a *answer) resumable() bool { return a.events }

// cut ends a partly sent answer so that the caller cannot take it for whole:
// an event stream gets an error event, and the connection is broken off.
func (a *answer) cut(o outcome.Outcome) {
	if a.events {
		_, _ = a.w.Write(o.Event())
		_ = http.NewResponseController(a.w).Flush()
	}
	panic(http.ErrAbortHandler)
}
