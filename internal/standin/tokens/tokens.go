// Package tokens derives the answer of the fake engine: every token depends
// on the digest of the loaded weights, the prompt and its index. Whoever
// knows the digest and the prompt can tell a whole answer of one set of
// weights from a partial or mixed one.
package tokens

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"lukechampine.com/blake3"
)

// tokenBytes is how many bytes of the hash make one token.
const tokenBytes = 4

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that a list of chat messages stands for.
func ChatPrompt(messages []Message) string {
	lines := make([]string, len(messages))
	for i, m := range messages {
		lines[i] = m.Role + ": " + m.Content
	}
	return strings.Join(lines, "\n")
}

// Prompt is a hashed prompt.
type Prompt [32]byte

// HashPrompt hashes a prompt once for all of its tokens.
func HashPrompt(prompt string) Prompt {
	return blake3.Sum256([]byte(prompt))
}

// Token returns token i of the answer to the prompt by the weights with the
// given hex digest.
func Token(digest string, prompt Prompt, i int) string {
	input := make([]byte, 0, len(digest)+len(prompt)+8)
	input = append(input, digest...)
	input = append(input, prompt[:]...)
	input = binary.BigEndian.AppendUint64(input, uint64(i))
	sum := blake3.Sum256(input)
	return hex.EncodeToString(sum[:tokenBytes])
}

// Text returns tokens from to to-1 of an answer, each followed by a space, as
// the engine streams them.
func Text(digest, prompt string, from, to int) string {
	hashed := HashPrompt(prompt)
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(Token(digest, hashed, i))
		text.WriteByte(' ')
	}
	return text.String()
}
