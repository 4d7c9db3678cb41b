package engine

import (
	"encoding/binary"
	"strings"

	"lukechampine.com/blake3"
)

// Prompt prefixes are cached in blocks. The engine's protocol names a block by
// a hash of its words and of all blocks before it.
const (
	// PrefixBlockWords is how many words make a block.
	PrefixBlockWords = 16
	// PrefixBlocks is how many blocks are taken for the prefix that requests
	// have in common: a template is as long as that.
	PrefixBlocks = 4
)

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt is the text that an engine reads of a chat request.
func ChatPrompt(messages []Message) string {
	lines := make([]string, len(messages))
	for i, m := range messages {
		lines[i] = m.Role + ": " + m.Content
	}
	return strings.Join(lines, "\n")
}

// PrefixHash returns the name of the prompt's prefix of PrefixBlocks blocks, or
// of as many whole blocks as it has, as in CacheEvent; 0 for none.
func PrefixHash(prompt string) uint64 {
	words := strings.Fields(prompt)
	var hash uint64
	for range min(PrefixBlocks, len(words)/PrefixBlockWords) {
		hash = blockHash(hash, words[:PrefixBlockWords])
		words = words[PrefixBlockWords:]
	}
	return hash
}

// blockHash is the first 8 bytes of BLAKE3 over the hash of the block before
// and each word with a zero byte after it; numbers are big-endian.
func blockHash(before uint64, words []string) uint64 {
	input := binary.BigEndian.AppendUint64(nil, before)
	for _, word := range words {
		input = append(input, word...)
		input = append(input, 0)
	}
	sum := blake3.Sum256(input)
	return binary.BigEndian.Uint64(sum[:])
}
