package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Headers between the agent and the backend server.
const (
	headerRequestID     = "X-Request-Id"
	headerPriority      = "X-Priority"
	headerOrganisation  = "X-Organisation"
	headerWeightsDigest = "X-Weights-Digest"
)

// backend is the HTTP client of the backend server beside the agent. Calls
// are never repeated by the transport: net/http repeats a call with an
// Idempotency-Key, or a GET, when a reused connection breaks, unless its body
// can't be rewound. A plain service also gets a connection of its own per
// call, so that one closed while idle makes no call unknown.
type backend struct {
	base   string
	client *http.Client
}

const (
	// idleConns is how many unused connections to an engine are kept, each for
	// idleConnTimeout; not measured.
	idleConns       = 64
	idleConnTimeout = 30 * time.Second
	// reachTimeout bounds the try to connect to a backend server, which is on the own
	// machine.
	reachTimeout = time.Second
)

func newBackend(addr string, plain bool) *backend {
	transport := &http.Transport{
		DisableKeepAlives:   plain,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &backend{base: "http://" + addr, client: client}
}

// reachable reports whether the backend server accepts connections.
func (b *backend) reachable(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: reachTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", strings.TrimPrefix(b.base, "http://"))
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// do sends the request. A *notSentError says that the backend server cannot
// have seen it; any other error leaves that open.
func (b *backend) do(ctx context.Context, in *rpc.RunRequest) (*http.Response, error) {
	req, err := b.request(ctx, in)
	if err != nil {
		return nil, &notSentError{err}
	}
	resp, err := b.client.Do(req)
	if err == nil {
		return resp, nil
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, &notSentError{err}
	}
	return nil, err
}

func (b *backend) request(ctx context.Context, in *rpc.RunRequest) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, in.Method, b.base+in.Path, onceReader{bytes.NewReader(in.Body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(in.Body))
	for _, h := range in.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(headerRequestID, in.RequestId)
	req.Header.Set(headerOrganisation, in.Organisation)
	req.Header.Set(headerPriority, strconv.Itoa(int(in.Priority)))
	return req, nil
}

// onceReader hides that a body could be rewound, or is empty.
type onceReader struct{ io.Reader }

// notSentError says that a request never left the agent.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "not sent: " + e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// withheldHeaders of a backend server's answer are not passed on.
var withheldHeaders = map[string]bool{
	// The entry's own answer has a date.
	"Date": true,
	// The entry gives the caller the request's own id.
	headerRequestID: true,
}
