package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/standstill"
)

// Messages of the engine that are cut, and answers that may follow them. An entry that reads one of signature "cut" has read a cut one.
const (
	cutLength     = headOf + "b\r\nX-Signature: cut\r\nContent-Length: 2\r\n\r\nhi"
	cutChunks     = headOf + "b\r\nX-Signature: cut\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nT: 1\r\n\r\n"
	cutInterim    = "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=x\r\n\r\n"
	cutUnframed   = headOf + "b\r\nX-Signature: cut\r\n\r\n"
	cutToAnother  = headOf + "z\r\nX-Signature: cut\r\nContent-Length: 2\r\n\r\nhi"
	cutWithoutEnd = "HTTP/1.1 200 OK\r\nX-Signature: cut\r\n\r\nhello"
	failureB      = "HTTP/1.1 500 Internal Server Error\r\nX-Request: b\r\nContent-Length: 4\r\n\r\nfail"
	successB      = headOf + "b\r\nX-Signature: whole\r\nContent-Length: 5\r\n\r\nright"
)

// cutCase is a part of a message that an engine sends without being asked before its connection ends, and what is to follow on that of
// the entry.
type cutCase struct {
	part  string
	reset bool
	// forSlot: the request waits for a slot meanwhile, and not for the engine's word.
	forSlot bool
	// next is the answer of the engine on its next connection, or one of refusesConnections and silent.
	next string
}

// What an engine does that answers no request.
const (
	refusesConnections = "refuses connections"
	silent             = "silent"
)

func (c cutCase) refused() bool { return c.next == refusesConnections || c.next == silent }

func (c cutCase) String() string {
	return fmt.Sprintf("%d bytes up to %q, reset %v, for a slot %v, then %.12q", len(c.part), c.part[max(0, len(c.part)-9):], c.reset, c.forSlot, c.next)
}

// played is what came of a cutCase.
type played struct {
	// answer is what the entry read as the whole answer to its request. If it is empty, end is how the connection ended.
	answer string
	end    error
	// rest are the bytes that it got after the part.
	rest string
	// passedOn: the engine got the request.
	passedOn bool
}

func (c cutCase) play(t *testing.T) played {
	r := newRig(t)
	s, entry := r.session()
	entry.send("a")
	engine := r.accept()
	engine.readRequest()
	engine.write(answerA)
	entry.expect(answerA)
	r.counted(1, resultAnswered)
	waits, goOn := make(chan struct{}), make(chan struct{})
	calls, holdCall := 0, 1
	if c.forSlot {
		r.free.Store(0)
		holdCall = 2
	}
	// It runs in the session's goroutine.
	answers := func(ctx context.Context) bool {
		if calls++; calls == holdCall {
			close(waits)
			<-goOn
			<-s.engineEnded()
			return c.next != silent
		}
		return true
	}
	r.answers.Store(&answers)
	entry.send("b")
	<-waits
	engine.write(c.part)
	entry.expect(c.part)
	if c.next == refusesConnections {
		require.NoError(t, r.engine.Close())
	}
	if c.reset {
		engine.reset()
	} else {
		require.NoError(t, engine.Close())
	}
	r.free.Store(1000)
	served := make(chan bool, 1)
	go func() { served <- c.serveNext(r) }()
	close(goOn)
	var rest strings.Builder
	var p played
	from := &endRecorder{Reader: entry.br}
	p.answer = readAnswer(c.part, io.TeeReader(from, &rest))
	if p.answer == "" && from.err == nil { // what came can't be read as an answer
		_, _ = io.Copy(&rest, from)
	}
	p.end = from.err
	_ = r.engine.Close()
	p.rest, p.passedOn = rest.String(), <-served
	return p
}

// serveNext answers the request on the engine's next connection. It reports whether there was one.
func (c cutCase) serveNext(r *rig) bool {
	conn, err := r.engine.Accept()
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return false
	}
	_, _ = io.WriteString(conn, c.next)
	return true
}

// session connects like an entry, to a session that the test can look at.
func (r *rig) session() (*session, *peer) {
	lis := listen(r)
	conn, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(r, err)
	accepted, err := lis.Accept()
	require.NoError(r, err)
	s := newSession(r.Server, accepted)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.run(ctx)
	}()
	r.Cleanup(func() {
		stop()
		<-done
	})
	return s, newPeer(r.TB, conn)
}

// readAnswer returns the first whole answer to request b, as an entry reads it that got the part before. It is empty if there is none.
func readAnswer(part string, rest io.Reader) string {
	br := bufio.NewReader(io.MultiReader(strings.NewReader(part), rest))
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return ""
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return ""
		}
		id := resp.Header.Get(headers.RequestID)
		if resp.StatusCode >= http.StatusOK && (id == "b" || id == "" && resp.StatusCode >= http.StatusMultipleChoices) {
			return fmt.Sprintf("%d signature=%s not-run=%s %q", resp.StatusCode, resp.Header.Get("X-Signature"), resp.Header.Get(headers.NotRun), body)
		}
	}
}

// cutsOf returns a message cut after every step-th of its bytes.
func cutsOf(message string, step int) []string {
	var parts []string
	for n := 1; n < len(message); n += step {
		parts = append(parts, message[:n])
	}
	return parts
}

// Guards against an answer that consists of a part of one message and of another one behind it.
func TestNothingFollowsAPartOfAMessageOfTheEngine(t *testing.T) {
	for name, parts := range map[string][]string{
		"length": cutsOf(cutLength, 1), "interim": cutsOf(cutInterim, 3), "chunks": cutsOf(cutChunks, 3), "no length": {cutUnframed, cutWithoutEnd},
		"another request": cutsOf(cutToAnother, 5), "no response": {"no response", "\r\n", "HTTP/1.1 2000 OK\r\n\r\n"},
	} {
		for then, next := range map[string]string{"no connection": refusesConnections, "silence": silent, "failure": failureB, "success": successB} {
			t.Run(name+", "+then, func(t *testing.T) {
				for i, part := range parts {
					c := cutCase{part: part, next: next, reset: i%2 == 1, forSlot: i%4 >= 2}
					p := c.play(t)
					require.Empty(t, p.answer, "%v", c)
					require.ErrorIs(t, p.end, syscall.ECONNRESET, "it must not look complete: %v", c)
					require.Empty(t, p.rest, "%v", c)
					require.False(t, p.passedOn, "its answer could not be passed back: %v", c)
				}
			})
		}
	}
}

// Guards against a request that is lost since a whole message came before the close that it crossed.
func TestRequestThatCrossesTheCloseBehindAWholeMessageIsServed(t *testing.T) {
	for name, part := range map[string]string{
		"nothing": "", "interim": cutInterim, "length": cutToAnother,
		"chunks": strings.Replace(cutChunks, headOf+"b", headOf+"z", 1), "two": cutToAnother + cutInterim,
	} {
		for then, want := range map[string]string{
			refusesConnections: `503 signature= not-run=engine-not-connected ""`, silent: `503 signature= not-run=engine-silent ""`, failureB: `500 signature= not-run= "fail"`, successB: `200 signature=whole not-run= "right"`,
		} {
			t.Run(fmt.Sprintf("%s, then %.12q", name, then), func(t *testing.T) {
				for i := range 4 {
					c := cutCase{part: part, next: then, reset: i%2 == 1, forSlot: i >= 2}
					p := c.play(t)
					assert.Equal(t, want, p.answer, "%v", c)
					assert.Equal(t, !c.refused(), p.passedOn)
				}
			})
		}
	}
}

// Guards against an answer that is read as the rest of what the engine sent before it.
func TestRequestIsNotPassedOnBehindAPartOfAMessage(t *testing.T) {
	for name, part := range map[string]string{"head": cutToAnother[:30], "body": cutToAnother[:len(cutToAnother)-1], "no length": cutWithoutEnd} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			entry := r.entry()
			entry.send("a")
			engine := r.accept()
			engine.readRequest()
			engine.write(answerA + part)
			entry.expect(answerA + part)
			entry.send("b")
			got, err := entry.ends()
			assert.Empty(t, got)
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			got, _ = engine.ends()
			assert.Empty(t, got, "the request")
			r.counted(1, resultMidMessage)
			assert.Equal(t, 1, r.resets(nextAnswer))
		})
	}
}

// Guards against a request that is lost since the rest of a message before it is on its way.
func TestRequestIsPassedOnOnceTheMessageBeforeItIsWhole(t *testing.T) {
	r := newRig(t)
	s, entry := r.session()
	entry.send("a")
	engine := r.accept()
	engine.readRequest()
	engine.write(answerA + cutToAnother[:30])
	entry.expect(answerA + cutToAnother[:30])
	rest := func(context.Context) bool { // it runs in the session's goroutine
		engine.write(cutToAnother[30:])
		return assert.Eventually(t, func() bool { return !s.entry.midMessage() }, patience, ms)
	}
	r.answers.Store(&rest)
	entry.send("b")
	entry.expect(cutToAnother[30:])
	engine.readRequest()
	engine.write(successB)
	entry.expect(successB)
	r.counted(2, resultAnswered)
}

// Guards against a failure that tells "not run" to nobody, since whole messages came before it.
func TestRefusalFollowsWholeMessages(t *testing.T) {
	r := newRig(t)
	entry := r.entry()
	entry.send("a")
	engine := r.accept()
	engine.readRequest()
	engine.write(answerA + cutToAnother)
	entry.expect(answerA + cutToAnother)
	r.counted(1, resultAnswered)
	entry.send("b", boundIn(0))
	entry.refused("b", ReasonExpired)
}

// Guards against a message without a length that looks complete although its engine was reset.
func TestIdleConnectionIsResetWithThatOfTheEngineInAMessage(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*peer)
		want error
	}{"close": {func(p *peer) { _ = p.Close() }, nil}, "reset": {(*peer).reset, syscall.ECONNRESET}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			entry := r.entry()
			entry.send("a")
			engine := r.accept()
			engine.readRequest()
			engine.write(answerA + cutWithoutEnd)
			entry.expect(answerA + cutWithoutEnd)
			c.end(engine)
			_, err := entry.ends()
			assert.ErrorIs(t, err, c.want)
		})
	}
}

func (r *rig) resets(next string) int {
	var m dto.Metric
	require.NoError(r, r.cfg.Metrics.midMessage.WithLabelValues(next).Write(&m))
	return int(m.GetCounter().GetValue())
}

func TestSourcesWriteWholeMessagesInTurn(t *testing.T) {
	written := &strings.Builder{}
	c := newEntryConn(recordingConn{to: written})
	first, err := c.source()
	require.NoError(t, err)
	second, err := c.source()
	require.NoError(t, err)
	require.NoError(t, first.write([]byte("a"), true))
	require.NoError(t, second.write([]byte("b"), false))
	assert.ErrorIs(t, first.write([]byte("no"), true), errMidMessage)
	assert.ErrorIs(t, c.writeMessage([]byte("no"), time.Second), errMidMessage)
	_, err = c.source()
	assert.ErrorIs(t, err, errMidMessage)
	assert.ErrorIs(t, c.awaitWhole(t.Context(), nil), errMidMessage)
	require.NoError(t, second.write(nil, true))
	require.NoError(t, c.awaitWhole(t.Context(), nil))
	require.NoError(t, c.writeMessage([]byte("c"), time.Second))
	require.NoError(t, first.write([]byte("d"), false))
	assert.Equal(t, "abcd", written.String())
	assert.True(t, c.midMessage())
}

// Guards against a request that is lost since it came while the message before it was written.
func TestRestOfAMessageIsWaitedFor(t *testing.T) {
	standstill.Run(t, func(t testing.TB) {
		c := newEntryConn(recordingConn{to: io.Discard})
		source, err := c.source()
		require.NoError(t, err)
		require.NoError(t, source.write([]byte("a"), false))
		go func() { _ = source.write([]byte("b"), true) }()
		assert.NoError(t, c.awaitWhole(t.Context(), nil))
	})
}

func TestNothingFollowsAMessageWhoseWriteFailed(t *testing.T) {
	c := newEntryConn(recordingConn{to: failingWriter{}})
	assert.ErrorIs(t, c.writeMessage([]byte("refusal"), time.Second), os.ErrDeadlineExceeded)
	assert.ErrorIs(t, c.writeMessage([]byte("refusal"), time.Second), errMidMessage)
}

// recordingConn is a connection that only takes writes.
type recordingConn struct {
	net.Conn
	to io.Writer
}

func (c recordingConn) Write(p []byte) (int, error)      { return c.to.Write(p) }
func (c recordingConn) SetWriteDeadline(time.Time) error { return nil }

// failingWriter takes one byte of each write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 1, os.ErrDeadlineExceeded }
