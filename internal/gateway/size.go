package gateway

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
)

// size is what a caller states of a request to an engine, in tokens: its prompt, and the most
// that may be answered. 0 is not stated.
type size struct{ prompt, answer int }

// statedSize reads a caller's word; what can't be read is not stated.
func statedSize(text string) size {
	prompt, answer, _ := strings.Cut(text, ",")
	return size{prompt: tokens(prompt), answer: tokens(answer)}
}

func tokens(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// promptTokens is the size of the prompt by the caller's word, or the usual one.
func (c *call) promptTokens(e *fleet.Engine) int {
	if c.size.prompt > 0 {
		return c.size.prompt
	}
	return e.UsualPrompt
}

// promptBands tell requests apart in metrics, by their prompt as a multiple of the usual one.
var promptBands = []struct {
	below float64
	name  string
}{{0.5, "below 0.5"}, {1.5, "0.5 to 1.5"}, {2.5, "1.5 to 2.5"}}

const largestPrompts = "2.5 and more"

// promptBand names the band of a prompt.
func promptBand(prompt int, e *fleet.Engine) string {
	for _, band := range promptBands {
		if float64(prompt) < band.below*float64(e.UsualPrompt) {
			return band.name
		}
	}
	return largestPrompts
}

// countSize counts what a request to an engine got, by its prompt.
func (c *call) countSize() {
	if e := c.engine(); e != nil {
		c.g.cfg.Metrics.sizes.WithLabelValues(c.service, promptBand(c.promptTokens(e), e), c.received()).Inc()
	}
}

// received tells what the caller got: an answer whose first event was in time or late, a refusal, a
// failure, or nothing since it left.
func (c *call) received() string {
	switch {
	case c.status == statusClientGone:
		return "left"
	case c.status/100 == 2 && !c.broken && c.late():
		return "late"
	case c.status/100 == 2 && !c.broken:
		return "in time"
	case c.status == http.StatusServiceUnavailable && !c.mayHaveRun:
		return "refused"
	}
	return "failed"
}

// late tells whether the first event came after the route's objective.
func (c *call) late() bool {
	return c.route.Objective > 0 && c.firstEvent > c.route.Objective
}

// describeSize writes what a request to an engine states of its size, the longest wait at a
// server that it was allowed last, and the least that was predicted where none had room.
func (c *call) describeSize(event *zerolog.Event) {
	if c.view.Table == nil || c.engine() == nil {
		return
	}
	event.Int("prompt", c.size.prompt).Int("most_answer", c.size.answer).Dur("allowed_ms", c.allowed)
	if c.room.Fit > 0 {
		event.Dur("soonest_ms", c.room.Soonest)
	}
	if !c.clientBy.IsZero() {
		event.Dur("left_ms", clock.Until(c.clientBy))
	}
}
