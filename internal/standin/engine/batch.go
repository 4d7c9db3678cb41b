package engine

import (
	"slices"

	"lynxgate.dev/lynxgate/internal/standin/tokens"
)

// request is one completion request in the batch.
type request struct {
	id       string
	priority int // 0 is most urgent
	prompt   tokens.Prompt
	words    int // length of the prompt
	blocks   []blockKey

	next    int // index of the next token
	last    int // index after the last token
	prefill int // words of the prompt still to be read; -1 before admission
	cached  int // words of the prompt found in the prefix cache

	out chan token    // closed after the last token; has room for all
	cut chan struct{} // closed when the engine drops the request
}

// token is one token of an answer and the weights that made it.
type token struct {
	index  int
	text   string
	digest string
}

// batch is the continuous batching of the engine as a pure step: each step
// admits waiting requests to free slots and advances every running one.
type batch struct {
	slots        int
	prefillWords int // words of a prompt read in one step
	cache        *prefixCache
	waiting      []*request // by priority, then by arrival
	running      []*request
}

// add queues a request behind those of its priority.
func (b *batch) add(r *request) {
	r.prefill = -1
	at := slices.IndexFunc(b.waiting, func(other *request) bool { return other.priority > r.priority })
	if at < 0 {
		at = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, at, r)
}

// remove takes a request out, wherever it stands.
func (b *batch) remove(r *request) {
	same := func(other *request) bool { return other == r }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.running = slices.DeleteFunc(b.running, same)
}

// cutAll drops every request without an end.
func (b *batch) cutAll() {
	for _, r := range slices.Concat(b.waiting, b.running) {
		close(r.cut)
	}
	b.waiting, b.running = nil, nil
}

// find returns the request with the id, or nil.
func (b *batch) find(id string) *request {
	for _, r := range slices.Concat(b.running, b.waiting) {
		if r.id == id {
			return r
		}
	}
	return nil
}

// empty reports whether a step would do nothing.
func (b *batch) empty() bool { return len(b.waiting)+len(b.running) == 0 }

// step advances the batch by one token, made by the weights of the digest.
func (b *batch) step(digest string) {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		b.admit(b.waiting[0])
	}
	b.running = slices.DeleteFunc(b.running, func(r *request) bool {
		return b.advance(r, digest)
	})
}

// admit moves a request to a slot. What the cache holds of its prompt need
// not be read again.
func (b *batch) admit(r *request) {
	b.waiting = b.waiting[1:]
	b.running = append(b.running, r)
	r.cached = b.cache.match(r.blocks) * blockWords
	r.prefill = r.words - r.cached
}

// advance reads on in the prompt, or makes one token. It reports whether the
// answer is complete.
func (b *batch) advance(r *request, digest string) bool {
	if r.prefill > b.prefillWords {
		r.prefill -= b.prefillWords
		return false
	}
	if r.prefill >= 0 {
		b.cache.put(r.blocks)
		r.prefill = -1
	}
	if r.next < r.last {
		r.out <- token{index: r.next, text: tokens.Token(digest, r.prompt, r.next), digest: digest}
		r.next++
	}
	if r.next < r.last {
		return false
	}
	close(r.out)
	return true
}
