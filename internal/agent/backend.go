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

	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Headers between the agent and the backend server.
const (
	headerRequestID     = "X-Request-Id"
	headerPriority      = "X-Priority"
	headerOrganisation  = "X-Organisation"
	headerWeightsDigest = "X-Weights-Digest"
)

// backend is the HTTP client of the agent's backend server. It prevents
// net/http from retrying by itself: when a reused connection breaks, net/http
// repeats a GET or a request with an Idempotency-Key unless its body cannot be
// rewound. Each request to a plain service uses a new connection, because a
// connection that the server closes while idle would leave the outcome of the
// next request unknown.
type backend struct {
	base   string
	client *http.Client
}

const (
	// idleConns is the maximum number of idle connections to an engine; each
	// is closed after idleConnTimeout.
	idleConns       = 64
	idleConnTimeout = 30 * time.Second
	// dialTimeout limits dialling the backend server, which runs on the same
	// machine.
	dialTimeout = time.Second
)

func newBackend(addr string, plain bool) *backend {
	transport := &http.Transport{
		DialContext:         headlimit.Checked((&net.Dialer{}).DialContext, headlimit.Fields{headerRequestID, headerWeightsDigest}),
		DisableKeepAlives:   plain,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: headlimit.MaxBytes,
	}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &backend{base: "http://" + addr, client: client}
}

// reachable reports whether the backend server accepts connections.
func (b *backend) reachable(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", strings.TrimPrefix(b.base, "http://"))
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// do sends the request. It returns a *notSentError if the backend server
// cannot have received the request; after any other error it may have.
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

// onceReader hides the type of a body from net/http, which would otherwise
// detect that the body is empty or can be rewound.
type onceReader struct{ io.Reader }

// notSentError reports that a request was not sent to the backend server.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "not sent: " + e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// withheldHeaders are the response headers that are not forwarded.
var withheldHeaders = map[string]bool{
	// The entry's response to the caller has its own Date.
	"Date": true,
	// The entry sets the request ID in its response to the caller.
	headerRequestID: true,
}
