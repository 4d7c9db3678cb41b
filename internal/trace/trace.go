// Package trace is the format of recorded requests, and a seeded generator of
// traces for the two deployments at their sizes of today.
//
// A trace is a file of JSON lines, one Request each, sorted by offset. The
// package keeps no state.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"lynxgate.dev/lynxgate/internal/standin/tokens"
)

// maxLine bounds one line of a trace, in bytes.
const maxLine = 8 << 20

// Expectation is the outcome that a request must have.
type Expectation string

// The expectations.
const (
	// AnsweredWhole: the whole answer, nothing less.
	AnsweredWhole Expectation = "answered-whole"
	// AnsweredWholeOrNotRun: the whole answer, or told that it did not run.
	AnsweredWholeOrNotRun Expectation = "answered-whole-or-not-run"
	// AnsweredWholeOrTold: the whole answer, or an explicit error. An answer
	// that just breaks off is not enough.
	AnsweredWholeOrTold Expectation = "answered-whole-or-told"
	// AtMostOnce: any outcome that is true, and at most one run.
	AtMostOnce Expectation = "at-most-once"
)

// valid reports whether the expectation is a known one.
func (e Expectation) valid() bool {
	switch e {
	case AnsweredWhole, AnsweredWholeOrNotRun, AnsweredWholeOrTold, AtMostOnce:
		return true
	}
	return false
}

// Paths of model services; any other path is that of a plain service.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

// Request is one recorded request.
type Request struct {
	ID string `json:"id"`
	// OffsetMS is the time of the request since the start of the trace.
	OffsetMS     int64  `json:"offset_ms"`
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Method       string `json:"method"`
	Path         string `json:"path"`
	// Priority is sent to the system when it is set; 0 is most urgent.
	Priority *int `json:"priority,omitempty"`
	// Prompt, MaxTokens and Stream belong to requests for model services.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
	// Body is sent as it is to plain services.
	Body           string `json:"body,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// DeadlineMS is how long the caller waits, in milliseconds; 0 means no limit.
	DeadlineMS int64       `json:"deadline_ms,omitempty"`
	Expect     Expectation `json:"expect"`
}

// ForModel reports whether the request goes to a model service.
func (r Request) ForModel() bool { return r.Path == PathChat || r.Path == PathCompletion }

// modelBody is the part of the OpenAI request that traces use.
type modelBody struct {
	Model     string           `json:"model"`
	Messages  []tokens.Message `json:"messages,omitempty"`
	Prompt    string           `json:"prompt,omitempty"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream,omitempty"`
}

// Payload returns the HTTP body of the request. The field model of requests
// for model services names the service.
func (r Request) Payload() []byte {
	if !r.ForModel() {
		return []byte(r.Body)
	}
	body := modelBody{Model: r.Service, MaxTokens: r.MaxTokens, Stream: r.Stream}
	if r.Path == PathChat {
		body.Messages = r.messages()
	} else {
		body.Prompt = r.Prompt
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Errorf("encode request %s: %w", r.ID, err))
	}
	return encoded
}

// EnginePrompt returns the prompt as the fake engine sees it.
func (r Request) EnginePrompt() string {
	if r.Path == PathChat {
		return tokens.ChatPrompt(r.messages())
	}
	return r.Prompt
}

func (r Request) messages() []tokens.Message {
	return []tokens.Message{{Role: "user", Content: r.Prompt}}
}

// validate names what is wrong with the request.
func (r Request) validate() error {
	switch {
	case r.ID == "" || r.Organisation == "" || r.Service == "" || r.Method == "":
		return errors.New("id, organisation, service and method are needed")
	case !strings.HasPrefix(r.Path, "/"):
		return fmt.Errorf("path %q does not begin with /", r.Path)
	case r.ForModel() && (r.Prompt == "" || r.MaxTokens < 1):
		return errors.New("requests for models need prompt and max_tokens")
	case r.OffsetMS < 0 || r.DeadlineMS < 0:
		return errors.New("offset_ms and deadline_ms must not be negative")
	case !r.Expect.valid():
		return fmt.Errorf("unknown expectation %q", r.Expect)
	case r.Expect == AtMostOnce && r.IdempotencyKey == "":
		return errors.New("at-most-once needs an idempotency_key")
	}
	return nil
}

// Read reads a trace. Errors name the line.
func Read(from io.Reader) ([]Request, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	var requests []Request
	for number := 1; lines.Scan(); number++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		request, err := parse(lines.Bytes())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		requests = append(requests, request)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return requests, nil
}

func parse(line []byte) (Request, error) {
	var request Request
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, err
	}
	return request, request.validate()
}

// Write writes a trace.
func Write(to io.Writer, requests []Request) error {
	encoder := json.NewEncoder(to)
	for _, request := range requests {
		if err := encoder.Encode(request); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}
