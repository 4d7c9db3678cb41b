package engine

import (
	"encoding/binary"
	"strings"

	"lukechampine.com/blake3"
)

// Engines cache prompt prefixes in blocks and identify a block by a hash of its
// words and of all blocks before it.
const (
	// PrefixBlockWords is the number of words in a block.
	PrefixBlockWords = 16
	// PrefixBlocks is the number of blocks in the prefix that requests share,
	// which is the typical length of a prompt template.
	PrefixBlocks = 4
)

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt text that an engine derives from the messages
// of a chat request.
func ChatPrompt(messages []Message) string {
	lines := make([]string, len(messages))
	for i, m := range messages {
		lines[i] = m.Role + ": " + m.Content
	}
	return strings.Join(lines, "\n")
}

// PrefixHash returns the hash of the prompt's first PrefixBlocks blocks, or of
// its whole blocks if it has fewer; 0 if it has none. The hash matches
// CacheEvent.PrefixHash.
func PrefixHash(prompt string) uint64 {
	words := strings.Fields(prompt)
	var hash uint64
	for range min(PrefixBlocks, len(words)/PrefixBlockWords) {
		hash = blockHash(hash, words[:PrefixBlockWords])
		words = words[PrefixBlockWords:]
	}
	return hash
}

// blockHash returns the first 8 bytes of BLAKE3 over the hash of the previous
// block and each word followed by a zero byte; numbers are big-endian.
func blockHash(before uint64, words []string) uint64 {
	input := binary.BigEndian.AppendUint64(nil, before)
	for _, word := range words {
		input = append(input, word...)
		input = append(input, 0)
	}
	sum := blake3.Sum256(input)
	return binary.BigEndian.Uint64(sum[:])
}
