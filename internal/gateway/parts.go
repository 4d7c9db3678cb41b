package gateway

import (
	"slices"
	"strings"
)

// maxPromptParts bounds the parts of a prompt that are considered, since the caller states them.
const maxPromptParts = 16

// parsePromptParts returns the ids of the parts of a prompt that a request may share with others: all in the header
// but the last one, each once. An entry without an id is skipped.
func parsePromptParts(header string) []string {
	entries := strings.Split(header, ",")
	var ids []string
	for _, entry := range entries[:len(entries)-1] {
		id, _, _ := strings.Cut(entry, ":")
		id = strings.ToLower(strings.TrimSpace(id))
		if id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
		if len(ids) == maxPromptParts {
			break
		}
	}
	return ids
}

// sharedParts returns the ids of the parts of the prompt that other requests may have, too.
func (c *call) sharedParts() []string {
	if c.g.cfg.Headers.PromptParts == "" {
		return nil
	}
	return parsePromptParts(c.r.Header.Get(c.g.cfg.Headers.PromptParts))
}
