package entry

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lynxgate.dev/lynxgate/internal/claims"
	"lynxgate.dev/lynxgate/internal/engine"
	"lynxgate.dev/lynxgate/internal/headers"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/outcome"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Headers that callers use.
const (
	// HeaderIdempotencyKey names a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is how long the caller waits for the answer, in
	// milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderRequestID is returned with the answer; the entry generates an id if
	// the caller sends none.
	HeaderRequestID = "X-Request-Id"
)

const (
	// maxNameBytes bounds a request's id and its idempotency key.
	maxNameBytes = 255
	// maxDeadline bounds the deadline of a request.
	maxDeadline = time.Hour
	// prefixBytes is how much of a prompt is hashed to find a backend server
	// that may have it cached, if the prompt has no complete block.
	prefixBytes = 256

	servicesPrefix = "/services/"
)

// call is a caller's request, validated and resolved against the configuration.
type call struct {
	id           string
	organisation inventory.Organisation
	service      inventory.Service
	rule         inventory.PathRule
	method       string
	path         string
	headers      []*rpc.Header
	body         []byte
	priority     int
	key          string
	deadline     time.Time
	stream       bool
	prefixHash   uint64
	// tokens is the caller's bound on generated tokens, 0 if none was given.
	tokens int
}

// idempotent reports whether the call may be retried after an unknown outcome.
// Completions may: they have no effect other than their answer.
func (c *call) idempotent() bool {
	if c.rule.AtMostOnce {
		return false
	}
	return c.rule.Idempotent || c.service.Kind == inventory.KindModel
}

// unstreamed reports whether the call is a completion that is not streamed. Its
// answer begins only when it is complete, so the time to its first byte does
// not measure the latency of the backend server.
func (c *call) unstreamed() bool {
	return c.service.Kind == inventory.KindModel && !c.stream
}

// refusal is the error for a request that is refused before any dispatch.
type refusal struct{ outcome outcome.Outcome }

func (e *refusal) Error() string { return e.outcome.String() }

func refuse(reason outcome.Reason, format string, args ...any) error {
	return &refusal{outcome.NewNotRun(reason, fmt.Sprintf(format, args...), 0)}
}

// resolve validates a request against the configuration in force.
func (e *Entry) resolve(r *http.Request) (*call, error) {
	cat := e.catalog.Load()
	c := &call{id: requestID(r), method: r.Method}
	if err := c.authenticate(cat, r); err != nil {
		return nil, err
	}
	if err := c.readBody(r, e.cfg.MaxBodyBytes); err != nil {
		return nil, err
	}
	if err := c.findService(cat, r); err != nil {
		return nil, err
	}
	c.rule = pathRule(c.service, c.path)
	c.priority = c.service.Priority
	if c.rule.Priority != nil {
		c.priority = *c.rule.Priority
	}
	if err := c.readKey(r); err != nil {
		return nil, err
	}
	if err := c.readDeadline(r, min(e.cfg.DefaultDeadline, c.maxDeadline())); err != nil {
		return nil, err
	}
	c.headers = headers.EndToEnd(r.Header, withheldHeaders)
	return c, nil
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" && len(id) <= maxNameBytes {
		return id
	}
	return rand.Text()
}

func (c *call) authenticate(cat *catalog, r *http.Request) error {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return refuse(outcome.Unauthorized, "header Authorization: a Bearer key is needed")
	}
	org, ok := cat.organisation(key)
	if !ok {
		return refuse(outcome.Unauthorized, "header Authorization: no organisation has this key")
	}
	c.organisation = org
	return nil
}

func (c *call) readBody(r *http.Request, limit int64) error {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(outcome.BodyTooLarge, "the body is over the limit of %d bytes", limit)
	}
	if err != nil {
		return refuse(outcome.InvalidRequest, "the body could not be read: %v", err)
	}
	c.body = body
	return nil
}

func (c *call) findService(cat *catalog, r *http.Request) error {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), servicesPrefix)
	if ok {
		return c.findPlain(cat, r, rest)
	}
	return c.findModel(cat, r)
}

func (c *call) findPlain(cat *catalog, r *http.Request, rest string) error {
	name, path, _ := strings.Cut(rest, "/")
	service, ok := cat.services[name]
	if !ok {
		return refuse(outcome.NotFound, "path: there is no service %q", name)
	}
	c.service = service
	c.path = "/" + path
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	return nil
}

func (c *call) findModel(cat *catalog, r *http.Request) error {
	var completion struct {
		Model     string          `json:"model"`
		Stream    bool            `json:"stream"`
		MaxTokens int             `json:"max_tokens"`
		Prompt    json.RawMessage `json:"prompt"`
		Messages  json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(c.body, &completion); err != nil {
		return refuse(outcome.InvalidRequest, "body: %v", err)
	}
	service, ok := cat.modelService(completion.Model)
	if !ok {
		return refuse(outcome.NotFound, "body: field model: there is no model or model service %q", completion.Model)
	}
	if completion.MaxTokens < 0 {
		return refuse(outcome.InvalidRequest, "body: field max_tokens: must not be negative")
	}
	c.service = service
	c.path = r.URL.EscapedPath()
	c.stream = completion.Stream
	c.tokens = completion.MaxTokens
	c.prefixHash = prefixHash(completion.Messages, completion.Prompt)
	return nil
}

// prefixHash identifies the prompt's prefix as engines do in their cache events.
// For a prompt without a complete block, or in another format, it hashes the
// first prefixBytes.
func prefixHash(messages, prompt json.RawMessage) uint64 {
	if hash := engine.PrefixHash(promptText(messages, prompt)); hash != 0 {
		return hash
	}
	text := messages
	if len(text) == 0 {
		text = prompt
	}
	h := fnv.New64a()
	h.Write(text[:min(len(text), prefixBytes)])
	return h.Sum64()
}

// promptText returns the prompt of a request as engines read it, or "" if it is
// neither a list of text messages nor a single text.
func promptText(messages, prompt json.RawMessage) string {
	var text string
	var chat []engine.Message
	switch {
	case len(messages) > 0 && json.Unmarshal(messages, &chat) == nil:
		return engine.ChatPrompt(chat)
	case json.Unmarshal(prompt, &text) == nil:
		return text
	}
	return ""
}

func (c *call) readKey(r *http.Request) error {
	c.key = r.Header.Get(HeaderIdempotencyKey)
	if len(c.key) > maxNameBytes {
		return refuse(outcome.InvalidRequest, "header %s: over %d bytes", HeaderIdempotencyKey, maxNameBytes)
	}
	if c.rule.AtMostOnce && c.key == "" {
		return refuse(outcome.MissingIdempotencyKey,
			"header %s: needed, since calls below %s%s run at most once", HeaderIdempotencyKey, servicesPrefix+c.service.Name, c.rule.Prefix)
	}
	return nil
}

func (c *call) readDeadline(r *http.Request, standard time.Duration) error {
	wait := standard
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		longest := c.maxDeadline().Milliseconds()
		if err != nil || ms <= 0 || ms > longest {
			return refuse(outcome.InvalidRequest,
				"header %s: %q must be milliseconds from 1 to %d", HeaderDeadline, text, longest)
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	c.deadline = time.Now().Add(wait)
	return nil
}

// maxDeadline is the longest deadline of a call. A call that runs at most once
// must end before its claim expires, after which the key could be used again.
func (c *call) maxDeadline() time.Duration {
	if c.rule.AtMostOnce {
		return claims.DefaultLimits.MaxTimeout - claimMargin
	}
	return maxDeadline
}

// withheldHeaders are for the entry only and are not passed on.
var withheldHeaders = map[string]bool{
	"Authorization": true, "Cookie": true, "Accept-Encoding": true, "Host": true, "Expect": true,
	HeaderDeadline: true, HeaderRequestID: true, "X-Priority": true,
	"X-Organisation": true, "X-Resume-Tokens": true,
}
