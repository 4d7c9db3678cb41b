// Package replay sends recorded requests to a running system and checks each
// answer against the outcome that the trace states.
//
// Requests leave at their recorded offsets, whatever became of earlier ones
// (open loop). The answers must come from the fakes of internal/standin: only
// there is the right answer known.
package replay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/pause"
	"lynxgate.dev/lynxgate/internal/trace"
)

const (
	// DefaultDeadlineHeader tells the system how long the caller waits, in
	// milliseconds.
	DefaultDeadlineHeader = "X-Deadline-Ms"
	// DefaultGrace is how long past the deadline a caller holds on.
	DefaultGrace = 5 * time.Second
	// idleConnections kept per target.
	idleConnections = 1024
)

// Config of a replay.
type Config struct {
	// Targets are base URLs of entries, taken in turn.
	Targets []string
	// Keys are API keys by organisation. An organisation without one sends none.
	Keys map[string]string
	// Speed divides the recorded offsets; 0 means 1.
	Speed float64
	// Digests of the weights that may answer, by service. A service that is
	// not listed may answer with any one set of weights.
	Digests map[string][]string
	// DeadlineHeader is DefaultDeadlineHeader unless set.
	DeadlineHeader string
	// Grace is DefaultGrace unless set.
	Grace time.Duration
	// Client is used if not nil, otherwise one from NewClient.
	Client *http.Client
}

func (cfg Config) withDefaults() Config {
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	if cfg.DeadlineHeader == "" {
		cfg.DeadlineHeader = DefaultDeadlineHeader
	}
	if cfg.Grace <= 0 {
		cfg.Grace = DefaultGrace
	}
	return cfg
}

// NewClient returns a client that keeps many connections to each target.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}}
}

// Run replays the requests, which are sorted by offset, and returns when the
// last has ended. When the context ends no more are sent, and those in
// progress are cut.
func Run(ctx context.Context, cfg Config, requests []trace.Request) (*Report, error) {
	if len(cfg.Targets) == 0 {
		return nil, errors.New("replay: no targets")
	}
	cfg = cfg.withDefaults()
	if cfg.Client == nil {
		cfg.Client = NewClient()
		defer cfg.Client.CloseIdleConnections()
	}
	start := time.Now()
	results := make([]Result, len(requests))
	var inProgress sync.WaitGroup
	for i, request := range requests {
		results[i] = Result{Request: request, ID: request.ID}
		due := start.Add(time.Duration(float64(request.OffsetMS) / cfg.Speed * float64(time.Millisecond)))
		if !pause.For(ctx, time.Until(due)) {
			continue
		}
		target := cfg.Targets[i%len(cfg.Targets)]
		inProgress.Go(func() { cfg.send(ctx, target, due, &results[i]) })
	}
	inProgress.Wait()
	return newReport(results), nil
}

// send sends one request and fills its result.
func (cfg Config) send(ctx context.Context, target string, due time.Time, result *Result) {
	request := result.Request
	deadline := time.Duration(request.DeadlineMS) * time.Millisecond
	if deadline > 0 {
		limited, cancel := context.WithTimeout(ctx, deadline+cfg.Grace)
		defer cancel()
		ctx = limited
	}
	defer func() {
		result.Total = time.Since(due)
		result.Late = deadline > 0 && result.Total > deadline
	}()
	httpRequest, err := cfg.httpRequest(ctx, target, request)
	if err != nil {
		result.Outcome, result.Detail = NotRun, err.Error()
		return
	}
	response, err := cfg.Client.Do(httpRequest)
	if err != nil {
		result.Outcome, result.Detail = outcomeOfFailure(err), err.Error()
		return
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	reader := &answerReader{cfg: cfg, due: due, result: result, header: response.Header}
	reader.read(response.Body)
}

// outcomeOfFailure tells a request that never left from one that may have run.
func outcomeOfFailure(err error) Outcome {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return NotRun
	}
	return Unknown
}

// onceReader hides that the body could be rewound. Otherwise net/http would
// itself repeat requests that have an Idempotency-Key.
type onceReader struct{ io.Reader }

// httpRequest makes the request as callers do.
func (cfg Config) httpRequest(ctx context.Context, target string, request trace.Request) (*http.Request, error) {
	payload := request.Payload()
	body := onceReader{bytes.NewReader(payload)}
	r, err := http.NewRequestWithContext(ctx, request.Method, target+request.Path, body)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	r.ContentLength = int64(len(payload))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", request.ID)
	if key := cfg.Keys[request.Organisation]; key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if request.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	if request.Priority != nil {
		r.Header.Set("X-Priority", strconv.Itoa(*request.Priority))
	}
	if request.DeadlineMS > 0 {
		r.Header.Set(cfg.DeadlineHeader, strconv.FormatInt(request.DeadlineMS, 10))
	}
	return r, nil
}
