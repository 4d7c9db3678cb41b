package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
)

// size is the size of a request to an engine as stated by the caller, in tokens: the prompt, the
// maximum of the answer, and an estimate of the answer. 0 means not stated.
type size struct{ prompt, answer, hint int }

// maxTokens bounds stated sizes, which are not checked otherwise.
const maxTokens = 1 << 24

// parseSize parses the Tokens header. A malformed part counts as not stated.
func parseSize(text, hint string) size {
	prompt, answer, _ := strings.Cut(text, ",")
	return size{prompt: tokens(prompt), answer: tokens(answer), hint: tokens(hint)}
}

func tokens(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}

// promptTokens returns the size of the prompt as stated by the caller, or else the usual one.
func (c *call) promptTokens(e *fleet.Engine) int {
	if c.size.prompt > 0 {
		return c.size.prompt
	}
	return e.UsualPrompt
}

// promptBands classify requests in metrics, by the prompt as a multiple of the usual one.
var promptBands = []struct {
	below float64
	name  string
}{{0.5, "below 0.5"}, {1.5, "0.5 to 1.5"}, {2.5, "1.5 to 2.5"}}

const largestBand = "2.5 and more"

// promptBand returns the name of a prompt's band.
func promptBand(prompt int, e *fleet.Engine) string {
	for _, band := range promptBands {
		if float64(prompt) < band.below*float64(e.UsualPrompt) {
			return band.name
		}
	}
	return largestBand
}

// countSize counts the result of a request to an engine, by size of the prompt.
func (c *call) countSize() {
	if e := c.engine(); e != nil {
		c.g.cfg.Metrics.sizes.WithLabelValues(c.service, promptBand(c.promptTokens(e), e), c.result()).Inc()
		if c.g.ranks.Load().Enabled(c.service) {
			c.g.cfg.Metrics.ranked.WithLabelValues(c.service, strconv.Itoa(c.rank.Index), c.result()).Inc()
		}
	}
}

// result returns the result for the caller, as a metric label: an answer whose first event was in
// time or late, a refusal, a failure, or nothing since the caller left.
func (c *call) result() string {
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

// late reports whether the first event came after the route's objective.
func (c *call) late() bool {
	return c.route.Objective > 0 && c.firstEvent > c.route.Objective
}

// describeSize adds the stated size of a request to an engine, the longest wait that was accepted
// at the last choice of a server, and the least predicted wait if all servers were full.
func (c *call) describeSize(event *zerolog.Event) {
	if c.view.Table == nil || c.engine() == nil {
		return
	}
	event.Int("prompt", c.size.prompt).Int("most_answer", c.size.answer).Dur("allowed_ms", time.Duration(c.allowed.Load()))
	if c.capacity.Fit > 0 {
		event.Dur("soonest_ms", c.capacity.Soonest)
	}
	if !c.clientDeadline.IsZero() {
		event.Dur("left_ms", clock.Until(c.clientDeadline))
	}
}
