package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"lynxgate.dev/lynxgate/internal/standin/faults"
	"lynxgate.dev/lynxgate/internal/standin/tokens"
)

const (
	// defaultMaxTokens of an answer when the request names none.
	defaultMaxTokens = 16
	// limitMaxTokens is the most that a request may ask for.
	limitMaxTokens = 16384
	// defaultPriority of a request without X-Priority.
	defaultPriority = 10
)

// completionRequest is the part of the OpenAI request that the fake reads.
type completionRequest struct {
	Model     string           `json:"model"`
	Messages  []tokens.Message `json:"messages"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// Completion is a whole answer, or one event of a stream.
type Completion struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Model  string `json:"model"`
	// SystemFingerprint is the digest of the weights that made this part.
	SystemFingerprint string   `json:"system_fingerprint"`
	Choices           []Choice `json:"choices"`
	Usage             *Usage   `json:"usage,omitempty"`
}

// Choice holds the text: Message or Delta for chat, Text for completions.
type Choice struct {
	Index        int             `json:"index"`
	Message      *tokens.Message `json:"message,omitempty"`
	Delta        *Delta          `json:"delta,omitempty"`
	Text         string          `json:"text,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Delta is what a stream event adds to a chat answer.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Usage counts words of the prompt and tokens of the answer.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how much of the prompt the prefix cache held.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if !decode(w, r, &body) {
		return
	}
	if len(body.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "messages: missing")
		return
	}
	e.serveAnswer(w, r, body, &answer{chat: true}, tokens.ChatPrompt(body.Messages))
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if !decode(w, r, &body) {
		return
	}
	if body.Prompt == "" {
		writeError(w, http.StatusBadRequest, "prompt: missing")
		return
	}
	e.serveAnswer(w, r, body, &answer{}, body.Prompt)
}

// answer is one answer on its way to the caller.
type answer struct {
	chat   bool
	model  string
	digest string
	req    *request
	dies   int // tokens before the connection is closed; 0 means never
}

// serveAnswer queues the request and passes its tokens on.
func (e *Engine) serveAnswer(w http.ResponseWriter, r *http.Request, body completionRequest, a *answer, prompt string) {
	req, err := newRequest(r, body, prompt)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	a.req, a.dies = req, e.faults.Get().DieAfterTokens
	faults.NameLimit(w.Header(), e.faults.Get().Limit)
	faults.SayLeaving(w.Header(), e.faults.Get().Leaving)
	if !e.enter(w, a) {
		return
	}
	defer e.leave(req)
	w.Header().Set("X-Request-Id", req.id)
	w.Header().Set("X-Weights-Digest", a.digest)
	if body.Stream {
		a.stream(r.Context(), w)
		return
	}
	a.whole(r.Context(), w)
}

// newRequest reads the headers and the body of a request.
func newRequest(r *http.Request, body completionRequest, prompt string) (*request, error) {
	priority, err := headerInt(r, "X-Priority", defaultPriority)
	if err != nil {
		return nil, err
	}
	resume, err := headerInt(r, "X-Resume-Tokens", 0)
	if err != nil {
		return nil, err
	}
	limit := body.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if limit < 0 || limit > limitMaxTokens || resume < 0 || resume > limit {
		return nil, fmt.Errorf("max_tokens %d with %d to resume after: out of range", limit, resume)
	}
	words := wordsOf(prompt)
	return &request{
		id: r.Header.Get("X-Request-Id"), priority: priority,
		prompt: tokens.HashPrompt(prompt), words: len(words), blocks: blocksOf(words),
		next: resume, last: limit,
		out: make(chan token, limit-resume), cut: make(chan struct{}),
	}, nil
}

// headerInt reads a number from a header.
func headerInt(r *http.Request, name string, missing int) (int, error) {
	text := r.Header.Get(name)
	if text == "" {
		return missing, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("header %s: %w", name, err)
	}
	return n, nil
}

// enter adds the request to the batch, or answers why not.
func (e *Engine) enter(w http.ResponseWriter, a *answer) bool {
	status, problem := http.StatusServiceUnavailable, "refused by fault setting"
	if !e.faults.Get().Refuse {
		status, problem = e.add(a)
	}
	if status == http.StatusOK {
		return true
	}
	w.Header().Set("Retry-After", cmp.Or(e.faults.Get().RetryAfter, "1"))
	writeError(w, status, problem)
	return false
}

// add adds the request to the batch, or returns why not.
func (e *Engine) add(a *answer) (status int, problem string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return http.StatusServiceUnavailable, "engine is closed"
	}
	if e.state.State != StatusLive {
		return http.StatusServiceUnavailable, "engine is " + string(e.state.State)
	}
	if e.cfg.MaxQueued > 0 && len(e.batch.waiting) >= e.cfg.MaxQueued {
		return http.StatusTooManyRequests, "queue is full"
	}
	e.serial++
	if a.req.id == "" {
		a.req.id = fmt.Sprintf("req-%d", e.serial)
	}
	a.model, a.digest = e.state.Model, e.state.Digest
	e.batch.add(a.req)
	e.recordLoad()
	e.signal()
	return http.StatusOK, ""
}

// leave takes the request out of the batch, if it is still there.
func (e *Engine) leave(req *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(req)
	e.recordLoad()
}

// receive returns the next token; false means that the answer is complete.
// When the engine dropped the request or a fault is due, it ends the
// connection.
func (a *answer) receive(ctx context.Context, got int) (token, bool) {
	if a.dies > 0 && got >= a.dies {
		panic(http.ErrAbortHandler)
	}
	select {
	case t, ok := <-a.req.out:
		return t, ok
	case <-a.req.cut:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// stream answers by server-sent events, one per token.
func (a *answer) stream(ctx context.Context, w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for got := 0; ; got++ {
		t, more := a.receive(ctx, got)
		if !more {
			break
		}
		writeEvent(w, a.part(t.text+" ", t.digest, nil, true))
		_ = flusher.Flush()
	}
	reason := "length"
	last := a.part("", a.digest, &reason, true)
	last.Usage = a.usage()
	writeEvent(w, last)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	_ = flusher.Flush()
}

// whole answers by one JSON object.
func (a *answer) whole(ctx context.Context, w http.ResponseWriter) {
	text, digest := "", a.digest
	for got := 0; ; got++ {
		t, more := a.receive(ctx, got)
		if !more {
			break
		}
		text += t.text + " "
		digest = t.digest
	}
	reason := "length"
	completion := a.part(text, digest, &reason, false)
	completion.Usage = a.usage()
	writeJSON(w, http.StatusOK, completion)
}

// part makes a whole answer, or one event of it.
func (a *answer) part(text, digest string, reason *string, event bool) Completion {
	object, choice := "text_completion", Choice{FinishReason: reason}
	switch {
	case !a.chat:
		choice.Text = text
	case event:
		object, choice.Delta = "chat.completion.chunk", &Delta{Content: text}
	default:
		object, choice.Message = "chat.completion", &tokens.Message{Role: "assistant", Content: text}
	}
	return Completion{
		ID: a.req.id, Object: object, Model: a.model,
		SystemFingerprint: digest, Choices: []Choice{choice},
	}
}

// usage counts the answer, including the tokens before a resume. It is called
// after the last token, when the batch no longer changes the request.
func (a *answer) usage() *Usage {
	return &Usage{
		PromptTokens: a.req.words, CompletionTokens: a.req.last,
		TotalTokens: a.req.words + a.req.last,
		Details:     PromptDetails{CachedTokens: a.req.cached},
	}
}

func writeEvent(w http.ResponseWriter, event Completion) {
	encoded, err := json.Marshal(event)
	if err != nil {
		panic(fmt.Errorf("encode stream event: %w", err))
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encoded)
}
