// Package origin reads manifests and chunks from the origin of weights or from
// a weight store over HTTP with Range requests.
//
// A response of 429 or 503 is returned as *Limited with the time to wait, so that
// callers can tell it from a failure. The only state is idle HTTP connections.
package origin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/headlimit"
	"lynxgate.dev/lynxgate/internal/weights/manifest"
)

const (
	// defaultRetryAfter applies if a 429 or 503 has no valid Retry-After.
	defaultRetryAfter = time.Second
	maxRetryAfter     = time.Minute
	// readBlockBytes is the most that is read of a body per call of pace, in bytes.
	readBlockBytes = 16 << 10

	dialTimeout     = 2 * time.Second
	headerTimeout   = 10 * time.Second
	idleConnections = 8
)

// ErrShort means that the body is shorter or longer than the requested range.
var ErrShort = errors.New("length of the origin's body differs from the requested range")

// Limited means that the origin refused the request with 429 or 503.
type Limited struct {
	RetryAfter time.Duration
}

// Error implements error.
func (l *Limited) Error() string {
	return fmt.Sprintf("rate limited, retry after %s", l.RetryAfter)
}

// StatusError means a response with any other unexpected status.
type StatusError struct {
	Code int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("origin answered %d", e.Code) }

// Client reads from origins and weight stores.
type Client struct {
	http *http.Client
	// pace is called before each block of a body is read and may delay it.
	pace func(ctx context.Context, bytes int) error
}

// New returns a client. A nil httpClient means one with default timeouts, a nil
// pace no pacing.
func New(httpClient *http.Client, pace func(ctx context.Context, bytes int) error) *Client {
	if httpClient == nil {
		httpClient = newHTTPClient()
	}
	if pace == nil {
		pace = func(ctx context.Context, _ int) error { return ctx.Err() }
	}
	return &Client{http: httpClient, pace: pace}
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:           headlimit.Checked(dialer.DialContext, nil),
		MaxIdleConnsPerHost:   idleConnections,
		ResponseHeaderTimeout: headerTimeout,
		DisableCompression:    true,

		MaxResponseHeaderBytes: headlimit.MaxBytes,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Manifest reads the manifest file of a model version.
func (c *Client) Manifest(ctx context.Context, base, model, version string) ([]byte, error) {
	resp, err := c.get(ctx, address(base, model, version, "manifest.json"), "")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Code: resp.StatusCode}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, manifest.MaxEncodedSize+1))
	if err != nil {
		return nil, fmt.Errorf("read manifest: %w", err)
	}
	return data, nil
}

// Range reads len(p) bytes at offset of the weights file into p. It calls
// progress, if not nil, after each block with the number of bytes read.
func (c *Client) Range(ctx context.Context, base, model, version string, p []byte, offset int64, progress func(int)) error {
	span := fmt.Sprintf("bytes=%d-%d", offset, offset+int64(len(p))-1)
	resp, err := c.get(ctx, address(base, model, version, "weights"), span)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusPartialContent {
		return &StatusError{Code: resp.StatusCode}
	}
	return c.readBody(ctx, resp.Body, p, progress)
}

func (c *Client) readBody(ctx context.Context, body io.Reader, p []byte, progress func(int)) error {
	for len(p) > 0 {
		n := min(readBlockBytes, len(p))
		if err := c.pace(ctx, n); err != nil {
			return err
		}
		if _, err := io.ReadFull(body, p[:n]); err != nil {
			return fmt.Errorf("%w: %w", ErrShort, err)
		}
		if progress != nil {
			progress(n)
		}
		p = p[n:]
	}
	if n, _ := io.CopyN(io.Discard, body, 1); n > 0 {
		return ErrShort
	}
	return nil
}

func (c *Client) get(ctx context.Context, target, span string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("origin request: %w", err)
	}
	if span != "" {
		req.Header.Set("Range", span)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("origin request: %w", err)
	}
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		retryAfter := parseRetryAfter(resp.Header.Get("Retry-After"))
		resp.Body.Close()
		return nil, &Limited{RetryAfter: retryAfter}
	}
	return resp, nil
}

func address(base, model, version, file string) string {
	return strings.TrimSuffix(base, "/") + "/" + url.PathEscape(model) + "/" + url.PathEscape(version) + "/" + file
}

// parseRetryAfter parses the header's seconds form. The date form would depend on
// synchronised clocks, so it gives the default.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
