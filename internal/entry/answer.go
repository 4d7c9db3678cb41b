package entry

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// maxBufferedBytes is the largest answer that is buffered until its end frame
// has been checked. A larger one is passed on as it arrives; if it is truncated
// then, the connection to the caller is aborted. A single event that is larger, or
// as much behind the final one, is an error.
const maxBufferedBytes = 1 << 20

// errEventTooLarge means that an event, or what follows the final one, is larger
// than what is buffered.
var errEventTooLarge = errors.New("event is too large")

var (
	eventEnd = []byte("\n\n")
	doneLine = []byte("data: [DONE]")
	dataLine = []byte("data:")
)

// answer passes the answer of a backend server on to the caller. It buffers an
// answer of up to maxBufferedBytes until its end frame has been checked, and
// passes an event stream on event by event.
type answer struct {
	w http.ResponseWriter

	status  int
	headers []*rpc.Header
	// events is true for an event stream.
	events bool
	// sent is true once a part of the answer has been sent to the caller.
	sent   bool
	buffer bytes.Buffer
	// midEvent is true if what was sent of an event stream ends within an event.
	midEvent bool
	// tokens counts the data events passed on, after which a retry resumes. The count is also
	// reported to admission as the tokens used.
	tokens int
	// finalEvent is true once the final event of the stream ([DONE]) has arrived.
	finalEvent bool
	// bufferEvents is true if an event stream, too, is buffered until its end
	// frame has been checked.
	bufferEvents bool
	// repeated is true if the call was not dispatched because its key had
	// already been claimed.
	repeated bool
	// version is the model version of the latest attempt; a stream is resumed on
	// the same version.
	version string
	// firstSent is called before the first byte is sent to the caller.
	firstSent func()
}

// setHead sets the status and headers of the answer. Those of an attempt that
// resumes a stream are ignored.
func (a *answer) setHead(status uint32, headers []*rpc.Header) {
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

// write adds a piece of the answer. An error other than errEventTooLarge means
// that the caller has disconnected.
func (a *answer) write(piece []byte) error {
	a.buffer.Write(piece)
	if a.events && !a.bufferEvents {
		if err := a.sendEvents(); err != nil {
			return err
		}
		if a.buffer.Len() > maxBufferedBytes {
			return errEventTooLarge
		}
		return nil
	}
	if a.buffer.Len() > maxBufferedBytes {
		return a.flush()
	}
	return nil
}

// sendEvents passes on all complete buffered events except the final one of the
// stream, which is sent only after the end frame has been checked.
func (a *answer) sendEvents() error {
	if a.finalEvent {
		return nil
	}
	buffered := a.buffer.Bytes()
	end := bytes.LastIndex(buffered, eventEnd) + len(eventEnd)
	if end < len(eventEnd) {
		return nil
	}
	if last := bytes.Index(buffered[:end], doneLine); last >= 0 {
		a.finalEvent = true
		end = last
	}
	if end == 0 {
		return nil
	}
	return a.send(a.buffer.Next(end))
}

func (a *answer) send(events []byte) error {
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

// flush passes on everything buffered.
func (a *answer) flush() error {
	a.writeHead()
	if a.buffer.Len() > 0 {
		a.midEvent = a.events && !bytes.HasSuffix(a.buffer.Bytes(), eventEnd)
	}
	_, err := a.buffer.WriteTo(a.w)
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

// complete sends the rest of the answer after its end frame has been checked.
func (a *answer) complete() error {
	if !a.sent && !a.events {
		a.w.Header().Set("Content-Length", strconv.Itoa(a.buffer.Len()))
	}
	return a.flush()
}

// discardUnsent discards the unsent part of a failed attempt's answer before a
// retry.
func (a *answer) discardUnsent() {
	a.buffer.Reset()
	a.finalEvent = false
}

// resumable reports whether another replica of the same version can resume the
// answer after the part that the caller has received.
func (a *answer) resumable() bool { return a.events }

// abort ends a partly sent answer so that the caller cannot mistake it for a
// complete one: it sends an error event on an event stream, unless that would be
// read as the rest of another event, and closes the connection without terminating
// the body.
func (a *answer) abort(o outcome.Outcome) {
	if a.events && !a.midEvent {
		_, _ = a.w.Write(o.Event())
		_ = http.NewResponseController(a.w).Flush()
	}
	panic(http.ErrAbortHandler)
}
