package dispatch

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/unacked"
)

const idHeader = "X-Id"

// script is a server that answers the nth request of each connection with the nth
// text. With closeAfter it closes the connection after the last one.
func script(t *testing.T, closeAfter bool, texts ...string) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(c)
				for _, text := range texts {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
				}
				if closeAfter {
					c.Close()
				}
			}()
		}
	}()
	return lis.Addr().String()
}

func sendAs(p *Pool, method, id string) (*Answer, error) {
	return p.Send(context.Background(), &Request{
		Method: method, Encode: func() []byte {
			return []byte(method + " / HTTP/1.1\r\nHost: h\r\n" + idHeader + ": " + id + "\r\n\r\n")
		},
		IDHeader: idHeader, ID: id, OwnFields: headlimit.Fields{idHeader},
	}, time.Now().Add(time.Second))
}

func send(p *Pool, id string) (*Answer, string, error) {
	a, err := sendAs(p, http.MethodGet, id)
	if err != nil {
		return nil, "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return a, string(body), err
}

func okAnswer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: 4\r\n\r\n" + body
}

func TestConnectionIsReused(t *testing.T) {
	p := NewPool(script(t, false, okAnswer("a", "aaaa"), okAnswer("b", "bbbb")))
	for _, id := range []string{"a", "b"} {
		_, body, err := send(p, id)
		require.NoError(t, err)
		assert.Equal(t, id+id+id+id, body)
	}
	assert.EqualValues(t, 1, p.Dials.Load())
}

func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	// A second answer to the first request precedes the answer to the second.
	p := NewPool(script(t, false, okAnswer("a", "aaaa"), okAnswer("a", "late")+okAnswer("b", "bbbb")))
	_, _, err := send(p, "a")
	require.NoError(t, err)
	_, body, err := send(p, "b")
	require.NoError(t, err)
	assert.Equal(t, "bbbb", body)
}

func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	p := NewPool(script(t, false, okAnswer("a", "aaaa")+okAnswer("a", "more"), okAnswer("b", "bbbb")))
	_, _, err := send(p, "a")
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	_, _, err = send(p, "b")
	// The second request is sent on a new connection, where the script starts over.
	assert.EqualValues(t, 2, p.Dials.Load())
	assert.Error(t, err, "the answer there is to another request")
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	p := NewPool(script(t, true, okAnswer("a", "aaaa")))
	for range 2 {
		_, _, err := send(p, "a")
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	assert.EqualValues(t, 2, p.Dials.Load())
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	p := NewPool(script(t, true, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\nContent-Length: 10\r\n\r\nhalf"))
	_, _, err := send(p, "a")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)

	p = NewPool(script(t, true, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"))
	_, _, err = send(p, "a")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	p := NewPool(script(t, true, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\n\r\nall of it"))
	_, body, err := send(p, "a")
	require.NoError(t, err)
	assert.Equal(t, "all of it", body)
	assert.EqualValues(t, 0, p.open.Load(), "the connection is not kept")
}

func TestErrorsDistinguishUnsentFromPossiblyRun(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := lis.Addr().String()
	require.NoError(t, lis.Close())
	_, _, err = send(NewPool(addr), "a")
	assert.ErrorIs(t, err, ErrNotSent)

	_, _, err = send(NewPool(script(t, true, "")), "a")
	assert.ErrorIs(t, err, ErrConnectionLost)
	assert.False(t, errors.Is(err, ErrNotSent))

	_, _, err = send(NewPool(script(t, true, "this is not HTTP\r\n\r\n")), "a")
	assert.ErrorIs(t, err, ErrInvalidAnswer)

	p := NewPool(script(t, false, okAnswer("a", "aaaa")))
	p.SetMaxOpen(1)
	p.open.Store(1)
	_, _, err = send(p, "a")
	assert.ErrorIs(t, err, ErrNotSent)
}

// Guards against connections beyond a server's limit, since those of two pools to it are counted apart.
func TestPoolsThatShareALimitExceedItNowhere(t *testing.T) {
	direct, relayed := NewPool(script(t, false, okAnswer("a", "aaaa"))), NewPool(script(t, false, okAnswer("a", "aaaa"), okAnswer("a", "aaaa")))
	ShareLimit(direct, relayed)
	for _, p := range []*Pool{direct, relayed} {
		p.SetMaxOpen(1)
	}
	_, _, err := send(direct, "a")
	require.NoError(t, err)
	require.EqualValues(t, 1, direct.open.Load(), "it is idle")
	_, _, err = send(relayed, "a")
	require.NoError(t, err, "an idle connection makes room")
	assert.EqualValues(t, 0, direct.open.Load())
	relayed.idle = nil // in use
	_, _, err = send(direct, "a")
	assert.ErrorIs(t, err, ErrNoConnection)
}

func TestCancelClosesTheConnection(t *testing.T) {
	p := NewPool(script(t, false, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\nContent-Length: 10\r\n\r\nhalf"))
	ctx, cancel := context.WithCancel(context.Background())
	a, err := p.Send(ctx, &Request{Method: "GET", Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") }, IDHeader: idHeader, ID: "a"}, time.Now().Add(time.Minute))
	require.NoError(t, err)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = io.ReadAll(a)
	assert.Error(t, err)
	a.Close()
	assert.EqualValues(t, 0, p.open.Load())
}

// silentConn is a connection on which sent data is never acknowledged.
type silentConn struct{ *net.TCPConn }

func (silentConn) Read([]byte) (int, error) { return 0, syscall.ETIMEDOUT }

func TestIdleConnectionsAreClosedAfterOneTimedOut(t *testing.T) {
	p := NewPool(script(t, false, okAnswer("a", "aaaa"), okAnswer("b", "bbbb")))
	answers := make([]*Answer, 3)
	for i := range answers {
		a, err := p.Send(context.Background(), &Request{Method: "GET", Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") }, IDHeader: idHeader, ID: "a"}, time.Now().Add(time.Minute))
		require.NoError(t, err)
		_, err = io.ReadAll(a)
		require.NoError(t, err)
		answers[i] = a
	}
	for _, a := range answers {
		a.Close()
	}
	require.Len(t, p.idle, 3)
	last := p.idle[2]
	bound, err := unacked.Of(last.Conn)
	require.NoError(t, err)
	assert.Equal(t, unackedTimeout, bound)
	last.Conn = silentConn{last.Conn.(*net.TCPConn)}
	last.in.Buffered().Reset(last.Conn)
	_, _, err = send(p, "b")
	assert.ErrorIs(t, err, ErrConnectionLost)
	assert.Empty(t, p.idle)
	assert.Zero(t, p.open.Load())
	_, _, err = send(p, "a")
	assert.NoError(t, err, "over a new connection")
}

func TestKeepAliveTimeoutOfTheServerIsRespected(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nKeep-Alive: timeout=1\r\nContent-Length: 4\r\n\r\naaaa"
	p := NewPool(script(t, false, text, text))
	_, _, err := send(p, "a")
	require.NoError(t, err)
	p.CloseStale(time.Now().Add(400 * time.Millisecond))
	assert.Empty(t, p.idle, "closed before the server's own timeout of a second")
}

// received returns the address of a server that counts the requests it reads, and that count.
func received(t *testing.T) (addr string, requests *atomic.Int64) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { lis.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					requests.Add(1)
					if _, err := io.WriteString(c, okAnswer("a", "aaaa")); err != nil {
						return
					}
				}
			}()
		}
	}()
	return lis.Addr().String(), requests
}

// Guards against writing a request whose caller left while it waited for a connection.
func TestRequestOfACallerWhoLeftIsNotSent(t *testing.T) {
	addr, requests := received(t)
	p := NewPool(addr)
	_, _, err := send(p, "a")
	require.NoError(t, err)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	for range 50 {
		_, err = p.Send(ctx, &Request{Method: "GET", Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") }, IDHeader: idHeader, ID: "a"}, time.Now().Add(time.Second))
		assert.ErrorIs(t, err, ErrNotSent)
	}
	time.Sleep(20 * time.Millisecond)
	assert.EqualValues(t, 1, requests.Load())
	assert.Len(t, p.idle, 1, "its connection is kept")
}

func TestRequestIsNotSentAfterItsTime(t *testing.T) {
	addr, requests := received(t)
	p := NewPool(addr)
	r := &Request{Method: "GET", Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") }, SendBy: time.Now().Add(-time.Millisecond), IDHeader: idHeader, ID: "a"}
	_, err := p.Send(t.Context(), r, time.Now().Add(time.Second))
	assert.ErrorIs(t, err, ErrTooLate)
	assert.ErrorIs(t, err, ErrNotSent)
	time.Sleep(20 * time.Millisecond)
	assert.Zero(t, requests.Load())
}

// Guards against a deadline in the head that counts from before the connect.
func TestRequestIsEncodedOnceConnected(t *testing.T) {
	addr, _ := received(t)
	p := NewPool(addr)
	dials := int64(-1)
	r := &Request{Method: "GET", IDHeader: idHeader, ID: "a", Encode: func() []byte {
		dials = p.Dials.Load()
		return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}}
	a, err := p.Send(t.Context(), r, time.Now().Add(time.Second))
	require.NoError(t, err)
	a.Close()
	assert.EqualValues(t, 1, dials)
}
