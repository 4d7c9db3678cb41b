// Package engine is a client for the HTTP API of a model engine: load and
// unload orders, the engine's state and its cache events. The client is
// stateless; the agent decides which orders to give.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"lynxgate.dev/lynxgate/internal/headlimit"
)

// Values of State.State.
const (
	StateEmpty   = "empty"
	StateLoading = "loading"
	StateLive    = "live"
)

// maxAnswerBytes limits how much of an engine's response body is read.
const maxAnswerBytes = 1 << 20

// State is the state that an engine reports. Load lags behind the actual load.
type State struct {
	State       string  `json:"state"`
	Model       string  `json:"model"`
	Version     string  `json:"version"`
	Digest      string  `json:"digest"`
	Role        string  `json:"role"`
	Running     int     `json:"running"`
	Queued      int     `json:"queued"`
	Load        float64 `json:"load"`
	Concurrency int     `json:"concurrency"`
	Fence       uint64  `json:"fence"`
}

// LoadOrder asks the engine to load the weights file at Path in place of the
// weights that it serves now.
type LoadOrder struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Path    string `json:"path"`
	Fence   uint64 `json:"fence"`
}

// CacheEvent reports that a prompt prefix was cached or evicted.
type CacheEvent struct {
	Seq        uint64 `json:"seq"`
	PrefixHash uint64 `json:"prefix_hash"`
	Evicted    bool   `json:"evicted"`
}

// StaleFenceError is returned when the engine refuses an order because its
// fencing token is stale.
type StaleFenceError struct {
	Ordered, Current uint64
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("engine refused fencing token %d, its current token is %d", e.Ordered, e.Current)
}

// StatusError is returned for any other response status than 200.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered %d: %s", e.Status, e.Message)
}

// Client sends requests to one engine on a loopback address.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the engine at addr ("ip:port").
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: &http.Transport{
		DialContext: headlimit.Checked((&net.Dialer{}).DialContext, nil), MaxResponseHeaderBytes: headlimit.MaxBytes,
	}}}
}

// State returns the state that the engine reports.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.get(ctx, "/engine/state", &s)
	return s, err
}

// CacheEvents returns the cache events with a sequence number above since that
// the engine still keeps.
func (c *Client) CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error) {
	var answer struct {
		Events []CacheEvent `json:"events"`
	}
	path := "/engine/cache_events?since=" + strconv.FormatUint(since, 10)
	err := c.get(ctx, path, &answer)
	return answer.Events, err
}

// Load orders the engine to load weights and waits for its response.
func (c *Client) Load(ctx context.Context, order LoadOrder) error {
	return c.order(ctx, "/engine/load", order, order.Fence)
}

// Unload orders the engine to unload its weights.
func (c *Client) Unload(ctx context.Context, fence uint64) error {
	body := struct {
		Fence uint64 `json:"fence"`
	}{fence}
	return c.order(ctx, "/engine/unload", body, fence)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return fmt.Errorf("engine request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("engine %s: %w", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Message: path}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into); err != nil {
		return fmt.Errorf("engine %s: decode answer: %w", path, err)
	}
	return nil
}

func (c *Client) order(ctx context.Context, path string, order any, fence uint64) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("engine order: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("engine %s: %w", path, err)
	}
	defer resp.Body.Close()
	return orderResult(resp, fence)
}

func orderResult(resp *http.Response, fence uint64) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	var refusal struct {
		Error string `json:"error"`
		Fence uint64 `json:"fence"`
	}
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err := json.Unmarshal(data, &refusal); err != nil {
		refusal.Error = string(data)
	}
	if resp.StatusCode == http.StatusConflict {
		return &StaleFenceError{Ordered: fence, Current: refusal.Fence}
	}
	return &StatusError{Status: resp.StatusCode, Message: refusal.Error}
}
