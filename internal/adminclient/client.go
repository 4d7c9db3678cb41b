// Package adminclient calls the operators' API of the control servers. A
// request is sent to one server after another until one gives a definite
// answer. A change keeps its operation id, so that it is carried out at most
// once however often it is sent.
//
// The only state of a Client is the order in which it tries the addresses. It
// is not safe for concurrent use.
package adminclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/pause"
)

// Defaults of Config.
const (
	// DefaultAttemptTimeout is short to fail over quickly from a hung server;
	// resending to another one is safe.
	DefaultAttemptTimeout = 5 * time.Second
	DefaultPatience       = 30 * time.Second
	// retryPause is the pause between two rounds over the addresses.
	retryPause = 500 * time.Millisecond
	// maxAnswerBytes bounds the body of a response; the configuration at the
	// target size is well below it.
	maxAnswerBytes = 256 << 20
)

// Config of a client.
type Config struct {
	// Addrs of the operators' APIs: IP:port, or a URL such as https://10.1.0.11:7180.
	Addrs []string
	// Key of the operator.
	Key string
	// CAFile is a PEM file of CA certificates to trust in addition to the system's.
	CAFile string
	// AttemptTimeout bounds each attempt.
	AttemptTimeout time.Duration
	// Patience is how long to start new attempts without a definite answer. It
	// does not cancel an attempt in progress: a server without a quorum takes some
	// seconds to refuse, and cancelling would leave the result unknown.
	Patience time.Duration
	// Pause waits between rounds; nil means to sleep. Tests replace it.
	Pause func(context.Context, time.Duration)
}

// Client calls the operators' API.
type Client struct {
	cfg  Config
	http *http.Client
	// bases are the URLs of the servers, in the order to try them.
	bases []string
}

// New returns a client. It does not connect to a server yet.
func New(cfg Config) (*Client, error) {
	if len(cfg.Addrs) == 0 {
		return nil, errors.New("no address of a control server is given")
	}
	setDefaults(&cfg)
	transport, err := newTransport(cfg.CAFile)
	if err != nil {
		return nil, err
	}
	c := &Client{cfg: cfg, http: &http.Client{Transport: transport}}
	for _, addr := range cfg.Addrs {
		base, err := baseURL(addr)
		if err != nil {
			return nil, err
		}
		c.bases = append(c.bases, base)
	}
	return c, nil
}

func setDefaults(cfg *Config) {
	if cfg.AttemptTimeout == 0 {
		cfg.AttemptTimeout = DefaultAttemptTimeout
	}
	if cfg.Patience == 0 {
		cfg.Patience = DefaultPatience
	}
	if cfg.Pause == nil {
		cfg.Pause = func(ctx context.Context, d time.Duration) { pause.For(ctx, d) }
	}
}

func newTransport(caFile string) (*http.Transport, error) {
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12}}
	if caFile == "" {
		return transport, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read CA file: %w", err)
	}
	pool, err := x509.SystemCertPool()
	if err != nil {
		pool = x509.NewCertPool()
	}
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA file %s holds no certificate", caFile)
	}
	transport.TLSClientConfig.RootCAs = pool
	return transport, nil
}

func baseURL(addr string) (string, error) {
	scheme, host, found := strings.Cut(addr, "://")
	if !found {
		scheme, host = "http", addr
	}
	host = strings.TrimSuffix(host, "/")
	if _, err := netip.ParseAddrPort(host); err != nil || (scheme != "http" && scheme != "https") {
		return "", fmt.Errorf("%q is not the address of a control server; allowed: IP:port or https://IP:port", addr)
	}
	return scheme + "://" + host, nil
}

// call is one request to the API, which may take several attempts.
type call struct {
	method string
	path   string
	body   []byte
	// operationID of a change; sent in a header.
	operationID string
	// changes is true when the request may change something on the server.
	changes bool
}

// attempt is the result of sending a call to one server once.
type attempt struct {
	// status is 0 when no complete response with a status of HTTP's was received.
	status int
	body   []byte
	// mayHaveRun is true when the server may have carried out the call although
	// the client has no definite answer.
	mayHaveRun bool
	err        error
}

// do sends the call until a server gives a definite answer, and decodes a
// successful one into reply.
func (c *Client) do(ctx context.Context, call call, reply any) error {
	patience, cancel := context.WithTimeout(ctx, c.cfg.Patience)
	defer cancel()
	var last error
	mayHaveRun := false
	for {
		for range len(c.bases) {
			answer := c.send(ctx, call)
			mayHaveRun = mayHaveRun || answer.mayHaveRun
			if answer.definite(mayHaveRun) {
				return decodeAnswer(answer, reply)
			}
			last = answer.err
			if patience.Err() != nil {
				return noDefiniteAnswer(call, mayHaveRun, last)
			}
			c.tryNext(answer)
		}
		c.cfg.Pause(patience, retryPause)
		if patience.Err() != nil {
			return noDefiniteAnswer(call, mayHaveRun, last)
		}
	}
}

// definite reports whether the answer decides the result of the call. If an
// earlier attempt may have been carried out, only answers that take the
// operation id into account do.
func (a attempt) definite(mayHaveRun bool) bool {
	switch a.status {
	case 0, http.StatusMisdirectedRequest, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	case http.StatusOK, http.StatusConflict, http.StatusUnprocessableEntity:
		return true
	default:
		return !mayHaveRun
	}
}

func (c *Client) send(ctx context.Context, call call) attempt {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, c.bases[0]+call.path, bytes.NewReader(call.body))
	if err != nil {
		return attempt{err: fmt.Errorf("make request: %w", err)}
	}
	request.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	if len(call.body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	if call.operationID != "" {
		request.Header.Set(admin.HeaderOperationID, call.operationID)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return attempt{mayHaveRun: call.changes && !failedToConnect(err), err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return attempt{mayHaveRun: call.changes, err: fmt.Errorf("%s: read answer: %w", c.bases[0], err)}
	}
	if !headlimit.IsFinal(response.StatusCode) {
		return attempt{mayHaveRun: call.changes, err: fmt.Errorf("%s: %w: %d", c.bases[0], headlimit.ErrInvalidStatus, response.StatusCode)}
	}
	answer := attempt{status: response.StatusCode, body: body}
	if response.StatusCode != http.StatusOK {
		answer.err = &APIError{Status: response.StatusCode, Server: c.bases[0], Body: errorBody(body)}
		answer.mayHaveRun = call.changes && unknownStatus(response.StatusCode)
	}
	return answer
}

// failedToConnect reports whether no connection was made, so that the request
// was not sent.
func failedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// unknownStatus reports whether a request answered with the status may have
// been carried out.
func unknownStatus(status int) bool {
	return status == http.StatusGatewayTimeout || status == http.StatusBadGateway || status == http.StatusInternalServerError
}

// tryNext puts the leader first if the answer names it, else the next address.
func (c *Client) tryNext(answer attempt) {
	first := c.bases[0]
	c.bases = append(c.bases[1:], first)
	var refused *APIError
	if !errors.As(answer.err, &refused) || refused.Body.LeaderAdminAddr == "" {
		return
	}
	scheme, _, _ := strings.Cut(first, "://")
	c.tryFirst(scheme + "://" + refused.Body.LeaderAdminAddr)
}

// tryFirst puts the server first in the order, adding it if it is new.
func (c *Client) tryFirst(base string) {
	bases := []string{base}
	for _, other := range c.bases {
		if other != base {
			bases = append(bases, other)
		}
	}
	c.bases = bases
}

func decodeAnswer(answer attempt, reply any) error {
	if answer.err != nil {
		return answer.err
	}
	if err := json.Unmarshal(answer.body, reply); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

func errorBody(body []byte) admin.ErrorBody {
	var parsed admin.ErrorBody
	if err := json.Unmarshal(body, &parsed); err != nil || parsed.Error == "" {
		parsed.Error = strings.TrimSpace(string(body))
	}
	return parsed
}
