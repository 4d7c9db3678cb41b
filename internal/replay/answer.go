package replay

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"lukechampine.com/blake3"

	"lynxgate.dev/lynxgate/internal/standin/tokens"
)

const (
	// maxAnswer bounds the part of an answer that is read whole, in bytes.
	maxAnswer = 16 << 20
	// maxEvent bounds one line of a stream, in bytes.
	maxEvent = 1 << 20
	// endOfStream is the data of the event that ends a stream cleanly.
	endOfStream = "[DONE]"
)

// completion is what is read of a whole answer or a stream event. Error is
// set instead when the system says how a request ended.
type completion struct {
	SystemFingerprint string `json:"system_fingerprint"`
	Choices           []struct {
		Delta   tokens.Message `json:"delta"`
		Message tokens.Message `json:"message"`
		Text    string         `json:"text"`
	} `json:"choices"`
	Usage struct {
		Details struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// text returns the text that the event or answer brings.
func (c completion) text() string {
	var text strings.Builder
	for _, choice := range c.Choices {
		text.WriteString(choice.Delta.Content + choice.Message.Content + choice.Text)
	}
	return text.String()
}

// stated is the outcome that the system gives in an error body.
type stated struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// answerReader reads and checks the answer to one request.
type answerReader struct {
	cfg    Config
	due    time.Time
	result *Result
	header http.Header

	prompt    tokens.Prompt
	got       int // tokens so far
	lastToken time.Time
}

// read reads the answer to its end.
func (a *answerReader) read(body io.Reader) {
	a.prompt = tokens.HashPrompt(a.result.Request.EnginePrompt())
	switch {
	case a.result.Status/100 != 2:
		a.readRefusal(body)
	case a.result.Request.Stream:
		a.readStream(body)
	case a.result.Request.ForModel():
		a.readCompletion(body)
	default:
		a.readPlain(body)
	}
}

func (a *answerReader) end(outcome Outcome, detail string) {
	if a.result.Outcome == "" {
		a.result.Outcome, a.result.Detail = outcome, detail
	}
}

func (a *answerReader) wrong(problem Problem) {
	if a.result.Outcome == "" {
		a.result.Problem = problem
	}
	a.end(Wrong, string(problem))
}

// readRefusal reads an answer that is not a success. Without a statement of
// the system, only statuses that come before any work mean not run.
func (a *answerReader) readRefusal(body io.Reader) {
	if seconds, err := strconv.Atoi(a.header.Get("Retry-After")); err == nil {
		a.result.RetryAfter = time.Duration(seconds) * time.Second
	}
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		a.end(Unknown, err.Error())
		return
	}
	var refusal completion
	_ = json.Unmarshal(data, &refusal)
	if a.readStated(refusal.Error) {
		return
	}
	outcome := Unknown
	if a.result.Status == http.StatusServiceUnavailable || a.result.Status/100 == 4 {
		outcome = NotRun
	}
	a.end(outcome, string(data))
}

// readStated takes the outcome from an error body, if it has one.
func (a *answerReader) readStated(body json.RawMessage) bool {
	var s stated
	if json.Unmarshal(body, &s) != nil {
		return false
	}
	switch strings.ReplaceAll(s.Outcome, "_", " ") {
	case string(NotRun):
		a.end(NotRun, s.Message)
	case string(Unknown):
		a.end(Unknown, s.Message)
	default:
		return false
	}
	a.result.Told = true
	return true
}

// readPlain checks that the answer belongs to the body that was sent.
func (a *answerReader) readPlain(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		a.end(Unknown, err.Error())
		return
	}
	var answer struct {
		BodyDigest string `json:"body_digest"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		a.wrong(ProblemForm)
		return
	}
	sum := blake3.Sum256(a.result.Request.Payload())
	if answer.BodyDigest != hex.EncodeToString(sum[:]) {
		a.wrong(ProblemBodyDigest)
		return
	}
	a.end(Completed, "")
}

func (a *answerReader) readCompletion(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		a.end(Unknown, err.Error())
		return
	}
	var answer completion
	if err := json.Unmarshal(data, &answer); err != nil {
		a.wrong(ProblemForm)
		return
	}
	a.take(answer)
	a.checkLength()
	a.end(Completed, "")
}

// readStream reads server-sent events up to the end mark.
func (a *answerReader) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == endOfStream {
			a.checkLength()
			a.end(Completed, "")
			return
		}
		a.readEvent(data)
		if a.result.Outcome != "" {
			return
		}
	}
	detail := "stream broke off"
	if err := lines.Err(); err != nil {
		detail = err.Error()
	}
	a.end(Unknown, detail)
}

func (a *answerReader) readEvent(data string) {
	var event completion
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		a.wrong(ProblemForm)
		return
	}
	if event.Error != nil {
		if !a.readStated(event.Error) {
			a.end(Unknown, data)
		}
		return
	}
	a.take(event)
}

// take checks the tokens of one event, or of a whole answer.
func (a *answerReader) take(part completion) {
	a.result.CachedTokens = max(a.result.CachedTokens, part.Usage.Details.CachedTokens)
	words := strings.Fields(part.text())
	if len(words) == 0 {
		return
	}
	a.recordTime()
	if !a.checkWeights(part.SystemFingerprint) {
		return
	}
	for _, word := range words {
		if a.got >= a.result.Request.MaxTokens || word != tokens.Token(a.result.Digest, a.prompt, a.got) {
			a.wrong(ProblemTokens)
			return
		}
		a.got++
	}
}

// checkWeights checks that all parts come from one declared set of weights.
// A part that does not name its weights is taken to be of those that the
// header of the answer names.
func (a *answerReader) checkWeights(digest string) bool {
	if digest == "" {
		digest = a.header.Get("X-Weights-Digest")
	}
	allowed, listed := a.cfg.Digests[a.result.Request.Service]
	if a.result.Digest != "" && a.result.Digest != digest {
		a.wrong(ProblemMixed)
		return false
	}
	if listed && !slices.Contains(allowed, digest) {
		a.wrong(ProblemForeign)
		return false
	}
	a.result.Digest = digest
	return true
}

// checkLength checks that a clean end comes after the last token.
func (a *answerReader) checkLength() {
	if a.result.Outcome == "" && a.got != a.result.Request.MaxTokens {
		a.wrong(ProblemShort)
	}
}

// recordTime notes the time of tokens in a stream.
func (a *answerReader) recordTime() {
	if !a.result.Request.Stream {
		return
	}
	now := time.Now()
	if a.got == 0 {
		a.result.FirstToken = now.Sub(a.due)
	} else {
		a.result.gaps = append(a.result.gaps, now.Sub(a.lastToken))
	}
	a.lastToken = now
}
