// Package trace defines the format of recorded requests, and a seeded generator of
// traces for the two deployments at their current sizes.
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

// maxLine is the maximum length of a line of a trace, in bytes.
const maxLine = 8 << 20

// Expectation is the outcome that a request must have.
type Expectation string

// The expectations.
const (
	// AnsweredWhole requires the complete answer.
	AnsweredWhole Expectation = "answered-whole"
	// AnsweredWholeOrNotRun requires the complete answer, or an error that says that
	// the request did not run.
	AnsweredWholeOrNotRun Expectation = "answered-whole-or-not-run"
	// AnsweredWholeOrTold requires the complete answer or an explicit error. A
	// truncated answer without an error does not meet it.
	AnsweredWholeOrTold Expectation = "answered-whole-or-told"
	// AtMostOnce allows any outcome that is reported correctly, with at most one run.
	AtMostOnce Expectation = "at-most-once"
)

// valid reports whether the expectation is known.
func (e Expectation) valid() bool {
	switch e {
	case AnsweredWhole, AnsweredWholeOrNotRun, AnsweredWholeOrTold, AtMostOnce:
		return true
	}
	return false
}

// Paths of model services; any other path belongs to a plain service.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

// Request is one recorded request.
type Request struct {
	ID string `json:"id"`
	// OffsetMS is the time since the start of the trace, in milliseconds.
	OffsetMS     int64  `json:"offset_ms"`
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Method       string `json:"method"`
	Path         string `json:"path"`
	// Priority is sent with the request if it is set; 0 is the most urgent.
	Priority *int `json:"priority,omitempty"`
	// Prompt, MaxTokens and Stream are used only by requests for model services.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
	// Body is sent unchanged to plain services.
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

// EnginePrompt returns the prompt as the fake engine receives it.
func (r Request) EnginePrompt() string {
	if r.Path == PathChat {
		return tokens.ChatPrompt(r.messages())
	}
	return r.Prompt
}

func (r Request) messages() []tokens.Message {
	return []tokens.Message{{Role: "user", Content: r.Prompt}}
}

// validate returns the first problem found in the request.
func (r Request) validate() error {
	switch {
	case r.ID == "" || r.Organisation == "" || r.Service == "" || r.Method == "":
		return errors.New("id, organisation, service and method are required")
	case !strings.HasPrefix(r.Path, "/"):
		return fmt.Errorf("path %q does not begin with /", r.Path)
	case r.ForModel() && (r.Prompt == "" || r.MaxTokens < 1):
		return errors.New("requests for model services require prompt and max_tokens")
	case r.OffsetMS < 0 || r.DeadlineMS < 0:
		return errors.New("offset_ms and deadline_ms must not be negative")
	case !r.Expect.valid():
		return fmt.Errorf("unknown expectation %q", r.Expect)
	case r.Expect == AtMostOnce && r.IdempotencyKey == "":
		return errors.New("at-most-once requires an idempotency_key")
	}
	return nil
}

// Read reads a trace. Its errors contain the line number.
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

// Write writes a trace as JSON lines.
func Write(to io.Writer, requests []Request) error {
	encoder := json.NewEncoder(to)
	for _, request := range requests {
		if err := encoder.Encode(request); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}
